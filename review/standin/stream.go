package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	streams     = 12
	streamTime  = 10 * time.Second // the deadline of the sheet
	streamParts = 8                // events of each
)

// streamCase has a worker crash right after it has sent the first event of a stream. The ids of the events of a stream increase from
// zero on.
func streamCase(rec *recorder, trouble bool) {
	s := newSite(rec, 3)
	defer s.close()
	s.services = []map[string]any{{"name": "brew-models", "health_path": "/health", "max_conns": 274, "protocol": "h1", "tls": false, "engine": engineModel(405_000)}}
	s.routes = []map[string]any{{
		"name": "quick-query", "hostname": hostname, "path_prefix": "/quick/", "route_type": "streaming", "timeout_ms": 10000, "slo_ms": 300,
		"priority": 1, "service": "brew-models", "max_attempts": 2, "allow_anonymous": false, "session_affinity": true, "resumable": true, "gap_aim_ms": 250,
	}}
	s.publish()
	var mu sync.Mutex
	crashed := false
	for n := range 6 {
		w := newWorker(s, fmt.Sprintf("i-brew%d", n+1), "brew-models", 16)
		w.events = streamParts
		w.crashesAt = func(sent int) bool {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || crashed || sent > 1 {
				return false
			}
			crashed = true // one of six workers, once
			return true
		}
	}
	if !s.startAll() {
		fatal(fmt.Errorf("the instances are not ready"))
	}
	time.Sleep(2 * time.Second)
	var want []int
	for id := range streamParts {
		want = append(want, id)
	}
	served := 0
	for n := range streams {
		id := fmt.Sprintf("query-%02d", n)
		headers := map[string]string{"X-Model": "m", "X-Token-Count": "4960,600", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:4920", id)}
		a := send(rec, s.instances[n%len(s.instances)].addr("callers"), "POST", "/quick/2f", id, headers, "query", streamTime)
		sorted := slices.Compact(slices.Clone(a.ids))
		switch {
		case len(sorted) != len(a.ids):
			rec.broken("ORDER: a piece comes twice in the stream of request %s: %v", id, a.ids)
		case a.complete && a.status == 200 && !slices.Equal(a.ids, want):
			rec.broken("ORDER: the stream of request %s is complete with the pieces %v", id, a.ids)
		case a.complete && a.status == 200:
			served++
		}
	}
	rec.log("%d of %d streams complete", served, streams)
	if served == 0 {
		fatal(fmt.Errorf("no stream was served"))
	}
}
