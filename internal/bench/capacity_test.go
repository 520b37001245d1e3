package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/load"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/stage"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	clockTicksPerSecond = 100 // unit of CPU time in /proc, on Linux
	settleTime          = 15 * time.Second
	sampleTime          = 10 * time.Second
)

// usage is the resource usage of one instance; CPU time and bytes are totals since
// its start.
type usage struct {
	cpuTime       time.Duration
	residentBytes int
	peerBytes     float64
}

// readUsage reads the resource usage of an instance from /proc and its metrics.
func readUsage(t *testing.T, p *stage.Process) usage {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var user, system int
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		t.Fatal(err)
	}
	return usage{
		cpuTime:       time.Duration(user+system) * time.Second / clockTicksPerSecond,
		residentBytes: residentMemory(t, p.Pid()),
		peerBytes:     p.Metric("pier_packet_bytes_total") + 2*p.Metric("pier_call_bytes_total"), // doubled, as calls are counted at the calling instance only
	}
}

// takeStoreCallCounts returns the calls of the object API by method since the last
// call of this function.
func takeStoreCallCounts(t *testing.T, site *stage.Site) map[string]int {
	t.Helper()
	resp, err := http.Get("http://" + site.StoreAddr + "/admin/calls")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	calls := make(map[string]int)
	if err := json.NewDecoder(resp.Body).Decode(&calls); err != nil {
		t.Fatal(err)
	}
	return calls
}

// readAllUsage reads the resource usage of all entry instances.
func readAllUsage(t *testing.T, site *stage.Site) []usage {
	t.Helper()
	var all []usage
	for _, e := range site.Entries {
		all = append(all, readUsage(t, e))
	}
	return all
}

// printUsage prints the usage of the instances between two readings, as a mean, and
// the highest CPU usage.
func printUsage(name string, before, after []usage, interval time.Duration) {
	var cpuPercent, memory, bytesPerSecond, highest float64
	for i := range after {
		percent := float64(after[i].cpuTime-before[i].cpuTime) / float64(interval) * 100
		cpuPercent += percent
		highest = max(highest, percent)
		memory += float64(after[i].residentBytes) / (1 << 20)
		bytesPerSecond += (after[i].peerBytes - before[i].peerBytes) / interval.Seconds()
	}
	count := float64(len(after))
	fmt.Printf("%s: %.2f%% of a core (most %.2f%%), %.1f MB, %.0f bytes/s to and from other instances each\n", name, cpuPercent/count, highest, memory/count, bytesPerSecond/count)
}

// Measures the usage of idle instances at three cluster sizes, and how long a change of
// the configuration takes to be applied by all of them.
func TestIdleCostByInstances(t *testing.T) {
	if !*full {
		t.Skip("run by make bench")
	}
	for _, n := range []int{9, 27, 81} {
		site := stage.Start(t, stage.Spec{Entries: n, Engines: 16, PlainTargets: 3, Config: benchConfig()})
		time.Sleep(settleTime)
		takeStoreCallCounts(t, site)
		before := readAllUsage(t, site)
		time.Sleep(sampleTime)
		printUsage(fmt.Sprintf("%d instances, idle", n), before, readAllUsage(t, site), sampleTime)
		calls := takeStoreCallCounts(t, site)
		fmt.Printf("%d instances: %.1f reads/s of object API and instance list, %.1f writes/s\n", n,
			float64(calls[http.MethodGet])/sampleTime.Seconds(), float64(calls[http.MethodPut])/sampleTime.Seconds())
		start := time.Now()
		version := site.PutConfig(benchConfig().WithProfile(benchConfig().Profiles[0]))
		stage.Eventually(t, 10*time.Second, "configuration applied everywhere", func() bool {
			for _, e := range site.Entries {
				if status, err := e.Status(); err != nil || status.ConfigVersion < version {
					return false
				}
			}
			return true
		})
		fmt.Printf("%d instances: a change applied everywhere after %v\n", n, time.Since(start).Round(time.Millisecond))
		site.Close()
	}
}

