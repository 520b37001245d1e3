package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	leaveMachines  = 12                      // of which a share of 0.55 may be killed at once
	killedMachines = 6                       // half of them
	leaveAfter     = 200 * time.Millisecond  // from the kill until the worker leaves
	restartAfter   = 900 * time.Millisecond  // from the kill until the processes are started again
	drainTime      = 2 * time.Second         // drain_ms
	drainSlack     = 500 * time.Millisecond  // beyond it, until the next bookings are sent
	exitTime       = 2700 * time.Millisecond // after the worker began to leave: drain_ms and a little longer
	bookTime       = 5 * time.Second         // after that too, until no more bookings are sent
	longWork       = 220 * time.Millisecond  // the longest of the sheet
	leaveGap       = 300 * time.Millisecond  // between two bookings at a machine
)

// leaveCase has half of the machines be killed and start again, those that watch the list of workers. Meanwhile a worker leaves that does
// not report that it drains: its entry is removed. It exits when drain_ms is over and a little longer. Before, but after drain_ms, bookings are
// sent to the machines that were not killed.
func leaveCase(rec *recorder, trouble bool) {
	s := newSite(rec, leaveMachines)
	defer s.close()
	s.services = []map[string]any{plainService("desk-app")}
	s.routes = []map[string]any{deskRoute("lodge-action", "/lots/", "unsafe", 1)}
	s.publish()
	var workers []*worker
	for n := range 4 {
		workers = append(workers, newWorker(s, fmt.Sprintf("i-desk%d", n+1), "desk-app", 6))
	}
	if !s.startAll() {
		fatal(fmt.Errorf("the instances are not ready"))
	}
	time.Sleep(settleTime)
	watchers := s.store.watchersOf("servers", watchTime)
	rec.log("machines that watch the list of workers: %v", watchers)
	if len(watchers) > killedMachines {
		watchers = watchers[:killedMachines]
	}
	var killed, calm []*instance
	for _, i := range s.instances {
		if slices.Contains(watchers, i.ip) {
			killed = append(killed, i)
		} else {
			calm = append(calm, i)
		}
	}
	if trouble {
		for _, i := range killed {
			i.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(leaveAfter)
	leaver := workers[len(workers)-1]
	leaver.work = longWork
	acknowledged := leaver.leave()
	time.AfterFunc(exitTime, leaver.exit)
	if trouble {
		time.Sleep(restartAfter - leaveAfter)
		for _, i := range killed {
			<-i.ended()
			i.start(false)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(drainTime + drainSlack)))
	served := bookUntil(s, calm, acknowledged.Add(bookTime))
	for id, at := range leaver.ranSince(acknowledged.Add(drainTime)) {
		rec.broken("DRAIN: request %s reached %s %.1f s after the store had acknowledged that it is gone", id, leaver.id, at.Sub(acknowledged).Seconds())
	}
	rec.log("%d bookings answered with 200", served)
	if served == 0 {
		fatal(fmt.Errorf("no booking was served"))
	}
}

// bookUntil sends bookings to some machines until a point in time, and returns how many were answered with 200.
func bookUntil(s *site, machines []*instance, until time.Time) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for _, i := range machines {
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				a := send(s.rec, i.addr("callers"), "POST", fmt.Sprintf("/lots/hob-%d", n), fmt.Sprintf("%s-%d", i.ip, n), nil, "20 bags", bookingTime)
				if a.status == http.StatusOK && a.complete {
					mu.Lock()
					served++
					mu.Unlock()
				}
				time.Sleep(leaveGap)
			}
		})
	}
	group.Wait()
	return served
}

// ranSince returns the requests that the worker began to run after a point in time, and when.
func (w *worker) ranSince(since time.Time) map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := make(map[string]time.Time)
	for id, at := range w.ranAt {
		if at.After(since) {
			late[id] = at
		}
	}
	return late
}
