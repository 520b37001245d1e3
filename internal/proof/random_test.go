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

// Injects two random faults at a time, drawn from a seed, while short and long prompts
// are sent. Each caller gets its complete answer or an error in time, and afterwards no
// memory stays allocated.
func TestRandomFaultsOnPrompts(t *testing.T) {
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
		first, second := randomPromptFault(random, site), randomPromptFault(random, site)
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

// checkNoWrongAnswer fails the test if a request succeeded with an answer that is
// incomplete or belongs to another request.
func (l *outcomes) checkNoWrongAnswer(tb testing.TB) {
	tb.Helper()
	for _, o := range l.list {
		if o.err == nil && !o.complete {
			tb.Errorf("%s: wrong or incomplete answer", o.key)
		}
	}
}

// randomPromptFault draws a fault. The returned function injects it and returns a function
// that ends it.
func randomPromptFault(random *rand.Rand, site *stage.Site) func() func() {
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

// All instances of an availability zone are killed under load. The callers are served by
// the others in time, no booking is executed twice, and no memory stays allocated.
func TestZoneKilled(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{
		Entries: 6, Engines: 4, PlainTargets: 1, Config: siteConfig(), Zones: []string{"zone-a", "zone-b", "zone-c"},
	})
	ctx := testContext(t, time.Minute)
	var bookings, prompts outcomes
	var group sync.WaitGroup
	for i := range 12 {
		caller := site.CustomerClient("importer")
		group.Go(func() {
			for n := range 12 {
				prompts.add(sendPrompt(ctx, caller, "status", fmt.Sprintf("zone-%d-%d", i, n), 2000, 20))
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
	t.Log("prompts: ", prompts.summary())
	prompts.checkComplete(t)
	// A caller whose instance dies retries at another one, with a new deadline.
	prompts.checkDeadline(t, 2*statusDeadline)
	bookings.checkDeadline(t, 2*statusDeadline)
	bookings.checkBookings(t, site)
	waitMemoryReleased(t, site)
}
