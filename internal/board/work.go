package board

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

// outputWeight is how many prompt tokens a generated token weighs in the value of a request.
const outputWeight = 10

// Target is one process that runs requests.
type Target struct {
	ID       string       `json:"id"`
	Service  string       `json:"service"`
	Addr     string       `json:"addr"`
	Zone     string       `json:"zone"`
	Slots    int          `json:"slots"`
	Draining bool         `json:"draining,omitempty"`
	Cold     clock.Millis `json:"cold,omitempty"` // for which it is still slow after its start
}

// Requirements is what a request asks of a target.
type Requirements struct {
	ID            string
	Service       string
	PromptTokens  int             // tokens
	Output        int             // most tokens to generate
	FirstEventSLO clock.Millis    // wanted time to the first event
	EventGapSLO   clock.Millis    // longest wanted pause between events
	Elapsed       clock.Millis    // since the caller's request arrived
	Deadline      clock.Millis    // point in time
	Exclude       map[string]bool // targets that are not to run it
}

// value weighs a request against others by the work that it asks for.
func (n Requirements) value() float64 { return float64(n.PromptTokens + outputWeight*n.Output) }

// Work is a request in progress as instances tell one another.
type Work struct {
	Number  uint64       `cbor:"1,keyasint"` // unique for its instance
	Target  string       `cbor:"2,keyasint"`
	Helpers []string     `cbor:"3,keyasint,omitempty"` // targets that read a part of the prompt
	Prompt  int          `cbor:"4,keyasint,omitempty"`
	Output  int          `cbor:"5,keyasint,omitempty"`
	Aim     clock.Millis `cbor:"6,keyasint,omitempty"`
	Pause   clock.Millis `cbor:"7,keyasint,omitempty"`
	Begun   bool         `cbor:"8,keyasint,omitempty"`  // the first event has come
	Age     clock.Millis `cbor:"9,keyasint,omitempty"`  // since it was placed
	Split   bool         `cbor:"10,keyasint,omitempty"` // helpers keep the memory of the parts that they read
}

func (w Work) value() float64 { return float64(w.Prompt + outputWeight*w.Output) }

// memory returns the tokens that the work holds at its first target or at each helper.
func (w Work) memory(helper bool) int {
	switch {
	case w.Split && helper:
		return w.Prompt / (1 + len(w.Helpers))
	case w.Split:
		return w.Prompt/(1+len(w.Helpers)) + w.Output
	case helper:
		return 0
	default:
		return w.Prompt + w.Output
	}
}

// key names a work among all instances.
type key struct {
	owner  string
	number uint64
}

// begin says that the first event of a work has come.
type begin struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Age    clock.Millis // since it came
}

// known is a work that an instance knows of, its own or another's.
type known struct {
	targets []string
	heard   clock.Millis // when its instance last spoke of it
}

// job is a target's part in a work.
type job struct {
	key
	work   Work
	placed clock.Millis
	task   *model.Task // on an engine
}

// helps reports whether the target reads for another one.
func (j *job) helps() bool { return j.task.Helper }
