package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond // between what a worker writes into the store
	usualWork = 30 * time.Millisecond   // the mean of the sheet
)

// worker is a stand-in of a worker that answers plain requests.
type worker struct {
	site    *site
	id      string
	born    int64
	addr    string
	service string
	slots   int
	work    time.Duration // for which it works on a plain request

	loseOf func(request string) bool // whether the answer to a request that it ran is lost; nil for none

	server  *http.Server
	mu      sync.Mutex
	leaving bool
	runs    map[string]int // by id of the request
	ranAt   map[string]time.Time
}

func newWorker(s *site, id, service string, slots int) *worker {
	w := &worker{site: s, id: id, service: service, slots: slots, work: usualWork, born: time.Now().UnixMilli(), runs: make(map[string]int), ranAt: make(map[string]time.Time)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	w.addr = l.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	w.register()
	go func() {
		for range time.Tick(heartbeat) {
			w.register()
		}
	}()
	return w
}

// register writes the entry of the worker into the store, unless it leaves.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		return
	}
	w.site.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.addr, "zone": "hobart-a", "version": "v1", "slots": w.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": 1, "born": w.born,
	})
}

// runsOf returns how often a request has run.
func (w *worker) runsOf(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[request]
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Instance-Id", w.id)
	if w.isLeaving() {
		rw.Header().Set("Server-Leaving", "1")
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		rw.WriteHeader(http.StatusOK)
		return
	case "/-/report":
		reply(rw, http.StatusOK, map[string]any{"phase": "colocated", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 405_000, "handles": 0, "tickets": []any{}, "born": w.born})
		return
	}
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.ranAt[id] = time.Now()
	w.mu.Unlock()
	w.site.rec.log("%s runs request %s: %s %s", w.id, id, r.Method, r.RequestURI)
	deadline, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Response-Seal", "seal-"+w.id+"-"+id)
	select {
	case <-ctx.Done():
	case <-time.After(w.work):
	}
	w.mu.Lock()
	loseOf := w.loseOf
	w.mu.Unlock()
	if loseOf != nil && loseOf(id) {
		w.site.rec.log("%s: the answer to request %s is lost", w.id, id)
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(rw, "done by %s: %s", w.id, body)
}

// leave begins a planned stop of the worker without a report: its entry is removed, and it goes on serving. It returns when the store has
// acknowledged that.
func (w *worker) leave() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
	w.site.store.drop("servers", w.id)
	w.site.rec.log("%s leaves, its entry is removed", w.id)
	return time.Now()
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// exit ends the worker after a planned stop. Connections that are still open break.
func (w *worker) exit() {
	w.site.rec.log("%s exits", w.id)
	_ = w.server.Close()
}
