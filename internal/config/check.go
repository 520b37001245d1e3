package config

import (
	"fmt"
	"regexp"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Limits of the configured values.
const (
	minDeadline = 100 * clock.Millis(1)
	maxDeadline = 30 * clock.Minute
	maxTokens   = 4_000_000 // of a prompt or an output
	maxShards   = 1024
	maxWrites   = 1000 // a second
	maxPriority = 9
	maxShare    = 1000
	maxSlots    = 10_000 // requests
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Problem is one mistake in a configuration or settings file.
type Problem struct {
	Field   string
	Got     string
	Allowed string
}

// String formats the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: got %s, allowed: %s", p.Field, p.Got, p.Allowed)
}

type checker struct{ problems []Problem }

// Check returns every problem of the configuration.
func (c Config) Check() []Problem {
	var k checker
	services := k.names("services", len(c.Services), func(i int) string { return c.Services[i].Name })
	k.names("customers", len(c.Customers), func(i int) string { return c.Customers[i].Name })
	k.names("profiles", len(c.Profiles), func(i int) string { return c.Profiles[i].Name })
	for i, s := range c.Services {
		k.service(fmt.Sprintf("services[%d]", i), s)
	}
	for i, customer := range c.Customers {
		at := fmt.Sprintf("customers[%d]", i)
		k.between(at+".share", customer.Weight, 1, maxShare)
		k.between(at+".limit", customer.MaxConcurrent, 0, maxTokens)
	}
	for i, p := range c.Profiles {
		at := fmt.Sprintf("profiles[%d]", i)
		if !services[p.Service] {
			k.add(at+".service", fmt.Sprintf("%q", p.Service), "the name of a service of this file")
		}
		service, _ := c.Service(p.Service)
		k.profile(at, p, service)
	}
	k.between("operations.shards", c.Operations.ShardCount, 1, maxShards)
	k.between("operations.writes", c.Operations.WritesPerSecond, 1, maxWrites)
	if c.Operations.Retention < clock.Minute {
		k.add("operations.retain", c.Operations.Retention.String(), "at least 1m")
	}
	return k.problems
}

func (k *checker) service(at string, s Service) {
	if s.Kind != Engine && s.Kind != Plain {
		k.add(at+".kind", fmt.Sprintf("%q", s.Kind), `"engine" or "plain"`)
	}
	k.between(at+".slots", s.SlotsPerTarget, 1, maxSlots)
	if s.Kind != Engine {
		return
	}
	k.between(at+".long", s.LongPromptTokens, 1, maxTokens)
	k.between(at+".room", s.LongMemoryPercent, 1, 100)
	k.between(at+".memory", s.MemoryTokens, 1, 1000*maxTokens)
	k.between(at+".loads", s.MaxConcurrentLoads, 1, maxSlots)
	for i, m := range s.Models {
		in := fmt.Sprintf("%s.models[%d]", at, i)
		k.between(in+".engines", m.EngineCount, 0, maxSlots)
		if m.Name == "" || m.Version == "" {
			k.add(in, fmt.Sprintf("%q version %q", m.Name, m.Version), "a name and a version")
		}
	}
}

func (k *checker) profile(at string, p Profile, s Service) {
	if p.Deadline < minDeadline || p.Deadline > maxDeadline {
		k.add(at+".deadline", p.Deadline.String(), minDeadline.String()+" to "+maxDeadline.String())
	}
	k.between(at+".priority", p.Priority, 0, maxPriority)
	k.between(at+".limit", p.MaxConcurrent, 0, maxTokens)
	if s.Kind != Engine {
		return
	}
	k.between(at+".maxprompt", p.MaxPromptTokens, 1, maxTokens)
	k.between(at+".maxoutput", p.MaxOutputTokens, 1, maxTokens)
	if p.Model == "" {
		k.add(at+".model", `""`, "the name of a model")
	}
	if !p.Idempotent {
		k.add(at+".idempotent", "false", "true for a service of kind engine")
	}
}

func (k *checker) names(list string, n int, name func(int) string) map[string]bool {
	seen := make(map[string]bool, n)
	for i := range n {
		at := fmt.Sprintf("%s[%d].name", list, i)
		if !namePattern.MatchString(name(i)) {
			k.add(at, fmt.Sprintf("%q", name(i)), "a lower-case letter, then up to 62 letters, digits and hyphens")
		}
		if seen[name(i)] {
			k.add(at, fmt.Sprintf("%q again", name(i)), "a name used once")
		}
		seen[name(i)] = true
	}
	return seen
}

func (k *checker) between(field string, got, low, high int) {
	if got < low || got > high {
		k.add(field, fmt.Sprint(got), fmt.Sprintf("%d to %d", low, high))
	}
}

func (k *checker) add(field, got, allowed string) {
	k.problems = append(k.problems, Problem{Field: field, Got: got, Allowed: allowed})
}
