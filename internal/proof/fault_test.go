package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/stage"
	"github.com/corianderpier/corianderpier/internal/sweep"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	statusDeadline     = 5 * time.Second
	recordDeadline     = time.Minute
	memoryReleaseLimit = 15 * time.Second // detection, the sweep's grace and two sweeps
)

// startWithEngineProxy is a site whose first engine is reached through a proxy.
func startWithEngineProxy(t *testing.T, engines int) (*stage.Site, *faultProxy) {
	t.Helper()
	var proxy *faultProxy
	site := stage.Start(t, stage.Spec{
		Entries: 3, Engines: engines, PlainTargets: 1, Config: siteConfig(),
		TargetAddrFor: func(id, addr string) string {
			if id != "engine-0" {
				return addr
			}
			proxy = newFaultProxy(t, addr)
			return proxy.addr()
		},
	})
	return site, proxy
}

// sendPrompts sends prompts at once and waits for all answers.
func sendPrompts(t *testing.T, site *stage.Site, n int, profile string, tokens, output int) *outcomes {
	t.Helper()
	ctx := testContext(t, 2*time.Minute)
	var all outcomes
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			all.add(sendPrompt(ctx, site.CustomerClient("importer"), profile, fmt.Sprintf("%s-%d", profile, i), tokens, output))
		})
	}
	group.Wait()
	return &all
}

// Connections to an engine go silent for good in either direction while new ones work: answers stay whole and in time.
func TestSilentEngineConnection(t *testing.T) {
	t.Parallel()
	for _, direction := range []string{"upstream", "downstream"} {
		t.Run(direction, func(t *testing.T) {
			site, proxy := startWithEngineProxy(t, 2)
			done := make(chan *outcomes)
			go func() { done <- sendPrompts(t, site, 20, "status", 2000, 100) }()
			time.Sleep(700 * time.Millisecond)
			proxy.stall(direction)
			all := <-done
			t.Log(all.summary())
			all.checkComplete(t)
			all.checkDeadline(t, statusDeadline)
		})
	}
}

// All connections to an engine are cut in the middle of answers, and new ones are refused.
func TestEngineCut(t *testing.T) {
	t.Parallel()
	site, proxy := startWithEngineProxy(t, 2)
	done := make(chan *outcomes)
	go func() { done <- sendPrompts(t, site, 20, "status", 2000, 100) }()
	time.Sleep(700 * time.Millisecond)
	proxy.cut()
	all := <-done
	t.Log(all.summary())
	all.checkComplete(t)
	all.checkDeadline(t, statusDeadline)
}

// With no engine that answers, every request fails by its deadline and says so.
func TestAllEnginesSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site, proxy := startWithEngineProxy(t, 1)
	proxy.stall("downstream")
	all := sendPrompts(t, site, 10, "status", 2000, 50)
	t.Log(all.summary())
	all.checkDeadline(t, statusDeadline)
	for _, o := range all.all {
		is.True(o.err != nil)
	}
}

// Crossed, cut, shortened, repeated and stalled answers: none is taken for complete.
func TestWrongAnswers(t *testing.T) {
	t.Parallel()
	faults := map[string]fake.EngineFault{
		"cross":   {WrongAttempt: true, MaxRequests: 4},
		"cut":     {CutAfter: 3, MaxRequests: 4},
		"shorten": {Truncate: true, MaxRequests: 4},
		"repeat":  {DuplicateFrames: true, MaxRequests: 4},
		"silent":  {StallAfter: 3, MaxRequests: 4},
	}
	site := stage.Start(t, stage.Spec{Entries: 3, Engines: 2, PlainTargets: 1, Config: siteConfig()})
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			site.SetFault(site.DirectAddr(site.Targets[0]), fault)
			all := sendPrompts(t, site, 12, "status", 2000, 40)
			site.SetFault(site.DirectAddr(site.Targets[0]), fake.EngineFault{})
			t.Log(all.summary())
			all.checkComplete(t)
			all.checkDeadline(t, statusDeadline)
		})
	}
}

// With an engine that only ever answers wrongly a caller has a failure or its own whole answer, pieced together
// from what was right; from an engine that answers for other attempts nothing is right.
func TestOnlyWrongAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 1, Engines: 1, Config: siteConfig()})
	for _, fault := range []fake.EngineFault{{WrongAttempt: true}, {Truncate: true}, {DuplicateFrames: true}} {
		site.SetFault(site.DirectAddr(site.Targets[0]), fault)
		all := sendPrompts(t, site, 3, "status", 1000, 20)
		t.Log(all.summary())
		for _, o := range all.all {
			is.True(o.err != nil || (o.complete && !fault.WrongAttempt))
		}
		all.checkDeadline(t, statusDeadline)
	}
}

// waitMemoryReleased waits until no engine keeps memory for an owner.
func waitMemoryReleased(t *testing.T, site *stage.Site) {
	t.Helper()
	start := time.Now()
	var held []engine.Holding
	defer func() {
		for _, h := range held {
			t.Logf("held: %+v", h)
		}
	}()
	stage.Eventually(t, memoryReleaseLimit, "no owned memory on any engine", func() bool {
		held = site.Holdings()
		return len(held) == 0
	})
	t.Logf("owned memory was zero after %v (grace of the sweep: %v)", time.Since(start).Round(time.Millisecond), sweep.OwnerGrace)
}

