package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/stage"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

type storeFault struct {
	Refuse      bool    `json:"refuse"`
	DelayMillis int     `json:"delay_ms"`
	LoseAnswer  float64 `json:"lose_answer"`
	ApplyLate   float64 `json:"late"`
	StaleRead   float64 `json:"stale"`
}

type plainFault struct {
	Refuse       int  `json:"refuse"`
	LoseAnswer   int  `json:"lose_answer"`
	WrongAttempt int  `json:"cross"`
	Hang         int  `json:"hang"`
	DelayMillis  int  `json:"delay_ms"`
	Leaving      bool `json:"leaving"`
}

// sendBookingPairs sends each key twice at once through two instances, at a steady pace, until the count is reached.
func sendBookingPairs(ctx context.Context, site *stage.Site, all *outcomes, prefix string, keys int, pace time.Duration) {
	var group sync.WaitGroup
	for i := range keys {
		key := fmt.Sprintf("%s-%d", prefix, i)
		for range 2 {
			group.Go(func() { all.add(sendBooking(ctx, site.CustomerClient("importer"), key)) })
		}
		time.Sleep(pace)
	}
	group.Wait()
}

// The writer of a shard is frozen across a takeover, and resumed: at most one run for each key.
func TestFrozenWriterResumed(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{Entries: 3, PlainTargets: 1, Config: siteConfig()})
	ctx := testContext(t, time.Minute)
	site.SetFault(site.DirectAddr(site.Targets[0]), plainFault{DelayMillis: 30})
	var all outcomes
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendBookingPairs(ctx, site, &all, "freeze", 400, 25*time.Millisecond)
	}()
	for i := range 2 {
		time.Sleep(time.Second)
		site.Entries[i].Freeze()
		time.Sleep(4 * time.Second) // long enough to be taken for dead
		site.Entries[i].Resume()
	}
	<-done
	t.Log(all.summary())
	all.checkBookings(t, site)
}

// Instances are killed and replaced while bookings go on.
func TestKilledWriters(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{Entries: 4, PlainTargets: 2, Config: siteConfig()})
	ctx := testContext(t, time.Minute)
	var all outcomes
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendBookingPairs(ctx, site, &all, "kill", 400, 20*time.Millisecond)
	}()
	for i := range 2 {
		time.Sleep(2 * time.Second)
		site.Entries[i].Kill()
		site.AddEntry()
	}
	<-done
	t.Log(all.summary())
	all.checkBookings(t, site)
	all.checkDeadline(t, 5*time.Second+4*time.Second) // a caller that loses its instance starts again with a new deadline
}

// The object API loses answers, carries writes out late, answers slowly and with old versions.
func TestStoreLosesAnswers(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{Entries: 3, PlainTargets: 1, Config: siteConfig()})
	ctx := testContext(t, time.Minute)
	site.SetFault(site.StoreAddr, storeFault{DelayMillis: 5, LoseAnswer: 0.15, ApplyLate: 0.15, StaleRead: 0.2})
	var all outcomes
	sendBookingPairs(ctx, site, &all, "lost", 300, 10*time.Millisecond)
	site.SetFault(site.StoreAddr, storeFault{})
	t.Log(all.summary())
	all.checkBookings(t, site)
	all.checkDeadline(t, 5*time.Second)
}

