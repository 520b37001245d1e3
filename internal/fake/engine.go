package fake

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderpier/corianderpier/internal/engine"
)

const (
	tokenBytes        = 4                      // length of the text of a generated token
	blockBytes        = 4096                   // of prompt text in one block of the prefix cache
	keepAliveInterval = 300 * time.Millisecond // between comments on a stream without new tokens
)

// EngineFault selects faults to inject into the responses of an engine.
type EngineFault struct {
	WrongAttempt    bool `json:"cross"`   // every frame carries the ID of another attempt
	CutAfter        int  `json:"cut"`     // closes the connection after this many frames; zero for never
	Truncate        bool `json:"shorten"` // ends the stream early with a total that is too large
	DuplicateFrames bool `json:"repeat"`  // sends each frame twice
	StallAfter      int  `json:"silent"`  // after this many frames sends nothing more and keeps the connection open; zero for never
	MaxRequests     int  `json:"times"`   // how many requests the fault applies to; zero for all
	Leaving         bool `json:"leaving"` // rejects new requests, as an engine does before it stops
}

// Engine is a fake model engine with continuous batching, limited memory, a prefix
// cache and priorities. Prefill and decode take time, but no model runs.
type Engine struct {
	Name         string
	MemoryTokens int           // shared by streams, reservations and the prefix cache
	PrefillRate  int           // prompt tokens per second
	StepTime     time.Duration // between two tokens of a stream
	BatchSize    int           // streams that decode a token in one step
	ReportLag    time.Duration // least age at which a load report is replaced
	ChecksFence  bool          // rejects orders with a lower fencing number than it has seen
	LoadTime     time.Duration // that a change of state takes

	mu                 sync.Mutex
	streams            map[string]*stream
	reservations       map[string]*reservation
	cache              map[uint64]*cacheBlock
	cachedTokens       int
	arrivals           int
	running            bool
	report             engine.Load
	reported           time.Time
	fault              EngineFault
	requestsSinceFault int // since SetFault
	state              engine.State
	fence              uint64
	history            []AppliedOrder
}

// AppliedOrder is one order that an engine accepted, and when.
type AppliedOrder struct {
	At    int64        `json:"at_ms"` // milliseconds since the Unix epoch
	Order engine.Order `json:"order"`
}

// NewEngine returns an idle engine with default settings.
func NewEngine(name string) *Engine {
	return &Engine{
		Name:         name,
		MemoryTokens: 400_000,
		PrefillRate:  100_000,
		StepTime:     25 * time.Millisecond,
		BatchSize:    64,
		ReportLag:    200 * time.Millisecond,
		streams:      make(map[string]*stream),
		reservations: make(map[string]*reservation),
		cache:        make(map[uint64]*cacheBlock),
	}
}

// CompletionText returns the text that every engine generates for a prompt. It
// depends on the prompt and the number of tokens only, so a caller can check it.
func CompletionText(prompt string, tokens int) string {
	return generatedText(xxhash.Sum64String(prompt), 0, tokens)
}

// generatedText returns the text of tokens from (inclusive) to to (exclusive).
func generatedText(seed uint64, from, to int) string {
	const letters = "abcdefghijklmnop"
	var b strings.Builder
	for i := from; i < to; i++ {
		x := (seed + uint64(i)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
		for range tokenBytes - 1 {
			x ^= x >> 29
			b.WriteByte(letters[x&15])
			x *= 0xc4ceb9fe1a85ec53
		}
		b.WriteByte(' ')
	}
	return b.String()
}

// SetFault replaces the fault to inject and restarts the count of requests.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.requestsSinceFault = 0
}

