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

// storeFault is the body of a request that changes the faults of the fake object API.
// LoseAnswer, ApplyLate and StaleRead are probabilities per call.
type storeFault struct {
	Refuse      bool    `json:"refuse"`
	DelayMillis int     `json:"delay_ms"`
	LoseAnswer  float64 `json:"lose_answer"`
	ApplyLate   float64 `json:"late"`
	StaleRead   float64 `json:"stale"`
}

// plainFault is the body of a request that changes the faults of a fake plain service.
type plainFault struct {
	Refuse       int  `json:"refuse"`
	LoseAnswer   int  `json:"lose_answer"`
	WrongAttempt int  `json:"cross"`
	Hang         int  `json:"hang"`
	DelayMillis  int  `json:"delay_ms"`
	Leaving      bool `json:"leaving"`
}

// sendBookingPairs sends a booking for each key twice at the same time, each through a
// client of its own, and pauses between the keys. It returns after all answers.
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

// Instances that own shards are frozen until others have taken the shards over, and are
// then resumed. No booking may be executed twice by the old and the new owner.
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
		time.Sleep(4 * time.Second) // longer than the others need to declare it dead
		site.Entries[i].Resume()
	}
	<-done
	t.Log(all.summary())
	all.checkBookings(t, site)
}

// Instances are killed and replaced while bookings are sent. No booking may be executed
// twice, and every caller is answered in time.
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
	all.checkDeadline(t, 5*time.Second+4*time.Second) // a caller whose instance dies retries at another one, with a new deadline
}

// The object API drops responses, executes writes late, and answers slowly or with old
// versions. No booking may be executed twice, and every caller is answered in time.
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

// While the object API is down, bookings are rejected in time and reported as not run,
// and prompts are served. Afterwards bookings work again.
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
	for _, o := range all.list {
		is.True(o.err != nil)
		is.Equal(o.ran, wire.RanNo)
	}
	all.checkDeadline(t, 5*time.Second)
	time.Sleep(time.Second) // a write that takes effect late must not dispatch its booking
	all.checkBookings(t, site)
	is.NoErr(sendBooking(ctx, site.CustomerClient("importer"), "after").err)
}

// Plain services hang, drop responses, reject calls or answer for another attempt. A
// failed call is reported as unknown or not run, and is never executed a second time.
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
	for _, o := range all.list {
		if o.ran == wire.RanUnknown {
			unknown++
		}
	}
	is.True(unknown > 0)
}

// Injects two random faults at a time, drawn from a seed. Without -short at least 10,000
// bookings are sent: 5,000 keys, each twice. No booking may be executed twice.
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

// randomBookingFault draws a fault. The returned function injects it and returns a
// function that ends it.
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

// waitDone waits until done is closed and reports false after the limit.
func waitDone(done <-chan struct{}, limit time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
