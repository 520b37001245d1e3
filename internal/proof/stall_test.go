package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/stage"
)

// The tests of this file stall all open connections of one kind, three times in a row
// under load, while new connections work.

// All answers are complete and in time, and the engines' memory is released.
func TestStalledEngineConnections(t *testing.T) {
	t.Parallel()
	var proxies []*stage.TCPProxy
	site := stage.Start(t, stage.Spec{
		Entries: 2, Engines: 2, Config: siteConfig(),
		TargetAddrFor: func(_, addr string) string {
			proxies = append(proxies, stage.NewTCPProxy(t, addr))
			return proxies[len(proxies)-1].Addr()
		},
	})
	all := sendPromptsWhileStalling(t, site, proxies)
	all.checkComplete(t)
	all.checkDeadline(t, statusDeadline)
	waitMemoryReleased(t, site)
}

// Callers retry on new connections and get complete answers in time.
func TestStalledCallerConnections(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{Entries: 2, Engines: 2, Config: siteConfig()})
	var proxies []*stage.TCPProxy
	for _, e := range site.Entries {
		p := stage.NewTCPProxy(t, e.CallersAddr)
		proxies = append(proxies, p)
		e.CallersAddr = p.Addr()
	}
	all := sendPromptsWhileStalling(t, site, proxies)
	all.checkComplete(t)
	// The caller gives the stalled connection up after 3 s, and the next instance starts
	// a new deadline.
	all.checkDeadline(t, 3*time.Second+statusDeadline)
}

// No booking is executed twice, callers are answered in time, and changes of the
// configuration are still applied.
func TestStalledStoreConnections(t *testing.T) {
	t.Parallel()
	var proxies []*stage.TCPProxy
	site := stage.Start(t, stage.Spec{
		Entries: 3, PlainTargets: 1, Config: siteConfig(),
		StoreAddrFor: func(_ int, addr string) string {
			proxies = append(proxies, stage.NewTCPProxy(t, addr))
			return proxies[len(proxies)-1].Addr()
		},
	})
	ctx := testContext(t, time.Minute)
	var all outcomes
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendBookingPairs(ctx, site, &all, "stall", 120, 40*time.Millisecond)
	}()
	stallRepeatedly(proxies)
	<-done
	t.Log(all.summary())
	all.checkBookings(t, site)
	all.checkDeadline(t, statusDeadline)
	waitConfigApplied(t, site.Entries, site.PutConfig(configWithDeadline(6000)))
}

// sendPromptsWhileStalling sends prompts through all entry instances while the open
// connections of the proxies are stalled three times.
func sendPromptsWhileStalling(t *testing.T, site *stage.Site, proxies []*stage.TCPProxy) *outcomes {
	t.Helper()
	ctx := testContext(t, time.Minute)
	var all outcomes
	var group sync.WaitGroup
	for i := range 10 {
		client := site.CustomerClient("importer")
		client.SeedsOnly = true
		group.Go(func() {
			for n := range 3 {
				all.add(sendPrompt(ctx, client, "status", fmt.Sprintf("stall-%d-%d", i, n), 2000, 40))
			}
		})
	}
	stallRepeatedly(proxies)
	group.Wait()
	t.Log(all.summary())
	return &all
}

// stallRepeatedly stalls the open connections of all proxies three times, 900 ms apart.
func stallRepeatedly(proxies []*stage.TCPProxy) {
	for range 3 {
		time.Sleep(900 * time.Millisecond)
		for _, p := range proxies {
			p.StallBoth()
		}
	}
}