// Instances are killed in prefill, decode and a reservation over several engines: no engine loses memory for good.
func TestMemoryAfterKill(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 4, Engines: 5, Config: siteConfig()})
	ctx := testContext(t, time.Minute)
	var group sync.WaitGroup
	for i := range 2 {
		for j := range 3 {
			name := fmt.Sprintf("kill-%d-%d", i, j)
			client := site.PinnedClient(site.Entries[i], "importer")
			client.MaxTries = 1
			tokens := []int{1000, 300_000, 900_000}[j] // decode, prefill, several engines
			group.Go(func() { sendPrompt(ctx, client, "record", name, tokens, 500) })
		}
	}
	time.Sleep(1500 * time.Millisecond)
	is.True(len(site.Holdings()) > 0)
	site.Entries[0].Kill()
	site.Entries[1].Kill()
	waitMemoryReleased(t, site)
	group.Wait()
}

// An instance is frozen with streams and a reservation open, and resumed later.
func TestMemoryAfterFreeze(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{Entries: 3, Engines: 5, Config: siteConfig()})
	ctx := testContext(t, 2*time.Minute)
	var all outcomes
	var group sync.WaitGroup
	for j, tokens := range []int{1000, 300_000, 900_000} {
		client := site.PinnedClient(site.Entries[0], "importer")
		client.MaxTries = 1
		group.Go(func() { all.add(sendPrompt(ctx, client, "record", fmt.Sprintf("freeze-%d", j), tokens, 300)) })
	}
	time.Sleep(1500 * time.Millisecond)
	site.Entries[0].Freeze()
	time.Sleep(6 * time.Second)
	site.Entries[0].Resume()
	group.Wait()
	t.Log(all.summary())
	all.checkDeadline(t, recordDeadline)
	waitMemoryReleased(t, site)
}

// Callers that give up leave no memory behind.
func TestMemoryAfterCallersLeave(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{Entries: 2, Engines: 3, Config: siteConfig()})
	ctx := testContext(t, 1500*time.Millisecond)
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			sendPrompt(ctx, site.CustomerClient("importer"), "record", fmt.Sprintf("leave-%d", i), 100_000, 500)
		})
	}
	group.Wait()
	waitMemoryReleased(t, site)
}

// A target says that it is leaving while the list still calls it live: it gets no new work, and older news changes nothing.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 3, Engines: 2, Config: siteConfig()})
	leaving := site.DirectAddr(site.Targets[0])
	site.SetFault(leaving, fake.EngineFault{Leaving: true})
	all := sendPrompts(t, site, 6, "status", 1000, 5)
	all.checkComplete(t)
	time.Sleep(5 * time.Second)
	site.SetFault(leaving, fake.EngineFault{}) // it would take work again
	site.PutTargets(site.Targets)              // and the list still calls it live
	time.Sleep(time.Second)
	ctx := testContext(t, time.Minute)
	for i := range 60 {
		answer, err := site.CustomerClient("importer").Complete(ctx, wire.Completion{Profile: "status", Prompt: fmt.Sprint("late ", i), MaxTokens: 1})
		is.NoErr(err)
		is.Equal(answer.Target, "engine-1")
	}
}

// The list calls a target leaving: every instance stops using it within 5 s.
func TestLeavingInList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 5, Engines: 2, Config: siteConfig()})
	targets := append([]roster.Target(nil), site.Targets...)
	targets[0].State = roster.Leaving
	site.PutTargets(targets)
	time.Sleep(5 * time.Second)
	ctx := testContext(t, time.Minute)
	for _, e := range site.Entries {
		for i := range 10 {
			answer, err := site.PinnedClient(e, "importer").Complete(ctx, wire.Completion{Profile: "status", Prompt: fmt.Sprint("listed ", i), MaxTokens: 1})
			is.NoErr(err)
			is.Equal(answer.Target, "engine-1")
		}
	}
}

// Connections between a caller and an instance go silent in either direction: the caller is served elsewhere in time.
func TestEntrySilent(t *testing.T) {
	t.Parallel()
	for _, direction := range []string{"upstream", "downstream"} {
		t.Run(direction, func(t *testing.T) {
			site := stage.Start(t, stage.Spec{Entries: 2, Engines: 2, Config: siteConfig()})
			ctx := testContext(t, time.Minute)
			proxy := newFaultProxy(t, site.Entries[0].CallersAddr)
			var all outcomes
			var group sync.WaitGroup
			for i := range 10 {
				client := site.CustomerClient("importer")
				client.Seeds, client.SeedsOnly = []string{proxy.addr(), site.Entries[1].CallersAddr}, true
				group.Go(func() {
					time.Sleep(time.Duration(i) * 150 * time.Millisecond)
					all.add(sendPrompt(ctx, client, "status", fmt.Sprintf("entry-silent-%d", i), 2000, 40))
				})
			}
			time.Sleep(700 * time.Millisecond)
			proxy.stall(direction)
			group.Wait()
			t.Log(all.summary())
			all.checkComplete(t)
			// The silent connection costs its limit, and the other instance starts a deadline of its own.
			all.checkDeadline(t, 3*time.Second+statusDeadline)
		})
	}
}
