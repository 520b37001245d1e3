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
	eventGap  = 45 * time.Millisecond   // between the events of a stream, as 34 tokens take
)

// worker is a stand-in of a worker that answers plain requests, or streams of events.
type worker struct {
	site    *site
	id      string
	born    int64
	addr    string
	service string
	slots   int

	loseOf    func(request string) bool // whether the answer to a request that it ran is lost; nil for none
	firstID   int                       // of the first event of a stream
	events    int                       // of a stream
	crashesAt func(sent int) bool       // whether the worker crashes when a stream has so many events; nil for never

	server   *http.Server
	mu       sync.Mutex
	down     bool
	sequence int
	runs     map[string]int // by id of the request
}

func newWorker(s *site, id, service string, slots int) *worker {
	w := &worker{site: s, id: id, service: service, slots: slots, born: time.Now().UnixMilli(), runs: make(map[string]int)}
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

// register writes the entry of the worker into the store.
func (w *worker) register() {
	w.mu.Lock()
	w.sequence++
	sequence, down := w.sequence, w.down
	w.mu.Unlock()
	if down {
		return
	}
	w.site.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.addr, "zone": "hobart-a", "version": "v1", "slots": w.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": sequence, "born": w.born,
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
	w.mu.Unlock()
	w.site.rec.log("%s runs request %s: %s %s", w.id, id, r.Method, r.RequestURI)
	deadline, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Response-Seal", "seal-"+w.id+"-"+id)
	if w.events > 0 {
		w.stream(ctx, rw, r, id)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(30 * time.Millisecond):
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

// crash ends the worker for good: all its connections break, and its entry is removed after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	w.down = true
	w.mu.Unlock()
	w.site.rec.log("%s crashes", w.id)
	_ = w.server.Close()
	time.AfterFunc(3*heartbeat, func() { w.site.store.drop("servers", w.id) })
}

// stream sends events with increasing ids, and goes on after Last-Event-Id.
func (w *worker) stream(ctx context.Context, rw http.ResponseWriter, r *http.Request, request string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	first, sent := w.firstID, 0
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	for id := first; id < w.firstID+w.events; id++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", id, id, request)
		_ = http.NewResponseController(rw).Flush()
		sent++
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-time.After(eventGap):
		}
		if w.crashesAt != nil && w.crashesAt(sent) {
			w.crash()
			panic(http.ErrAbortHandler)
		}
	}
	w.site.rec.log("%s: stream of request %s is complete", w.id, request)
}
