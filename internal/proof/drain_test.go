package proof

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/stage"
)

// Replaces all instances one after another under load, while long prompts are being
// answered and callers hold addresses of stopped instances. No request may fail.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	entries := 9
	if testing.Short() {
		entries = 4
	}
	site := stage.Start(t, stage.Spec{Entries: entries, Engines: 5, PlainTargets: 2, Config: siteConfig()})
	ctx := testContext(t, 5*time.Minute)
	var bookings, prompts outcomes
	var group sync.WaitGroup
	var stop atomic.Bool
	for i := range 6 {
		caller := site.CustomerClient("importer")
		group.Go(func() {
			for n := 0; !stop.Load(); n++ {
				bookings.add(sendBooking(ctx, caller, fmt.Sprintf("roll-%d-%d", i, n)))
				time.Sleep(40 * time.Millisecond)
			}
		})
		group.Go(func() {
			for n := 0; !stop.Load(); n++ {
				prompts.add(sendPrompt(ctx, caller, "status", fmt.Sprintf("roll-%d-%d", i, n), 2000, 20))
			}
		})
		group.Go(func() {
			for n := 0; !stop.Load(); n++ {
				tokens := []int{100_000, 500_000}[n%2]
				prompts.add(sendPrompt(ctx, caller, "record", fmt.Sprintf("long-%d-%d", i, n), tokens, 150))
			}
		})
	}
	for i := range entries {
		old := site.Entries[i]
		site.AddEntry()
		old.Drain()
		if err := old.Wait(90 * time.Second); err != nil {
			t.Errorf("%s: %v", old.Name, err)
		}
	}
	stop.Store(true)
	group.Wait()
	t.Log("bookings: ", bookings.summary())
	t.Log("prompts: ", prompts.summary())
	bookings.checkBookings(t, site)
	bookings.checkComplete(t)
	prompts.checkComplete(t)
}
