package bench

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/load"
	"github.com/corianderpier/corianderpier/internal/stage"
)

var (
	full     = flag.Bool("full", false, "run the measurements")
	policies = flag.String("policies", "", "policies to compare; empty for those of each scenario")
	loads    = flag.String("loads", "nolong70,calm70,over120,crest,dies,zone", "scenarios to run")
	length   = flag.Duration("length", 12*time.Second, "duration of each run")
	seed     = flag.Uint64("seed", 11, "seed of the arrivals")
)

const (
	engines      = 16
	prefillRate  = 100_000 // prompt tokens per second of each engine
	entries      = 5
	customers    = 10
	outputTokens = 40 // tokens
	warmup       = 3 * time.Second
)

func TestMain(m *testing.M) {
	code := m.Run()
	stage.Cleanup()
	os.Exit(code)
}

// benchConfig is the configuration of all measurements. The first two customers are the
// large ones of package load, and get four times the weight of the others.
func benchConfig() config.Config {
	c := config.Config{
		Services: []config.Service{
			{Name: "models", Kind: config.Engine, SlotsPerTarget: 64, LongPromptTokens: 50_000, LongMemoryPercent: 70, MemoryTokens: 400_000},
			{Name: "desk", Kind: config.Plain, SlotsPerTarget: 64},
		},
		Profiles: []config.Profile{
			{Name: "short", Service: "models", Model: "small", Deadline: 5 * clock.Second, Priority: 5, MaxPromptTokens: 2_000_000, MaxOutputTokens: 500, Idempotent: true},
			{Name: "medium", Service: "models", Model: "small", Deadline: 15 * clock.Second, Priority: 3, MaxPromptTokens: 2_000_000, MaxOutputTokens: 500, Idempotent: true},
			{Name: "long", Service: "models", Model: "small", Deadline: clock.Minute, Priority: 1, MaxPromptTokens: 2_000_000, MaxOutputTokens: 500, Idempotent: true},
			{Name: "hold", Service: "desk", Deadline: 20 * clock.Second},
		},
		Operations: config.Operations{ShardCount: 64, WritesPerSecond: 300, Retention: clock.Hour},
	}
	for i := range customers {
		share := 1
		if i < 2 {
			share = 4
		}
		c.Customers = append(c.Customers, config.Customer{Name: load.CustomerName(i), Weight: share})
	}
	return c
}

func deadlineOf(class load.Class) time.Duration {
	p, _ := benchConfig().Profile(string(class))
	return p.Deadline.Duration()
}

// scenario is a load, the policies to compare on it, and a fault during it.
type scenario struct {
	capacityFactor float64 // offered prompt tokens, as a multiple of what the engines can prefill
	omitLong       bool
	rateFactor     func(at time.Duration) float64
	injectFault    func(site *stage.Site)
	policies       string // comma-separated; the flag policies overrides it
}

const (
	allPolicies = "balanced,roundrobin,least,fifo"
	twoPolicies = "balanced,least"
)

// scenarios returns the scenarios by the names that the flag loads takes.
func scenarios() map[string]scenario {
	return map[string]scenario{
		"nolong70": {capacityFactor: 0.7, omitLong: true, policies: "balanced"},
		"calm70":   {capacityFactor: 0.7, policies: allPolicies},
		"over120":  {capacityFactor: 1.2, policies: allPolicies},
		"over200":  {capacityFactor: 2, policies: twoPolicies},
		"crest": {capacityFactor: 0.4, policies: twoPolicies, rateFactor: func(at time.Duration) float64 {
			if at > 4*time.Second && at < 8*time.Second {
				return 4
			}
			return 1
		}},
		"dies": {capacityFactor: 0.5, policies: twoPolicies, injectFault: func(site *stage.Site) { site.KillTarget("engine-0") }},
		"zone": {capacityFactor: 0.5, policies: twoPolicies, injectFault: func(site *stage.Site) {
			for i := 0; i < engines; i += 3 {
				site.KillTarget(fmt.Sprintf("engine-%d", i))
			}
		}},
	}
}

// runLoad runs one scenario under a policy and returns the summary of each class. The
// fault of the scenario, if any, is injected after half of the run.
func runLoad(t *testing.T, policy, name string) []load.Summary {
	t.Helper()
	sc := scenarios()[name]
	site := stage.Start(t, stage.Spec{
		Entries: entries, Engines: engines, Config: benchConfig(), Zones: []string{"zone-a", "zone-b", "zone-c"},
		EngineArgs: []string{"-prefill", fmt.Sprint(prefillRate)}, EntryArgs: []string{"-policy", policy},
		ProcessPerTarget: sc.injectFault != nil,
	})
	plan := load.Plan(load.Workload{
		Seed: *seed, Duration: *length, TokensPerSecond: sc.capacityFactor * engines * prefillRate, RateFactor: sc.rateFactor,
		OmitLong: sc.omitLong, Customers: customers, MaxOutputTokens: outputTokens,
	})
	ctx, cancel := context.WithTimeout(context.Background(), *length+2*time.Minute)
	defer cancel()
	if sc.injectFault != nil {
		time.AfterFunc(*length/2, func() { sc.injectFault(site) })
	}
	runner := &load.Runner{ProfileFor: func(c load.Class) string { return string(c) }, Warmup: warmup}
	for _, e := range site.Entries {
		runner.EntryAddrs = append(runner.EntryAddrs, e.CallersAddr)
	}
	summaries := load.Summarise(runner.Run(ctx, plan), deadlineOf)
	site.Close()
	return summaries
}

// Compares policies on the same arrivals and prints a table of the results.
func TestPolicies(t *testing.T) {
	if !*full {
		t.Skip("run by make bench")
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, load.TableHeader())
	for _, name := range strings.Split(*loads, ",") {
		list := *policies
		if list == "" {
			list = scenarios()[name].policies
		}
		for _, policy := range strings.Split(list, ",") {
			for _, s := range runLoad(t, policy, name) {
				_, _ = fmt.Fprintln(table, s.TableRow(name+" "+policy))
			}
			_ = table.Flush()
		}
	}
}