// ServeHTTP serves the engine's part of the protocol in package engine, and the
// paths under /admin/ by which tests inject faults and read the accepted orders.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/admin/fault":
		var f EngineFault
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			e.SetFault(f)
		}
	case r.URL.Path == "/admin/orders":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(e.history)
	case r.URL.Path == engine.PathState:
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(e.state)
	case r.URL.Path == engine.PathOrders:
		e.handleOrder(w, r)
	case r.URL.Path == engine.PathCompletions:
		e.handleCompletion(w, r)
	case strings.HasPrefix(r.URL.Path, engine.PathAttempts):
		e.handleAttempt(w, r, strings.TrimPrefix(r.URL.Path, engine.PathAttempts))
	case r.URL.Path == engine.PathLoad:
		_ = json.NewEncoder(w).Encode(e.loadReport())
	case r.URL.Path == engine.PathHoldings:
		_ = json.NewEncoder(w).Encode(e.Holdings())
	case strings.HasPrefix(r.URL.Path, engine.PathHoldings+"/"):
		e.release(strings.TrimPrefix(r.URL.Path, engine.PathHoldings+"/"))
	case r.URL.Path == engine.PathReservations:
		e.handleReservation(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Holdings lists the memory of streams and reservations with their owners.
func (e *Engine) Holdings() []engine.Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := []engine.Holding{}
	for id, s := range e.streams {
		if s.admitted || !s.released {
			held = append(held, engine.Holding{ID: id, Owner: s.request.Owner, Attached: s.readers > 0, Kind: engine.KindStream, Tokens: s.memoryTokens, AgeMillis: time.Since(s.started).Milliseconds()})
		}
	}
	for id, r := range e.reservations {
		held = append(held, engine.Holding{ID: id, Owner: r.request.Owner, Kind: engine.KindReservation, Tokens: r.request.Tokens, AgeMillis: time.Since(r.started).Milliseconds()})
	}
	return held
}

// handleCompletion starts a stream and sends its frames.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request engine.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s, fault := e.startStream(request)
	if s == nil {
		w.Header().Set(engine.HeaderNotProcessed, "true")
		if fault.Leaving {
			w.Header().Set(engine.HeaderLeaving, "true")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.writeStream(w, r, s, request.ResumeOffset/tokenBytes, fault)
}

// handleAttempt resumes or cancels a stream.
func (e *Engine) handleAttempt(w http.ResponseWriter, r *http.Request, id string) {
	if r.Method == http.MethodDelete {
		e.release(id)
		return
	}
	e.mu.Lock()
	s := e.streams[id]
	e.mu.Unlock()
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var request engine.CompletionRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	e.writeStream(w, r, s, request.ResumeOffset/tokenBytes, EngineFault{})
}

// startStream adds a stream, or returns nil if the engine rejects the request. It
// also returns the fault that applies to the request.
func (e *Engine) startStream(request engine.CompletionRequest) (*stream, EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := e.fault
	if fault.MaxRequests > 0 && e.requestsSinceFault >= fault.MaxRequests {
		fault = EngineFault{}
	}
	e.requestsSinceFault++
	memory := request.PromptTokens + request.MaxTokens
	for _, span := range request.Spans {
		memory -= span.Tokens
	}
	if fault.Leaving || memory > e.MemoryTokens {
		return nil, fault
	}
	e.arrivals++
	s := &stream{
		request: request, seed: xxhash.Sum64String(request.Prompt), arrival: e.arrivals, started: time.Now(),
		prefillLeft: request.PromptTokens, memoryTokens: memory, decoded: request.ResumeOffset / tokenBytes, changed: make(chan struct{}),
	}
	s.prefillLeft -= e.cachedPrefixTokens(request)
	s.prefillLeft /= 1 + len(request.Spans) // engines that share the memory of a prompt prefill it in parallel
	e.streams[request.Attempt] = s
	if !e.running {
		e.running = true
		go e.runSteps()
	}
	return s, fault
}

// writeStream sends the frames of a stream from a token on, until the stream or the
// connection ends.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, from int, fault EngineFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	report, _ := json.Marshal(e.loadReport())
	w.Header().Set(engine.HeaderLoad, string(report))
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	e.addReaders(s, 1)
	defer e.addReaders(s, -1)
	frames := 0
	for {
		e.mu.Lock()
		decoded, released, changed := s.decoded, s.released, s.changed
		e.mu.Unlock()
		done := decoded >= s.request.MaxTokens
		if decoded > from || (done && decoded == from) {
			frame := engine.Frame{Attempt: s.request.Attempt, Offset: from * tokenBytes, Text: generatedText(s.seed, from, decoded)}
			if done {
				frame.Done, frame.Total = true, decoded*tokenBytes
			}
			if !e.writeFrame(w, r, frame, fault, frames) {
				return
			}
			frames++
			_ = controller.Flush()
			from = decoded
		}
		if done {
			e.release(s.request.Attempt)
			return
		}
		if released {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-time.After(keepAliveInterval):
			_, _ = w.Write([]byte(": waiting\n\n"))
			_ = controller.Flush()
		case <-r.Context().Done():
			return // the stream goes on; the owner may resume or cancel it
		}
	}
}

