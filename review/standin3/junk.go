package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["junk"] = junk }

// junk: another writer puts large entries among those of the workers; after that a worker leaves, and a new one comes.
func junk(rec *Record, trouble bool) int {
	const (
		drain   = 2 * time.Second // bounds.drain_ms
		entries = 20
		bytes   = 1000000 // of each; provider.value_bytes allows 1048576
	)
	s := NewSite(rec, 3, trouble)
	defer s.End()
	history := os.Getenv("TROUBLE") == "history" // answers to watches have 1 MB at most, and the history is lost once
	if history {
		s.Store.WatchBytes = pageBytes
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
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(30 * time.Millisecond):
			}
			group.Go(func() {
				c := &Call{Method: "POST", Path: "/lodge/a", Host: host, Key: "key-one", Body: "hold", Deadline: time.Second}
				c.Do(rec, s.Nodes[n%3].Callers)
			})
		}
	})
	time.Sleep(2 * time.Second)
	if trouble {
		for n := range entries {
			s.Store.Put("servers", fmt.Sprintf("note-%02d", n), map[string]string{"text": strings.Repeat("x", bytes)})
		}
		rec.Line("another writer has put %d entries of %d bytes that describe no worker", entries, bytes)
	}
	time.Sleep(4 * time.Second)
	if history {
		s.Store.DropHistory()
		s.Store.Put("servers", workers[2].ID, workers[2].Entry("draining"))
		s.Store.Put("servers", workers[2].ID, workers[2].Entry("ready"))
		rec.Line("the store has dropped its history, and with it a change")
	}
	time.Sleep(4 * time.Second)
	leaver := workers[0]
	s.Store.Put("servers", leaver.ID, leaver.Entry("draining"))
	leftAt := time.Now()
	rec.Line("the store has accepted that %s is draining", leaver.ID)
	time.Sleep(2 * time.Second)
	s.Store.Put("servers", workers[3].ID, workers[3].Entry("ready"))
	rec.Line("worker %s is listed", workers[3].ID)
	time.Sleep(15 * time.Second)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, added, last := 0, 0, time.Duration(0)
	for _, a := range runs {
		switch {
		case a.Worker == workers[3].ID:
			added++
		case a.Worker == leaver.ID:
			last = max(last, a.At.Sub(leftAt))
			if a.At.Sub(leftAt) > drain {
				late++
			}
		}
	}
	rec.Line("last run at %s %d ms after the acknowledgement, %d later than drain_ms; %d at the new worker", leaver.ID, last.Milliseconds(), late, added)
	fmt.Printf("last run %d ms after, %d too late; %d at the new worker\n", last.Milliseconds(), late, added)
	if late > 0 {
		return broken
	}
	return held
}
