package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/stage"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// detectLimit is the longest time until a dead instance is declared dead.
const detectLimit = 6 * time.Second

// seesAlive reports whether an instance sees another as alive.
func seesAlive(t *testing.T, e *stage.Process, name string) bool {
	t.Helper()
	status, err := e.Status()
	if err != nil {
		return false
	}
	for _, m := range status.Members {
		if m.Name == name {
			return m.State == member.Alive
		}
	}
	return false
}

// waitViewsAgree waits until each of entries sees exactly the instances in want as alive.
func waitViewsAgree(t *testing.T, limit time.Duration, entries []*stage.Process, want []*stage.Process) {
	t.Helper()
	stage.Eventually(t, limit, "all views agree", func() bool {
		for _, e := range entries {
			status, err := e.Status()
			if err != nil || len((member.View{Members: status.Members}).Live()) != len(want) {
				return false
			}
			for _, w := range want {
				if !seesAlive(t, e, w.Name) {
					return false
				}
			}
		}
		return true
	})
}

// A killed and a frozen instance are declared dead in time. After the frozen one is
// resumed, it joins again with a higher incarnation.
func TestDetection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 5, Config: siteConfig()})
	start := time.Now()
	site.Entries[0].Kill()
	stage.Eventually(t, detectLimit, "the killed instance is declared dead", func() bool {
		return !seesAlive(t, site.Entries[3], "entry-0") && !seesAlive(t, site.Entries[4], "entry-0")
	})
	t.Logf("killed: detected after %v", time.Since(start).Round(time.Millisecond))
	start = time.Now()
	site.Entries[1].Freeze()
	stage.Eventually(t, detectLimit, "the frozen instance is declared dead", func() bool { return !seesAlive(t, site.Entries[3], "entry-1") })
	t.Logf("frozen: detected after %v", time.Since(start).Round(time.Millisecond))
	site.Entries[1].Resume()
	waitViewsAgree(t, 15*time.Second, site.Entries[1:], site.Entries[1:])
	status, err := site.Entries[3].Status()
	is.NoErr(err)
	for _, m := range status.Members {
		if m.Name == "entry-1" {
			is.True(m.Incarnation > m.FirstIncarnation)
		}
	}
}

// All instances are killed and started again at the same time. They find one another.
func TestSimultaneousRestart(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{Entries: 6, Config: siteConfig()})
	for _, e := range site.Entries {
		e.Kill()
	}
	old := len(site.Entries)
	for i := range old {
		site.Entries = append(site.Entries, site.StartEntry(fmt.Sprintf("entry-%d", i), i))
	}
	waitViewsAgree(t, 15*time.Second, site.Entries[old:], site.Entries[old:])
}

// All packets that one instance sends are dropped, while it receives those of the others.
// The others agree that it is dead, and all views agree once the packets arrive again.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	site, network := startNetwork(t, stage.Spec{Entries: 4, Engines: 2, Config: siteConfig()})
	network.setDrop(func(from, _ int) bool { return from == 0 })
	rest := site.Entries[1:]
	waitViewsAgree(t, 15*time.Second, rest, rest)
	network.setDrop(nil)
	waitViewsAgree(t, 30*time.Second, site.Entries, site.Entries)
}

// The network splits into two halves that declare each other dead, while prompts and
// bookings are sent to both. No booking is executed twice, every prompt is answered
// completely and in time, and no memory stays allocated.
func TestNetworkPartition(t *testing.T) {
	t.Parallel()
	site, network := startNetwork(t, stage.Spec{Entries: 6, Engines: 3, PlainTargets: 2, Config: siteConfig()})
	ctx := testContext(t, 2*time.Minute)
	var bookings, prompts outcomes
	var group sync.WaitGroup
	stop := time.Now().Add(14 * time.Second)
	for i, e := range site.Entries {
		group.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				// Both halves get bookings with the same keys.
				bookings.add(sendBooking(ctx, site.PinnedClient(e, "importer"), fmt.Sprintf("halves-%d", n)))
				time.Sleep(30 * time.Millisecond)
			}
		})
		group.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				prompts.add(sendPrompt(ctx, site.PinnedClient(e, "importer"), "record", fmt.Sprintf("half-%d-%d", i, n), 60_000, 60))
			}
		})
	}
	time.Sleep(2 * time.Second)
	network.setDrop(func(from, to int) bool { return (from < 3) != (to < 3) })
	time.Sleep(10 * time.Second)
	network.setDrop(nil)
	group.Wait()
	t.Log("bookings: ", bookings.summary())
	t.Log("prompts: ", prompts.summary())
	bookings.checkBookings(t, site)
	bookings.checkDeadline(t, statusDeadline)
	prompts.checkComplete(t)
	prompts.checkDeadline(t, recordDeadline)
	waitViewsAgree(t, 30*time.Second, site.Entries, site.Entries)
	waitMemoryReleased(t, site)
}

// An instance that reaches neither the object API nor any peer refuses requests as not
// run. Its callers are served by other instances, and it serves again after it is
// reconnected.
func TestIsolatedInstance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	proxies := make(map[int]*faultProxy)
	site, network := startNetwork(t, stage.Spec{
		Entries: 3, Engines: 1, Config: siteConfig(),
		StoreAddrFor: func(i int, addr string) string {
			proxies[i] = newFaultProxy(t, addr)
			return proxies[i].addr()
		},
	})
	ctx := testContext(t, time.Minute)
	proxies[0].cut()
	network.setDrop(func(from, to int) bool { return from == 0 || to == 0 })
	stage.Eventually(t, 7*time.Second, "the instance refuses requests", func() bool {
		client := site.PinnedClient(site.Entries[0], "importer")
		client.MaxTries = 1
		o := sendPrompt(ctx, client, "status", "isolated", 100, 1)
		return o.ran == wire.RanNo && o.reason == wire.ReasonIsolated
	})
	for i := range 10 {
		// The client may try the isolated instance first.
		is.True(sendPrompt(ctx, site.CustomerClient("importer"), "status", fmt.Sprint("elsewhere ", i), 100, 1).complete)
	}
	proxies[0].heal()
	network.setDrop(nil)
	waitViewsAgree(t, 30*time.Second, site.Entries, site.Entries)
	is.True(sendPrompt(ctx, site.PinnedClient(site.Entries[0], "importer"), "status", "back", 100, 1).complete)
}
