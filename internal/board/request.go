package board

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
	"github.com/corianderpier/corianderpier/internal/share"
)

// outputWeight is the value of a generated token, in prompt tokens.
const outputWeight = 10

// Target is one process that runs requests.
type Target struct {
	ID         string       `json:"id"`
	Service    string       `json:"service"`
	Addr       string       `json:"addr"`
	Zone       string       `json:"zone"`
	Slots      int          `json:"slots"`              // requests that can run at once
	Draining   bool         `json:"draining,omitempty"` // it gets no new requests
	WarmupLeft clock.Millis `json:"cold,omitempty"`     // for how much longer it is slow, and cold, after its start
	Born       clock.Millis `json:"born,omitempty"`     // when it started, which tells its starts under one id apart; zero if unknown
}

// Requirements describes a request that is to be placed.
type Requirements struct {
	ID              string          // of the caller's request
	Service         string          // name of the service that runs it
	PromptTokens    int             // zero for a plain service
	MaxOutputTokens int             // limit of generated tokens
	FirstEventSLO   clock.Millis    // objective for the time from its arrival to its first event
	EventGapSLO     clock.Millis    // objective for the longest gap between events
	Elapsed         clock.Millis    // since the caller's request arrived
	Deadline        clock.Millis    // point in time
	Exclude         map[string]bool // ids of targets to avoid
	Hedge           bool            // it goes to a second target beside a silent one
	Customer        string          // name; empty if the request has none
	Priority        float64         // of the customer, or else of the route: 0 is the highest
	Begun           bool            // the caller has a part of the answer, so that it can't be refused any more, only cut
}

// value returns the weight of a request against others, in prompt tokens.
func (r Requirements) value() float64 {
	return float64(r.PromptTokens + outputWeight*r.MaxOutputTokens)
}

// exceeds reports whether a number of idle engines together lack the memory for the prompt and the answer.
func (r Requirements) exceeds(engine model.Engine, engines int) bool {
	capacity := engine.Memory * min(engines, maxParts)
	return r.PromptTokens > 0 && engine.Memory > 0 && r.PromptTokens+r.MaxOutputTokens > capacity
}

// ActiveRequest is a placed request as instances broadcast it.
type ActiveRequest struct {
	Number          uint64         `cbor:"1,keyasint"` // unique among those of all processes of its instance
	Target          string         `cbor:"2,keyasint"`
	Helpers         []string       `cbor:"3,keyasint,omitempty"` // targets that prefill a part of the prompt
	PromptTokens    int            `cbor:"4,keyasint,omitempty"`
	MaxOutputTokens int            `cbor:"5,keyasint,omitempty"`
	FirstEventSLO   clock.Millis   `cbor:"6,keyasint,omitempty"`
	EventGapSLO     clock.Millis   `cbor:"7,keyasint,omitempty"`
	FirstEventSeen  bool           `cbor:"8,keyasint,omitempty"`  // the first event has been received
	Age             clock.Millis   `cbor:"9,keyasint,omitempty"`  // since it was placed
	SplitMemory     bool           `cbor:"10,keyasint,omitempty"` // helpers keep their parts of the prompt in memory until the request ends
	Customer        share.Customer `cbor:"11,keyasint,omitempty"` // zero if it is unknown, as of instances of earlier builds
}

// value returns the weight of a request against others, as Requirements.value.
func (r ActiveRequest) value() float64 {
	return float64(r.PromptTokens + outputWeight*r.MaxOutputTokens)
}

// memoryTokens returns the tokens of memory that the request holds at its primary target or at each helper.
func (r ActiveRequest) memoryTokens(helper bool) int {
	switch {
	case r.SplitMemory && helper:
		return r.PromptTokens / (1 + len(r.Helpers))
	case r.SplitMemory:
		return r.PromptTokens/(1+len(r.Helpers)) + r.MaxOutputTokens
	case helper:
		return 0
	default:
		return r.PromptTokens + r.MaxOutputTokens
	}
}

// requestKey identifies a request among those of all instances.
type requestKey struct {
	owner  string
	number uint64
}

// firstEvent reports the first event of a request.
type firstEvent struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Age    clock.Millis // since the event, when the datagram is sent
}

// knownRequest is a request in progress, of this instance or another.
type knownRequest struct {
	targets   []string     // ids, the primary's first
	lastHeard clock.Millis // when its instance last broadcast it
}

// assignment is a request, or a part of one, on one of its targets.
type assignment struct {
	requestKey
	request  ActiveRequest
	placedAt clock.Millis
	task     *model.Task // its prefill and decoding in the target's schedule
}

// isHelper reports whether the target only prefills a part of the prompt.
func (a *assignment) isHelper() bool { return a.task.Helper }
