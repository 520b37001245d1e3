package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["removed"] = func(rec *Record, trouble bool) int { return removed(rec, trouble, 3) }
	cases["removed9"] = func(rec *Record, trouble bool) int { return removed(rec, trouble, 9) }
}

// removed: the open connections to the store go silent; right after that a worker leaves, which removes its entry.
func removed(rec *Record, trouble bool, nodes int) int {
	const (
		drain  = 2 * time.Second // bounds.drain_ms
		stable = 3 * time.Second // bounds.stable_ms
	)
	s := NewSite(rec, nodes, trouble)
	defer s.End()
	proxy := NewProxy("127.0.0.1", s.Store.Addr)
	for _, n := range s.Nodes {
		n.Settings["store"] = proxy.Addr
		n.WriteSettings()
	}
	s.Store.Put("config", "main", baseConfig(7))
	var mu sync.Mutex
	var runs []*Arrival
	var workers []*Worker
	for n := range 4 {
		w := NewWorker(rec, fmt.Sprintf("i-desk-%d", n), "desk", "127.0.2.1", []string{"hobart-a", "hobart-b", "kingston-c"}[n%3], 6, 0)
		w.OnRun = func(a *Arrival) {
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, a)
		}
		workers = append(workers, w)
		if n < 3 {
			s.Store.Put("servers", w.ID, w.Entry("ready"))
		}
	}
	if !s.StartAll() {
		return notRun
	}
	sent := map[string]time.Time{}
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(15 * time.Millisecond):
			}
			group.Go(func() {
				c := &Call{Method: "POST", Path: "/lodge/a", Host: host, Key: "key-one", Body: "hold", Deadline: time.Second, ID: fmt.Sprintf("lodge-%05d", n)}
				mu.Lock()
				sent[c.ID] = time.Now()
				mu.Unlock()
				c.Do(rec, s.Nodes[n%nodes].Callers)
			})
		}
	})
	time.Sleep(3 * time.Second)
	s.Store.Put("servers", workers[3].ID, workers[3].Entry("ready"))
	rec.Line("worker %s is listed", workers[3].ID)
	time.Sleep(400 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		rec.Line("%d open connections to the store go silent for good; new ones work", proxy.Silence())
	}
	time.Sleep(200 * time.Millisecond)
	leaver := workers[0]
	s.Store.Remove("servers", leaver.ID)
	removedAt := time.Now()
	rec.Line("the store has removed the entry of %s, which goes on serving for some seconds", leaver.ID)
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, a := range runs {
		if a.Worker == leaver.ID && a.At.Sub(removedAt) > last {
			last = a.At.Sub(removedAt)
		}
		inTouch := !trouble || sent[a.ID].Sub(silentAt) > stable
		if a.Worker == leaver.ID && a.At.Sub(removedAt) > drain && inTouch {
			late++
		}
	}
	rec.Line("last run at %s %d ms after the store's acknowledgement; %d later than drain_ms, sent while the machines were in touch", leaver.ID, last.Milliseconds(), late)
	fmt.Printf("last run %d ms after, %d too late\n", last.Milliseconds(), late)
	if late > 0 {
		return broken
	}
	return held
}
