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
	memoryReleaseLimit = 15 * time.Second // detection of the dead owner, sweep.OwnerGrace and two sweeps
)

// startWithEngineProxy starts a site whose first engine is reached through a proxy.
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

// sendPrompts sends n prompts at the same time and waits for all answers.
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

// The proxy to an engine stalls in one direction while answers are being sent. All
// answers are complete and in time.
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

// All connections to an engine are closed while answers are being sent, and new ones are
// refused. All answers are complete and in time.
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

// The only engine never answers. Every request fails by its deadline.
func TestAllEnginesSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site, proxy := startWithEngineProxy(t, 1)
	proxy.stall("downstream")
	all := sendPrompts(t, site, 10, "status", 2000, 50)
	t.Log(all.summary())
	all.checkDeadline(t, statusDeadline)
	for _, o := range all.list {
		is.True(o.err != nil)
	}
}

// An engine sends frames of another attempt, closes the connection, ends early, repeats
// frames or stalls. The callers still get complete and correct answers in time.
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

// The only engine always answers wrongly. A caller gets an error or its complete answer,
// which can be assembled from the valid frames of several attempts. If every frame is of
// another attempt, no frame is valid and every request fails.
func TestOnlyWrongAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 1, Engines: 1, Config: siteConfig()})
	for _, fault := range []fake.EngineFault{{WrongAttempt: true}, {Truncate: true}, {DuplicateFrames: true}} {
		site.SetFault(site.DirectAddr(site.Targets[0]), fault)
		all := sendPrompts(t, site, 3, "status", 1000, 20)
		t.Log(all.summary())
		for _, o := range all.list {
			is.True(o.err != nil || (o.complete && !fault.WrongAttempt))
		}
		all.checkDeadline(t, statusDeadline)
	}
}

// waitMemoryReleased waits until no engine has memory allocated to an owner.
func waitMemoryReleased(t *testing.T, site *stage.Site) {
	t.Helper()
	start := time.Now()
	var held []engine.Holding
	defer func() {
		for _, h := range held {
			t.Logf("still allocated: %+v", h)
		}
	}()
	stage.Eventually(t, memoryReleaseLimit, "no memory allocated to owners on any engine", func() bool {
		held = site.Holdings()
		return len(held) == 0
	})
	t.Logf("all memory released after %v (sweep.OwnerGrace: %v)", time.Since(start).Round(time.Millisecond), sweep.OwnerGrace)
}

// Instances are killed while their prompts are in prefill, in decode, or hold memory on
// several engines. The engines' memory must be released.
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

// An instance is frozen while it has streams and a reservation, and is resumed after the
// others have declared it dead. Its callers are answered in time and all memory is
// released.
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

// Callers disconnect before their answers. The memory of their prompts is released.
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

// A target reports that it is leaving while the instance list still has it as live. It
// gets no new requests, even after it stops saying so and the list is written again.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 3, Engines: 2, Config: siteConfig()})
	leaving := site.DirectAddr(site.Targets[0])
	site.SetFault(leaving, fake.EngineFault{Leaving: true})
	all := sendPrompts(t, site, 6, "status", 1000, 5)
	all.checkComplete(t)
	time.Sleep(5 * time.Second)
	site.SetFault(leaving, fake.EngineFault{}) // it would accept requests again
	site.PutTargets(site.Targets)              // a newer list that still has it as live
	time.Sleep(time.Second)
	ctx := testContext(t, time.Minute)
	for i := range 60 {
		answer, err := site.CustomerClient("importer").Complete(ctx, wire.Completion{Profile: "status", Prompt: fmt.Sprint("late ", i), MaxTokens: 1})
		is.NoErr(err)
		is.Equal(answer.Target, "engine-1")
	}
}

// The instance list changes a target to leaving. Every instance stops using it within
// 5 s.
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

// The connections between callers and an instance stall in one direction. The callers
// are served by the other instance in time.
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
			// The caller gives the stalled connection up after 3 s, and the other instance
			// starts a new deadline.
			all.checkDeadline(t, 3*time.Second+statusDeadline)
		})
	}
}
