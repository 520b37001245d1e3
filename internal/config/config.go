package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// ObjectName is the name of the object that holds the configuration.
const ObjectName = "config/current"

// ServiceKind is the kind of the targets of a service.
type ServiceKind string

// The kinds of service.
const (
	Engine ServiceKind = "engine" // inference servers
	Plain  ServiceKind = "plain"  // any other back ends
)

// Config is the configuration that all entry instances share.
type Config struct {
	Services   []Service  `json:"services"`
	Customers  []Customer `json:"customers"`
	Profiles   []Profile  `json:"profiles"`
	Operations Operations `json:"operations"`
}

// Service is a group of interchangeable targets.
type Service struct {
	Name               string      `json:"name"`
	Kind               ServiceKind `json:"kind"`
	SlotsPerTarget     int         `json:"slots,omitempty"`  // concurrent requests on one target
	LongPromptTokens   int         `json:"long,omitempty"`   // longer prompts must reserve engine memory before they are sent
	LongMemoryPercent  int         `json:"room,omitempty"`   // share of an engine's memory that long prompts may occupy
	MemoryTokens       int         `json:"memory,omitempty"` // KV memory of one engine
	Fenced             bool        `json:"fenced,omitempty"` // the targets reject orders with an outdated fencing number
	MaxConcurrentLoads int         `json:"loads,omitempty"`  // engines that may load weights at the same time
	Models             []Model     `json:"models,omitempty"` // desired state of the engines; without any, engines get no orders
}

// Model is the desired state of some engines of a service: what they run, and on how many engines.
type Model struct {
	Name        string `json:"name"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	Role        string `json:"role,omitempty"`
	EngineCount int    `json:"engines"` // how many engines run it
}

// Customer is a tenant: its requests share limits and a weight in fair queueing.
type Customer struct {
	Name          string `json:"name"`
	Weight        int    `json:"share"`           // in fair queueing among customers
	MaxConcurrent int    `json:"limit,omitempty"` // requests in progress on all entry instances together; zero for no limit
}

// Profile is a class of requests. A request names its profile.
type Profile struct {
	Name            string       `json:"name"`
	Service         string       `json:"service"`
	Model           string       `json:"model,omitempty"`
	Deadline        clock.Millis `json:"deadline"`
	Priority        int          `json:"priority,omitempty"` // higher is served first
	MaxPromptTokens int          `json:"maxprompt,omitempty"`
	MaxOutputTokens int          `json:"maxoutput,omitempty"`
	Idempotent      bool         `json:"idempotent,omitempty"` // may be retried and hedged
	MaxConcurrent   int          `json:"limit,omitempty"`      // requests in progress on all entry instances together; zero for no limit
}

// Operations configures the operation log.
type Operations struct {
	ShardCount      int          `json:"shards,omitempty"` // each shard is one stored object; fixed once the log is in use
	WritesPerSecond int          `json:"writes,omitempty"` // of all shards together
	Retention       clock.Millis `json:"retain,omitempty"` // how long a retry with the same key is answered with the recorded outcome
}

// Default settings of the operation log.
const (
	DefaultShardCount      = 64
	DefaultWritesPerSecond = 300
	DefaultRetention       = 2 * clock.Hour
)

// Default settings of a service.
const (
	DefaultSlotsPerTarget     = 64
	DefaultLongPromptTokens   = 50_000
	DefaultLongMemoryPercent  = 70
	DefaultMemoryTokens       = 400_000
	DefaultMaxConcurrentLoads = 4
)

// Parse decodes a configuration, fills in defaults and returns it with every problem found in it.
func Parse(data []byte) (Config, []Problem) {
	var c Config
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return Config{}, []Problem{{Field: "document", Got: err.Error(), Allowed: "a JSON object with the documented fields"}}
	}
	c = c.withDefaults()
	return c, c.Check()
}

// Encode formats the configuration as it is stored: as indented JSON.
func (c Config) Encode() ([]byte, error) { return json.MarshalIndent(c, "", "  ") }

// WithProfile returns a copy in which p replaces the profile of the same name or, if there is none, is added.
func (c Config) WithProfile(p Profile) Config {
	c.Profiles = slices.Clone(c.Profiles)
	for i := range c.Profiles {
		if c.Profiles[i].Name == p.Name {
			c.Profiles[i] = p
			return c
		}
	}
	c.Profiles = append(c.Profiles, p)
	return c
}

// Profile returns the profile with a name, if there is one.
func (c Config) Profile(name string) (Profile, bool) {
	return find(c.Profiles, func(p Profile) bool { return p.Name == name })
}

// Customer returns the customer with a name, if there is one.
func (c Config) Customer(name string) (Customer, bool) {
	return find(c.Customers, func(k Customer) bool { return k.Name == name })
}

// Service returns the service with a name, if there is one.
func (c Config) Service(name string) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

func (c Config) withDefaults() Config {
	setDefault(&c.Operations.ShardCount, DefaultShardCount)
	setDefault(&c.Operations.WritesPerSecond, DefaultWritesPerSecond)
	if c.Operations.Retention == 0 {
		c.Operations.Retention = DefaultRetention
	}
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		c.Services[i] = c.Services[i].withDefaults()
	}
	return c
}

func (s Service) withDefaults() Service {
	setDefault(&s.SlotsPerTarget, DefaultSlotsPerTarget)
	if s.Kind != Engine {
		return s
	}
	setDefault(&s.LongPromptTokens, DefaultLongPromptTokens)
	setDefault(&s.LongMemoryPercent, DefaultLongMemoryPercent)
	setDefault(&s.MemoryTokens, DefaultMemoryTokens)
	setDefault(&s.MaxConcurrentLoads, DefaultMaxConcurrentLoads)
	return s
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	if i := slices.IndexFunc(items, match); i >= 0 {
		return items[i], true
	}
	var none T
	return none, false
}
