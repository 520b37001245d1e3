package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	bookings    = 45                    // of each kind
	bookingGap  = 60 * time.Millisecond // between two
	bookingTime = time.Second           // the deadline of the sheet
	loseTwoOf   = 5                     // answers of a worker, while answers are lost
	loseTime    = 4 * time.Second
)

// deskSite is a small deployment with three workers of a booking desk.
func deskSite(rec *recorder) (*site, []*worker) {
	s := newSite(rec, 3)
	s.services = []map[string]any{{"name": "desk-app", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}}
	s.routes = []map[string]any{
		deskRoute("lodge-action", "/lots/", "unsafe", 1),
		deskRoute("status-check", "/lots/kin/", "safe", 2),
	}
	s.publish()
	var workers []*worker
	for n := range 3 {
		workers = append(workers, newWorker(s, fmt.Sprintf("i-desk%d", n+1), "desk-app", 6))
	}
	if !s.startAll() {
		fatal(fmt.Errorf("the instances are not ready"))
	}
	time.Sleep(2 * time.Second)
	return s, workers
}

func deskRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": hostname, "path_prefix": prefix, "route_type": kind, "timeout_ms": 1000, "slo_ms": 150, "priority": 2,
		"service": "desk-app", "max_attempts": attempts, "allow_anonymous": false, "session_affinity": false, "resumable": false,
	}
}

// booking is one booking with its path.
type booking struct{ id, path string }

// sendBookings sends bookings one after the other to the instances in turn. It returns their answers by id.
func sendBookings(s *site, list []booking) map[string]answer {
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := make(map[string]answer)
	for n, b := range list {
		time.Sleep(bookingGap)
		group.Go(func() {
			a := send(s.rec, s.instances[n%len(s.instances)].addr("callers"), "POST", b.path, b.id, nil, "20 bags", bookingTime)
			mu.Lock()
			defer mu.Unlock()
			answers[b.id] = a
		})
	}
	group.Wait()
	return answers
}

// loseAnswers makes a worker lose two of five answers to what it has run, until a time.
func (w *worker) loseAnswers(until time.Time) {
	var mu sync.Mutex
	count := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseOf = func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		count++
		return time.Now().Before(until) && count%loseTwoOf < 2
	}
}

// pathCase loses some answers of one of three workers at a time while bookings arrive: first bookings of lots whose names have no slash, then of
// lots whose names have one. Paths have it as %2F, so that the longest prefix that begins them is that of the unsafe route, as for all
// other lots.
func pathCase(rec *recorder, trouble bool) {
	s, workers := deskSite(rec)
	defer s.close()
	served, sent := 0, 0
	for n, phase := range []struct{ prefix, path string }{{"plain", "/lots/hob-%d"}, {"slash", "/lots/kin%%2F%d"}} {
		if trouble {
			workers[n].loseAnswers(time.Now().Add(loseTime))
		}
		var list []booking
		for n := range bookings {
			list = append(list, booking{fmt.Sprintf("%s-%02d", phase.prefix, n), fmt.Sprintf(phase.path, n)})
		}
		for id, a := range sendBookings(s, list) {
			sent++
			total := 0
			for _, w := range workers {
				total += w.runsOf(id)
			}
			if total > 1 {
				rec.broken("TWICE: request %s, of an unsafe route, ran %d times", id, total)
			}
			if a.status == http.StatusOK && a.complete {
				served++
			}
		}
		time.Sleep(time.Second)
	}
	rec.log("%d of %d bookings answered with 200", served, sent)
	if served < bookings {
		fatal(fmt.Errorf("only %d bookings were served", served))
	}
}

// foreignCase has another writer put an entry into the list of workers that lacks most fields of one. At its address is a service that
// is no worker: it answers all requests with 200, and repeats X-Request-Id as many services do.
func foreignCase(rec *recorder, trouble bool) {
	s, workers := deskSite(rec)
	defer s.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			rec.log("the service that is no worker gets %s %s, request %s, tenant %q", r.Method, r.RequestURI, r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant"))
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			_, _ = w.Write([]byte("hello"))
		}))
	}()
	if trouble {
		s.store.put("servers", "legacy-desk", map[string]any{"service": "desk-app", "address": l.Addr().String(), "zone": "hobart-a", "slots": 6, "state": "ready"})
		rec.log("another writer puts the entry legacy-desk, without version, cold_left_ms and sequence, at %s", l.Addr())
		time.Sleep(time.Second)
	}
	var list []booking
	for n := range bookings {
		list = append(list, booking{fmt.Sprintf("booking-%02d", n), fmt.Sprintf("/lots/hob-%d", n)})
	}
	served := 0
	for id, a := range sendBookings(s, list) {
		total := 0
		for _, w := range workers {
			total += w.runsOf(id)
		}
		switch {
		case a.status == http.StatusOK && a.seal == "":
			rec.broken("MIXED: request %s was answered with 200 without a worker's seal, body %q; workers ran it %d times", id, a.body, total)
		case a.status == http.StatusOK && a.complete:
			served++
		}
	}
	rec.log("%d of %d bookings answered by workers", served, bookings)
	if served == 0 {
		fatal(fmt.Errorf("no booking was served"))
	}
}
