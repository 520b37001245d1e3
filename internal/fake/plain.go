package fake

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/corianderpier/corianderpier/internal/engine"
)

// PlainFault selects faults to inject into the calls of a plain service. Refuse,
// LoseAnswer, WrongAttempt and Hang count down with each call that they apply to.
type PlainFault struct {
	Refuse       int  `json:"refuse"`      // calls to reject without executing them
	LoseAnswer   int  `json:"lose_answer"` // calls to execute and then drop the connection
	WrongAttempt int  `json:"cross"`       // calls to answer with the ID of another attempt
	Hang         int  `json:"hang"`        // calls to execute and never answer
	DelayMillis  int  `json:"delay_ms"`    // before each response
	Leaving      bool `json:"leaving"`     // rejects new calls, as a service does before it stops
}

// Run is one execution of a call.
type Run struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// Plain is a fake plain service. It executes every call, also one whose key it has
// seen before, so that tests can count duplicate executions.
type Plain struct {
	Name string

	mu    sync.Mutex
	runs  []Run
	fault PlainFault
}

// Runs returns all executions so far, in order.
func (p *Plain) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Run(nil), p.runs...)
}

// SetFault replaces the faults to inject.
func (p *Plain) SetFault(f PlainFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// ServeHTTP serves the plain service's part of the protocol in package engine, and
// the paths under /admin/ by which tests inject faults and read the executions.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/admin/fault":
		var f PlainFault
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			p.SetFault(f)
		}
	case "/admin/runs":
		_ = json.NewEncoder(w).Encode(p.Runs())
	case engine.PathLoad:
		_ = json.NewEncoder(w).Encode(engine.Load{Leaving: p.leaving()})
	case engine.PathAct:
		p.handleAct(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (p *Plain) leaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault.Leaving
}

// handleAct executes a call and answers, with the faults applied.
func (p *Plain) handleAct(w http.ResponseWriter, r *http.Request) {
	var request engine.ActRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fault, executed := p.record(request)
	if !executed {
		w.Header().Set(engine.HeaderNotProcessed, "true")
		if fault.Leaving {
			w.Header().Set(engine.HeaderLeaving, "true")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(fault.DelayMillis) * time.Millisecond)
	switch {
	case fault.LoseAnswer > 0:
		panic(http.ErrAbortHandler)
	case fault.Hang > 0:
		<-r.Context().Done()
		return
	case fault.WrongAttempt > 0:
		request.Attempt = "other-" + request.Attempt
	}
	_ = json.NewEncoder(w).Encode(engine.ActResponse{Attempt: request.Attempt, Body: Receipt(request.Key, request.Body)})
}

// record records an execution unless the call is to be rejected. It returns the
// fault that applies to this call and whether the call was executed.
func (p *Plain) record(request engine.ActRequest) (PlainFault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	applied := PlainFault{DelayMillis: p.fault.DelayMillis, Leaving: p.fault.Leaving}
	if applied.Leaving || consume(&p.fault.Refuse, &applied.Refuse) {
		return applied, false
	}
	_ = consume(&p.fault.LoseAnswer, &applied.LoseAnswer) || consume(&p.fault.Hang, &applied.Hang) || consume(&p.fault.WrongAttempt, &applied.WrongAttempt)
	p.runs = append(p.runs, Run{Key: request.Key, Attempt: request.Attempt})
	return applied, true
}

// consume takes one call from a fault's counter, if any is left, and sets applied.
func consume(left, applied *int) bool {
	if *left == 0 {
		return false
	}
	*left--
	*applied = 1
	return true
}

// Receipt returns the response body of a plain service.
func Receipt(key, body string) string { return "receipt for " + key + ": " + body }
