package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["anonymous"] = anonymous }

// anonymous: a route that accepts requests without a key gets requests with a key that no configuration ever held, and with one that was
// taken away.
func anonymous(rec *Record, trouble bool) int {
	const apply = 2 * time.Second // bounds.apply_ms
	s := NewSite(rec, 1, trouble)
	defer s.End()
	route := obj{
		"name": "r-open", "hostname": host, "path_prefix": "/open/", "route_type": "safe", "timeout_ms": 10000, "slo_ms": 150, "priority": 2,
		"service": "desk", "max_attempts": 2, "allow_anonymous": true, "session_affinity": false,
	}
	config := func(version int, keys ...string) obj {
		c := baseConfig(version)
		c["routes"] = append(c["routes"].([]obj), route)
		c["tenants"] = []obj{{"name": "hule930", "api_keys": keys, "priority": 1}}
		return c
	}
	s.Store.Put("config", "main", config(7, "key-one", "key-two"))
	var mu sync.Mutex
	ran := map[string]bool{}
	w := NewWorker(rec, "i-desk", "desk", "127.0.2.1", "hobart-a", 6, 0)
	w.OnRun = func(a *Arrival) {
		mu.Lock()
		defer mu.Unlock()
		ran[a.ID] = true
	}
	s.Store.Put("servers", w.ID, w.Entry("ready"))
	if !s.StartAll() {
		return notRun
	}
	// call sends a request and reports whether it ran.
	call := func(path, key string) bool {
		c := &Call{Method: "GET", Path: path, Host: host, Key: key, Deadline: time.Second}
		c.Do(rec, s.Nodes[0].Callers)
		mu.Lock()
		defer mu.Unlock()
		return ran[c.ID]
	}
	unknown, gone := "", ""
	if trouble {
		unknown, gone = "never-held", "key-two"
	}
	if !call("/open/a", "") || !call("/open/a", "key-one") || call("/status/a", "never-held") {
		rec.Line("requests without a key, with a valid one or with an unknown one are not handled as usual")
		return notRun
	}
	broke := 0
	for range 5 {
		if call("/open/a", unknown) && unknown != "" {
			broke++
		}
	}
	rec.Line("requests that ran with a key that no configuration ever held: %d of 5", broke)
	s.Store.Put("config", "main", config(8, "key-one"))
	rec.Line("version 8 is acknowledged, which takes key-two away")
	time.Sleep(apply + time.Second)
	late := 0
	for range 5 {
		if call("/open/a", gone) && gone != "" {
			late++
		}
	}
	rec.Line("requests that ran with a key that was taken away 3 s before: %d of 5", late)
	fmt.Printf("ran with an unknown key: %d of 5, with one that is gone: %d of 5\n", broke, late)
	if broke > 0 {
		return broken
	}
	return held
}