// While the object API is down a booking is refused in time and truthfully, reads go on, and bookings resume afterwards.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 3, Engines: 1, PlainTargets: 1, Config: siteConfig()})
	ctx := testContext(t, time.Minute)
	is.NoErr(sendBooking(ctx, site.CustomerClient("importer"), "before").err)
	site.SetFault(site.StoreAddr, storeFault{Refuse: true})
	var all outcomes
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() { all.add(sendBooking(ctx, site.CustomerClient("importer"), fmt.Sprintf("down-%d", i))) })
		group.Go(func() {
			o := sendPrompt(ctx, site.CustomerClient("importer"), "status", fmt.Sprintf("read-%d", i), 1000, 10)
			if !o.complete {
				t.Errorf("%s: %v", o.key, o.err)
			}
		})
	}
	group.Wait()
	site.SetFault(site.StoreAddr, storeFault{})
	t.Log(all.summary())
	for _, o := range all.all {
		is.True(o.err != nil)
		is.Equal(o.ran, wire.RanNo)
	}
	all.checkDeadline(t, 5*time.Second)
	time.Sleep(time.Second) // a late write must not bring a dispatch
	all.checkBookings(t, site)
	is.NoErr(sendBooking(ctx, site.CustomerClient("importer"), "after").err)
}

// A target that does not answer, answers late, or refuses: the outcome is unknown or not run, never a second run.
func TestTargetAnswersLateOrNever(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 3, PlainTargets: 2, Config: siteConfig()})
	ctx := testContext(t, time.Minute)
	var all outcomes
	for _, target := range site.Targets {
		site.SetFault(site.DirectAddr(target), plainFault{Hang: 3, LoseAnswer: 5, Refuse: 10, WrongAttempt: 5})
	}
	sendBookingPairs(ctx, site, &all, "late", 60, 10*time.Millisecond)
	t.Log(all.summary())
	all.checkBookings(t, site)
	all.checkDeadline(t, 5*time.Second)
	unknown := 0
	for _, o := range all.all {
		if o.ran == wire.RanUnknown {
			unknown++
		}
	}
	is.True(unknown > 0)
}

// Two faults at once, drawn by a seed, over at least 10,000 operations in the long run.
func TestRandomFaultsOnBookings(t *testing.T) {
	t.Parallel()
	seed, keys := uint64(7), 5000
	if testing.Short() {
		keys = 400
	}
	site := stage.Start(t, stage.Spec{Entries: 5, PlainTargets: 2, Config: siteConfig()})
	ctx := testContext(t, 5*time.Minute)
	random := rand.New(rand.NewPCG(seed, seed))
	var all outcomes
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendBookingPairs(ctx, site, &all, "random", keys, 10*time.Millisecond)
	}()
	for running := true; running; {
		first, second := randomBookingFault(random, site), randomBookingFault(random, site)
		undoFirst, undoSecond := first(), second()
		running = !waitDone(done, time.Duration(500+random.IntN(4000))*time.Millisecond)
		undoFirst()
		undoSecond()
		running = running && !waitDone(done, time.Duration(200+random.IntN(1500))*time.Millisecond)
	}
	t.Log(all.summary())
	all.checkBookings(t, site)
}

// randomBookingFault returns a fault that is applied when called and returns how to end it.
func randomBookingFault(random *rand.Rand, site *stage.Site) func() func() {
	entry := site.Entries[random.IntN(len(site.Entries))]
	plain := site.DirectAddr(site.Targets[random.IntN(len(site.Targets))])
	faults := []func() func(){
		func() func() { entry.Freeze(); return entry.Resume },
		func() func() {
			site.SetFault(site.StoreAddr, storeFault{Refuse: true})
			return func() { site.SetFault(site.StoreAddr, storeFault{}) }
		},
		func() func() {
			site.SetFault(site.StoreAddr, storeFault{LoseAnswer: 0.3, ApplyLate: 0.2, StaleRead: 0.3, DelayMillis: 20})
			return func() { site.SetFault(site.StoreAddr, storeFault{}) }
		},
		func() func() {
			site.SetFault(plain, plainFault{LoseAnswer: 10, Refuse: 10, Hang: 2, WrongAttempt: 5, DelayMillis: 100})
			return func() { site.SetFault(plain, plainFault{}) }
		},
		func() func() {
			if len(site.Entries) < 12 && !entry.Ended() {
				entry.Kill()
				site.AddEntry()
			}
			return func() {}
		},
	}
	return faults[random.IntN(len(faults))]
}

func waitDone(done <-chan struct{}, limit time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
