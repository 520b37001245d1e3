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
	tokenBytes = 4 // bytes of text for each generated token
	blockBytes = 4096
	keepAlive  = 300 * time.Millisecond // between comments on a stream without new text
)

// EngineFault says what goes wrong with the answers of an engine.
type EngineFault struct {
	WrongAttempt    bool `json:"cross"`   // every frame names another attempt
	CutAfter        int  `json:"cut"`     // closes the connection after this many frames
	Truncate        bool `json:"shorten"` // ends the answer early with a total that is too large
	DuplicateFrames bool `json:"repeat"`  // sends each frame twice
	StallAfter      int  `json:"silent"`  // sends nothing more after this many frames and keeps the connection
	MaxRequests     int  `json:"times"`   // how many requests the fault hits; zero for all
	Leaving         bool `json:"leaving"` // refuses new work
}

// Engine is a model engine with continuous batching, limited memory, a prefix cache and priorities.
type Engine struct {
	Name         string
	MemoryTokens int           // tokens
	PrefillRate  int           // prompt tokens a second
	StepTime     time.Duration // between generated tokens of a stream
	BatchSize    int           // streams that generate in one step
	ReportLag    time.Duration // of the load report
	ChecksFence  bool          // refuses orders with a lower fencing number than it has seen
	LoadTime     time.Duration // of a change of state

	mu             sync.Mutex
	streams        map[string]*stream
	reservations   map[string]*reservation
	cache          map[uint64]*cacheBlock
	cachedTokens   int // tokens
	arrivals       int
	running        bool
	report         engine.Load
	reported       time.Time
	fault          EngineFault
	faultyRequests int // requests that met the fault
	state          engine.State
	fence          uint64
	history        []AppliedOrder
}

// AppliedOrder is one order that an engine carried out.
type AppliedOrder struct {
	At    int64        `json:"at_ms"` // milliseconds since the Unix epoch
	Order engine.Order `json:"order"`
}

// NewEngine returns an idle engine.
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

// CompletionText gives the text that any engine makes of a prompt.
func CompletionText(prompt string, tokens int) string {
	return generatedText(xxhash.Sum64String(prompt), 0, tokens)
}

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

// SetFault changes what goes wrong from now on.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.faultyRequests = 0
}

// ServeHTTP answers the protocol of package engine.
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

// Holdings lists the memory that belongs to owners.
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

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var ask engine.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s, fault := e.startStream(ask)
	if s == nil {
		w.Header().Set(engine.HeaderNotProcessed, "true")
		if fault.Leaving {
			w.Header().Set(engine.HeaderLeaving, "true")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.writeStream(w, r, s, ask.ResumeOffset/tokenBytes, fault)
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
	var ask engine.CompletionRequest
	_ = json.NewDecoder(r.Body).Decode(&ask)
	e.writeStream(w, r, s, ask.ResumeOffset/tokenBytes, EngineFault{})
}

func (e *Engine) startStream(ask engine.CompletionRequest) (*stream, EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := e.fault
	if fault.MaxRequests > 0 && e.faultyRequests >= fault.MaxRequests {
		fault = EngineFault{}
	}
	e.faultyRequests++
	need := ask.PromptTokens + ask.MaxTokens
	for _, span := range ask.Spans {
		need -= span.Tokens
	}
	if fault.Leaving || need > e.MemoryTokens {
		return nil, fault
	}
	e.arrivals++
	s := &stream{
		request: ask, seed: xxhash.Sum64String(ask.Prompt), arrival: e.arrivals, started: time.Now(),
		prefillLeft: ask.PromptTokens, memoryTokens: need, decoded: ask.ResumeOffset / tokenBytes, changed: make(chan struct{}),
	}
	s.prefillLeft -= e.cachedPrefixTokens(ask)
	s.prefillLeft /= 1 + len(ask.Spans) // the engines of a spread prompt process it together
	e.streams[ask.Attempt] = s
	if !e.running {
		e.running = true
		go e.runSteps()
	}
	return s, fault
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, from int, fault EngineFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	report, _ := json.Marshal(e.loadReport())
	w.Header().Set(engine.HeaderLoad, string(report))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	e.addReaders(s, 1)
	defer e.addReaders(s, -1)
	frames := 0
	for {
		e.mu.Lock()
		made, gone, changed := s.decoded, s.released, s.changed
		e.mu.Unlock()
		done := made >= s.request.MaxTokens
		if made > from || (done && made == from) {
			frame := engine.Frame{Attempt: s.request.Attempt, Offset: from * tokenBytes, Text: generatedText(s.seed, from, made)}
			if done {
				frame.Done, frame.Total = true, made*tokenBytes
			}
			if !e.writeFrame(w, r, frame, fault, frames) {
				return
			}
			frames++
			_ = flush.Flush()
			from = made
		}
		if done {
			e.release(s.request.Attempt)
			return
		}
		if gone {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-time.After(keepAlive):
			_, _ = w.Write([]byte(": waiting\n\n"))
			_ = flush.Flush()
		case <-r.Context().Done():
			return // the stream stays, to be resumed or cancelled
		}
	}
}

func (e *Engine) addReaders(s *stream, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers += change
}

// writeFrame writes one frame and reports whether the stream goes on.
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

// handleOrder changes the state as ordered, after the time that loading takes.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && o.Fence < e.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.history = append(e.history, AppliedOrder{At: time.Now().UnixMilli(), Order: o})
	e.state = o.State
	e.state.Loading = true
	turn := len(e.history)
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.history) == turn {
			e.state.Loading = false
		}
	})
}

func (e *Engine) handleReservation(w http.ResponseWriter, r *http.Request) {
	var ask engine.Reservation
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reservations[ask.ID] != nil {
		return
	}
	if e.usedMemory()+ask.Tokens > e.MemoryTokens {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.evict(e.MemoryTokens - e.usedMemory() - ask.Tokens)
	e.reservations[ask.ID] = &reservation{request: ask, started: time.Now()}
}

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
