package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// ObjectName is the object of the object API that holds the configuration.
const ObjectName = "config/current"

// ServiceKind tells model engines from plain services.
type ServiceKind string

// The kinds of service.
const (
	Engine ServiceKind = "engine"
	Plain  ServiceKind = "plain"
)

// Config is one version of the configuration shared by all entry instances.
type Config struct {
	Services   []Service  `json:"services"`
	Customers  []Customer `json:"customers"`
	Profiles   []Profile  `json:"profiles"`
	Operations Operations `json:"operations"`
}

// Service is a group of targets that can stand in for one another.
type Service struct {
	Name               string      `json:"name"`
	Kind               ServiceKind `json:"kind"`
	SlotsPerTarget     int         `json:"slots,omitempty"`  // requests at once on one target
	LongPromptTokens   int         `json:"long,omitempty"`   // prompts of more tokens reserve memory first
	LongMemoryPercent  int         `json:"room,omitempty"`   // percent of an engine's memory that long prompts may take
	MemoryTokens       int         `json:"memory,omitempty"` // tokens of one engine's memory
	Fenced             bool        `json:"fenced,omitempty"` // the targets check the fencing number of an order
	MaxConcurrentLoads int         `json:"loads,omitempty"`  // engines that may load weights at once
	Models             []Model     `json:"models,omitempty"` // what the engines are to run as; none to give no orders
}

// Model is a state wanted of some engines of a service.
type Model struct {
	Name        string `json:"name"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	Role        string `json:"role,omitempty"`
	EngineCount int    `json:"engines"` // how many are to run it
}

// Customer is an organisation or member whose requests are counted together.
type Customer struct {
	Name          string `json:"name"`
	Weight        int    `json:"share"`           // weight among customers
	MaxConcurrent int    `json:"limit,omitempty"` // requests at once over all entry instances; zero for no limit
}

// Profile describes one kind of work.
type Profile struct {
	Name            string       `json:"name"`
	Service         string       `json:"service"`
	Model           string       `json:"model,omitempty"`
	Deadline        clock.Millis `json:"deadline"`
	Priority        int          `json:"priority,omitempty"`   // higher goes first
	MaxPromptTokens int          `json:"maxprompt,omitempty"`  // tokens
	MaxOutputTokens int          `json:"maxoutput,omitempty"`  // tokens
	Idempotent      bool         `json:"idempotent,omitempty"` // may be repeated and hedged
	MaxConcurrent   int          `json:"limit,omitempty"`      // requests at once over all entry instances; zero for no limit
}

// Operations sets the operation log.
type Operations struct {
	ShardCount      int          `json:"shards,omitempty"` // objects of the log; fixed once in use
	WritesPerSecond int          `json:"writes,omitempty"` // updates a second over all shards
	Retention       clock.Millis `json:"retain,omitempty"` // how long an outcome answers a repeated key
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
	DefaultLongPromptTokens   = 50_000  // tokens
	DefaultLongMemoryPercent  = 70      // percent
	DefaultMemoryTokens       = 400_000 // tokens
	DefaultMaxConcurrentLoads = 4       // engines
)

// Parse reads a configuration and returns it with every problem found in it.
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

// Encode formats the configuration as it is stored.
func (c Config) Encode() ([]byte, error) { return json.MarshalIndent(c, "", "  ") }

// WithProfile returns a copy in which the profile replaces the one of the same name or is added.
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

// Profile finds a profile by name.
func (c Config) Profile(name string) (Profile, bool) {
	return find(c.Profiles, func(p Profile) bool { return p.Name == name })
}

// Customer finds a customer by name.
func (c Config) Customer(name string) (Customer, bool) {
	return find(c.Customers, func(k Customer) bool { return k.Name == name })
}

// Service finds a service by name.
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
