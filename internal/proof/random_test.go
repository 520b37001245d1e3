package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/stage"
)

// Two faults at once, drawn by a seed, on prompts of all lengths: each answer is the caller's own and whole, or a failure in
// time, and afterwards no engine holds memory.
func TestRandomFaultsOnReads(t *testing.T) {
	t.Parallel()
	seed, length := uint64(13), 60*time.Second
	if testing.Short() {
		length = 12 * time.Second
	}
	site := stage.Start(t, stage.Spec{Entries: 4, Engines: 5, Config: siteConfig()})
	ctx := testContext(t, 5*time.Minute)
	random := rand.New(rand.NewPCG(seed, seed))
	var short, long outcomes
	var group sync.WaitGroup
	var stop atomic.Bool
	for i := range 8 {
		group.Go(func() {
			for n := 0; !stop.Load(); n++ {
				client := site.PinnedClient(site.Entries[(i+n)%4], "importer")
				client.MaxTries = 1
				name := fmt.Sprintf("random-%d-%d", i, n)
				if i%4 == 0 {
					long.add(sendPrompt(ctx, client, "record", name, []int{80_000, 500_000}[n%2], 60))
				} else {
					short.add(sendPrompt(ctx, client, "status", name, 3000, 30))
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		first, second := randomReadFault(random, site), randomReadFault(random, site)
		undoFirst, undoSecond := first(), second()
		time.Sleep(time.Duration(500+random.IntN(4500)) * time.Millisecond)
		undoFirst()
		undoSecond()
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	stop.Store(true)
	group.Wait()
	t.Log("short: ", short.summary())
	t.Log("long: ", long.summary())
	short.checkNoWrongAnswer(t)
	long.checkNoWrongAnswer(t)
	short.checkDeadline(t, statusDeadline)
	long.checkDeadline(t, recordDeadline)
	waitMemoryReleased(t, site)
}

// checkNoWrongAnswer fails the test if a caller has an answer that is not its own and whole.
func (t *outcomes) checkNoWrongAnswer(tb testing.TB) {
	tb.Helper()
	for _, o := range t.all {
		if o.err == nil && !o.complete {
			tb.Errorf("%s: the answer is not its own", o.key)
		}
	}
}

// randomReadFault returns a fault that is applied when called and returns how to end it.
func randomReadFault(random *rand.Rand, site *stage.Site) func() func() {
	entry := site.Entries[random.IntN(4)]
	target := site.DirectAddr(site.Targets[random.IntN(len(site.Targets))])
	engineFault := func(f fake.EngineFault) func() func() {
		return func() func() {
			site.SetFault(target, f)
			return func() { site.SetFault(target, fake.EngineFault{}) }
		}
	}
	faults := []func() func(){
		func() func() { entry.Freeze(); return entry.Resume },
		func() func() {
			site.SetFault(site.StoreAddr, storeFault{Refuse: true})
			return func() { site.SetFault(site.StoreAddr, storeFault{}) }
		},
		engineFault(fake.EngineFault{WrongAttempt: true}),
		engineFault(fake.EngineFault{CutAfter: 2}),
		engineFault(fake.EngineFault{Truncate: true}),
		engineFault(fake.EngineFault{DuplicateFrames: true}),
		engineFault(fake.EngineFault{StallAfter: 2}),
	}
	return faults[random.IntN(len(faults))]
}

// All instances of an availability zone are killed under load: callers are served by the others in time, and no memory is lost.
func TestZoneKilled(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{
		Entries: 6, Engines: 4, PlainTargets: 1, Config: siteConfig(), Zones: []string{"zone-a", "zone-b", "zone-c"},
	})
	ctx := testContext(t, time.Minute)
	var bookings, reads outcomes
	var group sync.WaitGroup
	for i := range 12 {
		caller := site.CustomerClient("importer")
		group.Go(func() {
			for n := range 12 {
				reads.add(sendPrompt(ctx, caller, "status", fmt.Sprintf("zone-%d-%d", i, n), 2000, 20))
				bookings.add(sendBooking(ctx, caller, fmt.Sprintf("zone-%d-%d", i, n)))
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for i, e := range site.Entries {
		if i%3 == 0 {
			e.Kill()
		}
	}
	group.Wait()
	t.Log("bookings: ", bookings.summary())
	t.Log("reads: ", reads.summary())
	reads.checkComplete(t)
	// A caller that loses its instance starts again elsewhere, with a deadline of its own.
	reads.checkDeadline(t, 2*statusDeadline)
	bookings.checkDeadline(t, 2*statusDeadline)
	bookings.checkBookings(t, site)
	waitMemoryReleased(t, site)
}
