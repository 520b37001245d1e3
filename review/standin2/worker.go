package main

import (
	"cmp"
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

// run is a request that a server has begun to work on.
type run struct {
	At     time.Time
	ID     string
	Method string
	Target string // request target as it came
	Body   string
	Tenant string
}

// worker is a stand-in server. It answers at once unless Handle is set.
type worker struct {
	id, service, addr string
	zone              string // "zone-a" if it is empty
	coldMS            int    // for how much longer it says that it is cold
	server            *http.Server
	born              int64
	slots             int
	Pause             time.Duration // between events of a stream
	Events            int           // of a stream; 10 if it is less
	engine            bool

	// Handle, if set, takes a request of the service after it was counted as run; it returns false to answer as usual.
	Handle func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu   sync.Mutex
	runs []run
	free time.Time // when the prompts that have come are read
}

// read returns when a prompt that comes now is read: prompts are read in turn, at the speed that the configuration tells. Helpers that the
// request names take even parts.
func (wk *worker) read(r *http.Request) time.Time {
	prompt, _, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, err := strconv.ParseFloat(prompt, 64)
	if err != nil {
		return time.Now()
	}
	parts := 1.0
	if helpers := r.Header.Get("X-Helpers"); helpers != "" {
		parts += float64(strings.Count(helpers, ",") + 1)
	}
	ms := (tokens/154 + 0.162*tokens*tokens/2/1e6) / parts
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if now := time.Now(); wk.free.Before(now) {
		wk.free = now
	}
	wk.free = wk.free.Add(time.Duration(ms * float64(time.Millisecond)))
	return wk.free
}

func startWorker(id, service string, engine bool) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return startWorkerOn(l, id, service, engine)
}

func startWorkerOn(l net.Listener, id, service string, engine bool) *worker {
	wk := &worker{id: id, service: service, engine: engine, slots: 16, born: time.Now().UnixMilli(), addr: l.Addr().String()}
	wk.serve(l)
	return wk
}

func (wk *worker) serve(l net.Listener) {
	wk.server = &http.Server{Handler: wk}
	go func(s *http.Server) { _ = s.Serve(l) }(wk.server)
}

// crash ends the server at once, with all its connections.
func (wk *worker) crash() { _ = wk.server.Close() }

// restart starts the server again at its address. It knows nothing of before.
func (wk *worker) restart() {
	l, err := net.Listen("tcp", wk.addr)
	must(err)
	wk.born = time.Now().UnixMilli()
	wk.serve(l)
}

// entry is the server's entry in the store.
func (wk *worker) entry(state string) map[string]any {
	return map[string]any{
		"service": wk.service, "address": wk.addr, "zone": cmp.Or(wk.zone, "zone-a"), "version": "v1", "slots": wk.slots,
		"state": state, "cold_left_ms": wk.coldMS, "sequence": 0, "born": wk.born,
	}
}

func (wk *worker) allRuns() []run {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return append([]run(nil), wk.runs...)
}

func (wk *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != wk.id {
		w.Header().Set("X-Instance-Id", wk.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
			"sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 405000, "handles": 0, "tickets": []any{}, "born": wk.born,
		})
		return
	case "/-/order":
		_, _ = w.Write([]byte(`{"free":405000}`))
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	wk.mu.Lock()
	wk.runs = append(wk.runs, run{time.Now(), id, r.Method, r.RequestURI, string(body), r.Header.Get("X-Tenant")})
	wk.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", wk.id+"."+id)
	if wk.Handle != nil && wk.Handle(w, r, body) {
		return
	}
	if wk.engine {
		wk.stream(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", wk.id, r.Method, strings.ToValidUTF8(r.RequestURI, "?"))
}

func (wk *worker) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	select {
	case <-time.After(time.Until(wk.read(r))):
	case <-r.Context().Done():
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for id := after + 1; id <= max(wk.Events, 10); id++ {
		time.Sleep(max(wk.Pause, 20*time.Millisecond))
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 60)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
