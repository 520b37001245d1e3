package fake

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/corianderpier/corianderpier/internal/engine"
)

// PlainFault says what goes wrong with the calls of a plain service.
type PlainFault struct {
	Refuse       int  `json:"refuse"`      // calls refused without acting
	LoseAnswer   int  `json:"lose_answer"` // calls that act and then drop the connection
	WrongAttempt int  `json:"cross"`       // calls answered with another attempt's identity
	Hang         int  `json:"hang"`        // calls that act and never answer
	DelayMillis  int  `json:"delay_ms"`    // milliseconds before each answer
	Leaving      bool `json:"leaving"`     // refuses new work
}

// Run is one action that a plain service took.
type Run struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// Plain is a plain service that acts on every call and does not recognise a repeated key.
type Plain struct {
	Name string

	mu    sync.Mutex
	runs  []Run
	fault PlainFault
}

// Runs returns the actions taken so far, in order.
func (p *Plain) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Run(nil), p.runs...)
}

// SetFault changes what goes wrong from now on.
func (p *Plain) SetFault(f PlainFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// ServeHTTP answers the protocol of package engine for plain services.
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

func (p *Plain) handleAct(w http.ResponseWriter, r *http.Request) {
	var ask engine.ActRequest
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fault, acted := p.record(ask)
	if !acted {
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
		ask.Attempt = "other-" + ask.Attempt
	}
	_ = json.NewEncoder(w).Encode(engine.ActResponse{Attempt: ask.Attempt, Body: Receipt(ask.Key, ask.Body)})
}

// record acts unless the fault refuses, and returns the fault that hits this call.
func (p *Plain) record(ask engine.ActRequest) (PlainFault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hit := PlainFault{DelayMillis: p.fault.DelayMillis, Leaving: p.fault.Leaving}
	if hit.Leaving || consume(&p.fault.Refuse, &hit.Refuse) {
		return hit, false
	}
	_ = consume(&p.fault.LoseAnswer, &hit.LoseAnswer) || consume(&p.fault.Hang, &hit.Hang) || consume(&p.fault.WrongAttempt, &hit.WrongAttempt)
	p.runs = append(p.runs, Run{Key: ask.Key, Attempt: ask.Attempt})
	return hit, true
}

func consume(left, hit *int) bool {
	if *left == 0 {
		return false
	}
	*left--
	*hit = 1
	return true
}

// Receipt is the body with which a plain service answers.
func Receipt(key, body string) string { return "receipt for " + key + ": " + body }
