package config

import (
	"fmt"
	"regexp"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Limits of configured values.
const (
	minDeadline        = 100 * clock.Millis(1)
	maxDeadline        = 30 * clock.Minute
	maxTokens          = 4_000_000 // of a prompt or an output; also the highest request limit
	maxShardCount      = 1024
	maxWritesPerSecond = 1000
	maxPriority        = 9
	maxWeight          = 1000
	maxCount           = 10_000 // of requests on one target, of engines, and of concurrent loads
)

// namePattern matches the names of instances, availability zones, services, customers and profiles.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Problem is an invalid value in a configuration or settings file.
type Problem struct {
	Field   string // path of the field, such as services[0].slots
	Got     string // the invalid value
	Allowed string // what the field accepts
}

// String formats the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: got %s, allowed: %s", p.Field, p.Got, p.Allowed)
}

type checker struct{ problems []Problem }

// Check returns every invalid value of the configuration.
func (c Config) Check() []Problem {
	var k checker
	services := k.checkNames("services", len(c.Services), func(i int) string { return c.Services[i].Name })
	k.checkNames("customers", len(c.Customers), func(i int) string { return c.Customers[i].Name })
	k.checkNames("profiles", len(c.Profiles), func(i int) string { return c.Profiles[i].Name })
	for i, s := range c.Services {
		k.checkService(fmt.Sprintf("services[%d]", i), s)
	}
	for i, customer := range c.Customers {
		at := fmt.Sprintf("customers[%d]", i)
		k.checkRange(at+".share", customer.Weight, 1, maxWeight)
		k.checkRange(at+".limit", customer.MaxConcurrent, 0, maxTokens)
	}
	for i, p := range c.Profiles {
		at := fmt.Sprintf("profiles[%d]", i)
		if !services[p.Service] {
			k.addProblem(at+".service", fmt.Sprintf("%q", p.Service), "the name of a service of this file")
		}
		service, _ := c.Service(p.Service)
		k.checkProfile(at, p, service)
	}
	k.checkRange("operations.shards", c.Operations.ShardCount, 1, maxShardCount)
	k.checkRange("operations.writes", c.Operations.WritesPerSecond, 1, maxWritesPerSecond)
	if c.Operations.Retention < clock.Minute {
		k.addProblem("operations.retain", c.Operations.Retention.String(), "at least 1m")
	}
	return k.problems
}

func (k *checker) checkService(at string, s Service) {
	if s.Kind != Engine && s.Kind != Plain {
		k.addProblem(at+".kind", fmt.Sprintf("%q", s.Kind), `"engine" or "plain"`)
	}
	k.checkRange(at+".slots", s.SlotsPerTarget, 1, maxCount)
	if s.Kind != Engine {
		return
	}
	k.checkRange(at+".long", s.LongPromptTokens, 1, maxTokens)
	k.checkRange(at+".room", s.LongMemoryPercent, 1, 100)
	k.checkRange(at+".memory", s.MemoryTokens, 1, 1000*maxTokens)
	k.checkRange(at+".loads", s.MaxConcurrentLoads, 1, maxCount)
	for i, m := range s.Models {
		in := fmt.Sprintf("%s.models[%d]", at, i)
		k.checkRange(in+".engines", m.EngineCount, 0, maxCount)
		if m.Name == "" || m.Version == "" {
			k.addProblem(in, fmt.Sprintf("%q version %q", m.Name, m.Version), "a name and a version")
		}
	}
}

func (k *checker) checkProfile(at string, p Profile, s Service) {
	if p.Deadline < minDeadline || p.Deadline > maxDeadline {
		k.addProblem(at+".deadline", p.Deadline.String(), minDeadline.String()+" to "+maxDeadline.String())
	}
	k.checkRange(at+".priority", p.Priority, 0, maxPriority)
	k.checkRange(at+".limit", p.MaxConcurrent, 0, maxTokens)
	if s.Kind != Engine {
		return
	}
	k.checkRange(at+".maxprompt", p.MaxPromptTokens, 1, maxTokens)
	k.checkRange(at+".maxoutput", p.MaxOutputTokens, 1, maxTokens)
	if p.Model == "" {
		k.addProblem(at+".model", `""`, "the name of a model")
	}
	if !p.Idempotent {
		k.addProblem(at+".idempotent", "false", "true for a service of kind engine")
	}
}

// checkNames checks that the n names of a list are well-formed and unique, and returns them as a set.
func (k *checker) checkNames(list string, n int, name func(int) string) map[string]bool {
	seen := make(map[string]bool, n)
	for i := range n {
		at := fmt.Sprintf("%s[%d].name", list, i)
		if !ValidName(name(i)) {
			k.addProblem(at, fmt.Sprintf("%q", name(i)), "a lower-case letter, then up to 62 letters, digits and hyphens")
		}
		if seen[name(i)] {
			k.addProblem(at, fmt.Sprintf("%q again", name(i)), "a name used once")
		}
		seen[name(i)] = true
	}
	return seen
}

func (k *checker) checkRange(field string, got, low, high int) {
	if got < low || got > high {
		k.addProblem(field, fmt.Sprint(got), fmt.Sprintf("%d to %d", low, high))
	}
}

func (k *checker) addProblem(field, got, allowed string) {
	k.problems = append(k.problems, Problem{Field: field, Got: got, Allowed: allowed})
}

// ValidName reports whether a name has only lower-case letters, digits and hyphens, begins with a letter and has at most 63
// characters.
func ValidName(name string) bool { return namePattern.MatchString(name) }