// addReaders adds to the number of connections that read a stream.
func (e *Engine) addReaders(s *stream, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers += change
}

// writeFrame sends one frame with the fault applied, and reports whether more
// frames may follow.
func (e *Engine) writeFrame(w http.ResponseWriter, r *http.Request, frame engine.Frame, fault EngineFault, sent int) bool {
	switch {
	case fault.WrongAttempt:
		frame.Attempt = "other-" + frame.Attempt
	case fault.CutAfter > 0 && sent >= fault.CutAfter:
		panic(http.ErrAbortHandler)
	case fault.StallAfter > 0 && sent >= fault.StallAfter:
		<-r.Context().Done()
		return false
	case fault.Truncate && sent > 0:
		frame.Done, frame.Total, frame.Text = true, frame.Offset+len(frame.Text)+tokenBytes, ""
	}
	writeEvent(w, frame)
	if fault.DuplicateFrames {
		writeEvent(w, frame)
	}
	return !(fault.Truncate && frame.Done)
}

func writeEvent(w http.ResponseWriter, frame engine.Frame) {
	data, _ := json.Marshal(frame)
	_, _ = w.Write([]byte("data: " + string(data) + "\n\n"))
}

// release removes a reservation or a stream and frees its memory.
func (e *Engine) release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.reservations, id)
	s := e.streams[id]
	if s == nil {
		return
	}
	s.released = true
	close(s.changed)
	s.changed = make(chan struct{})
	delete(e.streams, id)
	if s.admitted && s.prefillLeft <= 0 {
		e.cachePrompt(s.request)
	}
}

// handleOrder sets the ordered state, which is reported as loading for LoadTime.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && order.Fence < e.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.history = append(e.history, AppliedOrder{At: time.Now().UnixMilli(), Order: order})
	e.state = order.State
	e.state.Loading = true
	position := len(e.history)
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.history) == position {
			e.state.Loading = false
		}
	})
}

// handleReservation reserves memory if it is free. A repeated ID changes nothing.
func (e *Engine) handleReservation(w http.ResponseWriter, r *http.Request) {
	var request engine.Reservation
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reservations[request.ID] != nil {
		return
	}
	if e.usedMemory()+request.Tokens > e.MemoryTokens {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.evict(e.MemoryTokens - e.usedMemory() - request.Tokens)
	e.reservations[request.ID] = &reservation{request: request, started: time.Now()}
}

// loadReport returns the previous report when it replaces one, so that a report may
// be older than ReportLag, as with real engines.
func (e *Engine) loadReport() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reported) < e.ReportLag {
		return e.report
	}
	e.reported = time.Now()
	report := engine.Load{UsedMemoryTokens: e.usedMemory(), MemoryTokens: e.MemoryTokens, PrefillRate: e.PrefillRate, Leaving: e.fault.Leaving}
	for _, s := range e.streams {
		if s.admitted {
			report.RunningRequests++
		} else {
			report.WaitingRequests++
			report.WantedMemoryTokens += s.memoryTokens
		}
		report.BacklogTokens += max(s.prefillLeft, 0)
	}
	old := e.report
	e.report = report
	if old.MemoryTokens == 0 {
		return report
	}
	return old
}
