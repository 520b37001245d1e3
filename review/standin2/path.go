package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["path"] = path }

// path: clients send requests whose paths have bytes that browsers and other clients send without an escape.
func path(s *site) int {
	var desks []*worker
	for n := range 3 {
		w := startWorker(fmt.Sprintf("desk-%d", n), "desk", false)
		desks = append(desks, w)
		s.store.put("servers", w.id, w.entry("ready"))
	}
	s.writeConfig(3, map[string][]string{"roaster": {"key-1"}}, route("/lodge/", "unsafe", "desk", 5000), route("/status/", "safe", "desk", 5000))
	s.startInstances(3)
	targets := []string{"/lodge/hold-17", "/lodge/lot%2F7/bags", "/status/lot%2F7?from=a|b"}
	if trouble() {
		targets = append(targets, "/lodge/lot%2F7|bags", "/lodge/lot|7", "/status/{lot}", "/status/lot%2F7/\xc3\xa9t\xc3\xa9")
	}
	sent := map[string]string{}
	for round := range 3 {
		for k, target := range targets {
			method, body := http.MethodPost, "20 bags"
			if target[1] == 's' {
				method, body = http.MethodGet, ""
			}
			id := fmt.Sprintf("r%d-%d", round, k)
			sent[id] = target
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			a := exchange(ctx, s.instances[round].callers, method, text(method, target, id, 4000, body, "Authorization: Token key-1"))
			cancel()
			s.note("sent %s: %s %q to %s; answer %d, error %v", id, method, target, s.instances[round].name, a.Status, a.Err)
		}
	}
	changed := 0
	for _, w := range desks {
		for _, r := range w.allRuns() {
			s.note("run by %s: %s %s %q", w.id, r.ID, r.Method, r.Target)
			if r.Target != sent[r.ID] {
				changed++
				s.note("CHANGED: %s was sent with %q", r.ID, sent[r.ID])
			}
		}
	}
	s.note("%d requests were run with another path than was sent", changed)
	if changed > 0 {
		return 1
	}
	return 0
}
