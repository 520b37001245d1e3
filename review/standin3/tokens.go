package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["tokens"] = tokens }

// tokens: ordinary callers of a model service, and beside them for 30 s one client that names more tokens than any worker has memory for.
func tokens(rec *Record, trouble bool) int {
	const (
		calm      = 10 * time.Second // ordinary requests alone
		odd       = 30 * time.Second // with the odd client
		oddGap    = 25 * time.Millisecond
		rest      = 5 * time.Second // after it has gone, until ordinary requests count
		counted   = 15 * time.Second
		maxFailed = 0.6 // of the ordinary requests
	)
	s := NewSite(rec, 3, trouble)
	defer s.End()
	s.Store.Put("config", "main", baseConfig(7))
	for n := range 4 {
		w := NewWorker(rec, fmt.Sprintf("i-llm-%d", n), "llm", "127.0.2.1", []string{"hobart-a", "hobart-b", "kingston-c"}[n%3], 16, 405000)
		s.Store.Put("servers", w.ID, w.Entry("ready"))
	}
	if !s.StartAll() {
		return notRun
	}
	var sent, served [2]atomic.Int64 // before the odd client, and after it
	var group sync.WaitGroup
	ordinary := func(n, phase int) {
		c := &Call{Method: "POST", Path: "/read/a", Host: host, Key: "key-one", Body: "x", Deadline: 10 * time.Second,
			Header: []string{"X-Model: m", "X-Token-Count: 4960,340", fmt.Sprintf("X-Prompt-Prefix: aa01:40,%08x:4920", n)}}
		r := c.Do(rec, s.Nodes[n%3].Callers)
		if phase < 0 {
			return
		}
		sent[phase].Add(1)
		if r.Whole() && r.Status == 200 {
			served[phase].Add(1)
		}
	}
	began := time.Now()
	if trouble {
		group.Go(func() {
			time.Sleep(calm)
			var calls sync.WaitGroup
			for k := 0; time.Since(began) < calm+odd; k++ {
				calls.Go(func() {
					c := &Call{Method: "POST", Path: "/read/b", Host: host, Key: "key-two", Body: "x", Deadline: 10 * time.Second,
						Header: []string{"X-Model: m", "X-Token-Count: 9200000000000000000,30000000000000000", fmt.Sprintf("X-Prompt-Prefix: aa01:40,%08x:4920", 1000000+k)}}
					c.Do(rec, s.Nodes[k%3].Callers)
				})
				time.Sleep(oddGap)
			}
			calls.Wait()
			rec.Line("the odd client has gone")
		})
	}
	for n := 0; time.Since(began) < calm+odd+rest+counted; n++ {
		phase := -1
		switch at := time.Since(began); {
		case at < calm-time.Second:
			phase = 0
		case at > calm+odd+rest:
			phase = 1
		}
		group.Go(func() { ordinary(n, phase) })
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	rec.Line("ordinary requests: %d of %d served before the odd client, %d of %d later than 5 s after it had gone", served[0].Load(), sent[0].Load(), served[1].Load(), sent[1].Load())
	fmt.Printf("served before: %d of %d, after: %d of %d\n", served[0].Load(), sent[0].Load(), served[1].Load(), sent[1].Load())
	if served[0].Load()*10 < sent[0].Load()*9 {
		return notRun
	}
	if float64(sent[1].Load()-served[1].Load()) > maxFailed*float64(sent[1].Load()) {
		return broken
	}
	return held
}
