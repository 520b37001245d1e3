package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model worker that reads prompts and keeps reservations of its memory.
type engine struct {
	site    *site
	id      string
	born    int64
	addr    string // as it is registered: that of its proxy
	proxy   *proxy
	service string
	memory  int // in tokens
	slots   int

	mu      sync.Mutex
	tickets map[string]*reservation
	running int
}

// reservation is memory that is set aside.
type reservation struct {
	id     string
	tokens int
	expiry *time.Timer
	users  map[string]context.CancelFunc // by id of the request that uses it now
}

// engines finds the engines of a site by their addresses.
type engines struct {
	mu     sync.Mutex
	byAddr map[string]*engine
}

func (e *engines) at(addr string) *engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byAddr[addr]
}

// newEngine starts an engine behind a proxy, and registers it.
func newEngine(s *site, all *engines, id, service string, memory, slots int) *engine {
	e := &engine{site: s, id: id, service: service, memory: memory, slots: slots, born: time.Now().UnixMilli(), tickets: make(map[string]*reservation)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	e.proxy = newProxy(s.rec, l.Addr().String())
	e.addr = e.proxy.addr
	all.mu.Lock()
	all.byAddr[e.addr] = e
	all.mu.Unlock()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(all, w, r) }))
	}()
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			e.register()
		}
	}()
	return e
}

// register writes the entry of the engine into the store.
func (e *engine) register() {
	e.site.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.addr, "zone": "hobart-a", "version": "v1", "slots": e.slots, "state": "ready",
		"cold_left_ms": 0, "phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": 1, "born": e.born,
	})
}

func (e *engine) serve(all *engines, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
	case "/-/report":
		e.report(w)
	case "/-/order":
		e.order(w, r)
	default:
		e.run(all, w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	used, tickets := 0, []map[string]any{}
	for _, t := range e.tickets {
		state := "held"
		if len(t.users) > 0 {
			state = "used"
		}
		used += t.tokens
		tickets = append(tickets, map[string]any{"id": t.id, "tokens": t.tokens, "state": state, "age_ms": 0})
	}
	reply(w, http.StatusOK, map[string]any{
		"phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"queued": 0, "running": e.running, "kv_used": used, "kv_total": e.memory, "handles": 0, "tickets": tickets, "born": e.born,
	})
}

// order handles the reservation and the release of memory.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int    `json:"tokens"`
		HoldMS    int    `json:"hold_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.tickets[o.ID]
	switch o.Operation {
	case "reserve":
		hold := time.Duration(min(o.HoldMS, 20_000)) * time.Millisecond
		free := e.memory
		for _, held := range e.tickets {
			free -= held.tokens
		}
		switch {
		case t != nil:
			t.expiry.Reset(hold)
			e.site.rec.log("%s renews ticket %s for %s", e.id, o.ID, hold)
		case o.Tokens > e.memory:
			w.WriteHeader(http.StatusBadRequest)
			return
		case o.Tokens > free || len(e.tickets) >= 64:
			e.site.rec.log("%s has no memory for ticket %s", e.id, o.ID)
			w.WriteHeader(http.StatusConflict)
			return
		default:
			t = &reservation{id: o.ID, tokens: o.Tokens, users: make(map[string]context.CancelFunc)}
			t.expiry = time.AfterFunc(hold, func() { e.expire(t) })
			e.tickets[o.ID] = t
			free -= o.Tokens
			e.site.rec.log("%s sets aside %d tokens as ticket %s for %s", e.id, o.Tokens, o.ID, hold)
		}
		reply(w, http.StatusOK, map[string]any{"free": free})
	case "release":
		if t == nil {
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.drop(t, "released")
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// expire ends a reservation whose time is over.
func (e *engine) expire(t *reservation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tickets[t.id] == t {
		e.drop(t, "expired")
	}
}

// drop ends a reservation; a request that uses it is cut off. Call it with the lock held.
func (e *engine) drop(t *reservation, why string) {
	t.expiry.Stop()
	delete(e.tickets, t.id)
	e.site.rec.log("%s: ticket %s %s", e.id, t.id, why)
	for _, cut := range t.users {
		cut()
	}
}

// use marks a ticket as used by a request. It reports false if the engine lacks it.
func (e *engine) use(ticket, request string, cut context.CancelFunc) (end func(), ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.tickets[ticket]
	if t == nil {
		return nil, false
	}
	for other := range t.users {
		if other != request {
			e.site.rec.broken("LIMIT: requests %s and %s use ticket %s of %s at the same time", other, request, ticket, e.id)
		}
	}
	t.users[request] = cut
	e.site.rec.log("%s: request %s uses ticket %s", e.id, request, ticket)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(t.users, request)
	}, true
}

// readTime returns how long a prompt is read in some parts, by the figures of the configuration.
func readTime(tokens, parts int) time.Duration {
	n := float64(tokens)
	ms := (n/154 + n*n/2/1e6*0.162) / float64(parts)
	return time.Duration(ms * float64(time.Millisecond))
}

// run reads a prompt and streams its answer.
func (e *engine) run(all *engines, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	prompt, _, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)
	w.Header().Set("X-Request-Id", id)
	ctx, cut := context.WithCancel(r.Context())
	defer cut()
	deadline, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(deadline)*time.Millisecond)
	defer cancel()
	parts, listed := 1, r.Header.Get("X-Helpers")
	if listed != "" {
		for n, entry := range strings.Split(listed, ",") {
			addr, ticket, leased := strings.Cut(strings.TrimSpace(entry), "/")
			helper := all.at(addr)
			if helper == nil {
				turnAway(w, "")
				return
			}
			if helper != e {
				parts++
			}
			if !leased {
				continue
			}
			end, ok := helper.use(ticket, id, cut)
			if !ok {
				e.site.rec.log("%s turns away %s: entry %d, %s lacks ticket %s", e.id, id, n, helper.id, ticket)
				turnAway(w, helper.id)
				return
			}
			defer end()
		}
	} else if tokens > e.memory {
		turnAway(w, e.id)
		return
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.site.rec.log("%s runs request %s in %d parts, helpers %q", e.id, id, parts, listed)
	select {
	case <-ctx.Done():
		e.site.rec.log("%s: request %s ended before its first token", e.id, id)
		panic(http.ErrAbortHandler)
	case <-time.After(readTime(tokens, parts)):
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= 10; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-ctx.Done():
			e.site.rec.log("%s: request %s ended after event %d", e.id, id, n)
			panic(http.ErrAbortHandler)
		case <-time.After(60 * time.Millisecond):
		}
	}
	e.site.rec.log("%s: request %s is complete", e.id, id)
}

// turnAway rejects a request that has not run.
func turnAway(w http.ResponseWriter, fault string) {
	if fault != "" {
		w.Header().Set("At-Server", fault)
	}
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
