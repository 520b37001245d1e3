package main

import (
	"bufio"
	"bytes"
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

// Arrival is a request as a worker got it.
type Arrival struct {
	At     time.Time
	Worker string
	ID     string
	Method string
	Target string
	Header http.Header
	Body   []byte
	Conn   net.Conn
	reader *bufio.Reader
}

// Worker is a stand-in for a worker of a service.
type Worker struct {
	ID, Service, Addr, Zone string
	Born                    int64
	Slots                   int
	Memory                  int // tokens of an engine; zero for a plain service
	Rec                     *Record
	// Answer answers a request; it returns whether the connection may be used on. Nil for Default.
	Answer func(w *Worker, a *Arrival) bool
	OnRun  func(a *Arrival)

	mu       sync.Mutex
	running  int
	listener net.Listener
	conns    map[net.Conn]bool
	tickets  map[string]time.Time
}

// NewWorker starts a worker on a loopback address.
func NewWorker(rec *Record, id, service, ip, zone string, slots, memory int) *Worker {
	w := &Worker{ID: id, Service: service, Zone: zone, Slots: slots, Memory: memory, Rec: rec, Born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, tickets: map[string]time.Time{}}
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	w.Addr, w.listener = l.Addr().String(), l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return w
}

// Entry is what the worker writes about itself into the store.
func (w *Worker) Entry(state string) map[string]any {
	return map[string]any{
		"service": w.Service, "address": w.Addr, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": state, "cold_left_ms": 0,
		"phase": "colocated", "models": []any{}, "sequence": 0, "born": w.Born,
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := &Arrival{At: time.Now(), Worker: w.ID, ID: req.Header.Get("X-Request-Id"), Method: req.Method, Target: req.RequestURI, Header: req.Header, Body: body, Conn: c, reader: br}
		if want := req.Header.Get("X-Target-Instance"); want != "" && want != w.ID {
			w.Write(c, 421, http.Header{"X-Instance-Id": {w.ID}}, nil)
			continue
		}
		switch req.RequestURI {
		case "/-/report":
			w.report(c)
			continue
		case "/-/order":
			w.order(c, body)
			continue
		case "/health":
			w.Write(c, 200, http.Header{"X-Instance-Id": {w.ID}}, nil)
			continue
		}
		answer := w.Answer
		if answer == nil {
			answer = Default
		}
		if !answer(w, a) || req.Close {
			return
		}
	}
}

func (w *Worker) report(c net.Conn) {
	w.mu.Lock()
	running := w.running
	w.mu.Unlock()
	data, _ := json.Marshal(map[string]any{
		"phase": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0, "queued": 0,
		"running": running, "kv_used": 0, "kv_total": w.Memory, "handles": 0, "tickets": []any{}, "born": w.Born,
	})
	w.Write(c, 200, http.Header{"Content-Type": {"application/json"}}, data)
}

func (w *Worker) order(c net.Conn, body []byte) {
	data, _ := json.Marshal(map[string]any{"free": w.Memory, "born": w.Born})
	w.Write(c, 200, http.Header{"Content-Type": {"application/json"}}, data)
}

// Write writes a whole answer.
func (w *Worker) Write(c net.Conn, status int, h http.Header, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, _ = c.Write(b.Bytes())
}

// Run records that the worker begins to work on a request.
func (w *Worker) Run(a *Arrival) (end func()) {
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	w.Rec.Line("worker %s runs %s: %s %s tokens=%q tenant=%q", w.ID, a.ID, a.Method, a.Target, a.Header.Get("X-Token-Count"), a.Header.Get("X-Tenant"))
	if w.OnRun != nil {
		w.OnRun(a)
	}
	return func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}
}

// Refuse answers a request that is not run.
func (w *Worker) Refuse(a *Arrival) {
	w.Rec.Line("worker %s does not run %s: tokens=%q", w.ID, a.ID, a.Header.Get("X-Token-Count"))
	w.Write(a.Conn, 503, http.Header{"X-Not-Executed": {"1"}, "X-Request-Id": {a.ID}}, nil)
}

// Full reports whether the worker has no slot.
func (w *Worker) Full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running >= w.Slots
}

func (w *Worker) seal(a *Arrival) http.Header {
	return http.Header{"X-Request-Id": {a.ID}, "X-Response-Seal": {"seal." + w.ID + "." + a.ID}, "X-Server-Load": {"1,0," + strconv.Itoa(w.Slots)}}
}

// Default answers as a sound worker does: a stream for an engine, else a short body.
func Default(w *Worker, a *Arrival) bool {
	if w.Memory > 0 {
		return StreamOf(w, a, 10, 100*time.Millisecond)
	}
	end := w.Run(a)
	defer end()
	time.Sleep(20 * time.Millisecond)
	w.Write(a.Conn, 200, w.seal(a), []byte("done "+a.ID))
	return true
}

// tooLarge reports whether an engine lacks the memory for a request, or cannot read how large it is.
func (w *Worker) tooLarge(a *Arrival) bool {
	prompt, output, _ := strings.Cut(a.Header.Get("X-Token-Count"), ",")
	p, err1 := strconv.ParseFloat(prompt, 64)
	o, err2 := strconv.ParseFloat(output, 64)
	return err1 != nil || err2 != nil || p < 0 || o < 0 || p+o > float64(w.Memory)
}

// StreamOf answers with a stream of events.
func StreamOf(w *Worker, a *Arrival, events int, gap time.Duration) bool {
	if w.Full() || w.tooLarge(a) {
		w.Refuse(a)
		return true
	}
	end := w.Run(a)
	defer end()
	after := -1
	if v := a.Header.Get("Last-Event-Id"); v != "" {
		after, _ = strconv.Atoi(v)
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	h := w.seal(a)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Transfer-Encoding", "chunked")
	_ = h.Write(&b)
	b.WriteString("\r\n")
	if _, err := a.Conn.Write(b.Bytes()); err != nil {
		return false
	}
	for n := after + 1; n < events; n++ {
		time.Sleep(gap)
		e := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, a.ID)
		if _, err := fmt.Fprintf(a.Conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			w.Rec.Line("worker %s: %s was broken off", w.ID, a.ID)
			return false
		}
	}
	_, err := io.WriteString(a.Conn, "0\r\n\r\n")
	return err == nil
}

// Stop ends the worker as a crash does: its connections are reset.
func (w *Worker) Stop() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