// Measures the usage of idle instances at three sizes of the instance list.
func TestIdleCostByTargets(t *testing.T) {
	if !*full {
		t.Skip("run by make bench")
	}
	for _, n := range []int{20, 200, 600} {
		site := stage.Start(t, stage.Spec{Entries: 9, Engines: 16, Config: benchConfig()})
		targets := append([]roster.Target(nil), site.Targets...)
		for i := len(targets); i < n; i++ {
			t := targets[i%16]
			t.ID = fmt.Sprintf("engine-%d", i)
			targets = append(targets, t)
		}
		site.PutTargets(targets)
		time.Sleep(settleTime)
		before := readAllUsage(t, site)
		time.Sleep(sampleTime)
		printUsage(fmt.Sprintf("%d targets, 9 instances, idle", n), before, readAllUsage(t, site), sampleTime)
		site.Close()
	}
}

// Measures the usage of instances at three request rates and two lengths of answers.
func TestCostByRequestRate(t *testing.T) {
	if !*full {
		t.Skip("run by make bench")
	}
	for _, rate := range []float64{25, 50, 100} {
		for _, tokens := range []int{20, 100} {
			site := stage.Start(t, stage.Spec{Entries: 3, Engines: 16, Config: benchConfig(), EngineArgs: []string{"-prefill", "10000000"}})
			time.Sleep(2 * time.Second)
			before := readAllUsage(t, site)
			plan := load.Plan(load.Workload{Seed: *seed, Duration: sampleTime, TokensPerSecond: rate * 20_000, OmitLong: true, Customers: customers, MaxOutputTokens: tokens})
			runner := &load.Runner{ProfileFor: func(c load.Class) string { return string(c) }}
			for _, e := range site.Entries {
				runner.EntryAddrs = append(runner.EntryAddrs, e.CallersAddr)
			}
			runner.Run(context.Background(), plan)
			name := fmt.Sprintf("%.1f requests/s of %d tokens on each of 3 instances", float64(len(plan))/sampleTime.Seconds()/3, tokens)
			printUsage(name, before, readAllUsage(t, site), sampleTime)
			site.Close()
		}
	}
}

// Measures the writes to the object API per operation at four rates. For comparison: if
// each operation had an object of its own, it would take three writes.
func TestOperationWrites(t *testing.T) {
	if !*full {
		t.Skip("run by make bench")
	}
	for _, rate := range []int{1, 10, 100, 1000} {
		site := stage.Start(t, stage.Spec{Entries: 9, PlainTargets: 3, Config: benchConfig()})
		caller := site.CustomerClient("customer-0")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		// These calls make the instances take over the shards before the measurement.
		sendCalls(ctx, caller.Call, "warm", 200, 100)
		takeStoreCallCounts(t, site)
		start := time.Now()
		count := min(max(rate*10, 20), 5000)
		failed, slowest := sendCalls(ctx, caller.Call, "write", count, rate)
		spent := time.Since(start)
		time.Sleep(time.Second) // outcomes are written after the caller is answered
		puts := takeStoreCallCounts(t, site)[http.MethodPut]
		fmt.Printf("%d operations/s: %.2f writes for each, %.0f writes/s, slowest answer %v, %d failed of %d\n", rate,
			float64(puts)/float64(count), float64(puts)/spent.Seconds(), slowest.Round(time.Millisecond), failed, count)
		cancel()
		site.Close()
	}
}

// callFunc is the signature of pier.Client.Call.
type callFunc func(ctx context.Context, request wire.Call, key string) (wire.Result, error)

// sendCalls sends calls at a rate per second and returns how many failed, and the
// longest time to an answer.
func sendCalls(ctx context.Context, call callFunc, prefix string, count, rate int) (failed int, slowest time.Duration) {
	var mu sync.Mutex
	var group sync.WaitGroup
	start := time.Now()
	for i := range count {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		group.Go(func() {
			sent := time.Now()
			_, err := call(ctx, wire.Call{Profile: "hold", Body: "slot"}, fmt.Sprintf("%s-%d", prefix, i))
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, time.Since(sent))
			if err != nil {
				failed++
			}
		})
	}
	group.Wait()
	return failed, slowest
}
