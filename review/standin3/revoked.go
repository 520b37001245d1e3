package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["revoked"] = revoked }

// Open returns how many connections are open by address of their callers.
func (p *Proxy) Open() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := map[string]int{}
	for x := range p.conns {
		ip, _, _ := net.SplitHostPort(x.client.RemoteAddr().String())
		open[ip]++
	}
	return open
}

// revoked: the open connections to the store go silent; right after that a key is taken away.
func revoked(rec *Record, trouble bool) int {
	const (
		nodes  = 3
		apply  = 2 * time.Second // bounds.apply_ms
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
	// Each process polls the store once a minute beside its watches, so that it has a third connection then, which is idle otherwise.
	third := func() bool {
		open := proxy.Open()
		for _, n := range s.Nodes {
			if open[n.IP] < 3 {
				return false
			}
		}
		return true
	}
	waited := time.Now()
	if !waitFor(75*time.Second, third) {
		return notRun
	}
	if time.Since(waited) > 20*time.Second {
		time.Sleep(8 * time.Second) // the polls of the minute come within some seconds; those that follow would use up the third connections
	}
	time.Sleep(2 * time.Second)
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
				c := &Call{Method: "POST", Path: "/lodge/a", Host: host, Key: "key-two", Body: "hold", Deadline: time.Second, ID: fmt.Sprintf("lodge-%05d", n)}
				mu.Lock()
				sent[c.ID] = time.Now()
				mu.Unlock()
				c.Do(rec, s.Nodes[n%nodes].Callers)
			})
		}
	})
	time.Sleep(2 * time.Second)
	s.Store.Put("config", "main", baseConfig(8))
	rec.Line("version 8 is acknowledged")
	time.Sleep(500 * time.Millisecond)
	s.Store.Put("servers", workers[3].ID, workers[3].Entry("ready"))
	rec.Line("worker %s is listed", workers[3].ID)
	time.Sleep(450 * time.Millisecond)
	silentAt := time.Now()
	rec.Line("open connections to the store: %v", proxy.Open())
	if trouble {
		rec.Line("%d open connections to the store go silent for good; new ones work", proxy.Silence())
	}
	time.Sleep(200 * time.Millisecond)
	config := baseConfig(9)
	config["tenants"] = []obj{{"name": "hule930", "api_keys": []string{"key-one"}, "priority": 1}}
	s.Store.Put("config", "main", config)
	acked := time.Now()
	rec.Line("version 9 is acknowledged, which takes key-two away")
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, a := range runs {
		at := sent[a.ID]
		last = max(last, at.Sub(acked))
		if at.Sub(acked) > apply && (!trouble || at.Sub(silentAt) > stable) {
			late++
		}
	}
	rec.Line("the last request with the key that ran was sent %d ms after the acknowledgement; %d were sent later than apply_ms, while the machines were in touch", last.Milliseconds(), late)
	fmt.Printf("last run sent %d ms after, %d too late\n", last.Milliseconds(), late)
	if late > 0 {
		return broken
	}
	return held
}
