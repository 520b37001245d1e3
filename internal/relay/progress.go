package relay

import (
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// errReplaced is the error of an attempt that was ended here; see requestState.endedHere.
var errReplaced = &Error{Op: "forward", Kind: Stalled}

// progress is how far the answer to a request has got.
type progress struct {
	steps           int          // answers and events forwarded, counted over all attempts
	stepAt          clock.Millis // time of the last step
	progressAt      clock.Millis // time of the last step, or of the start of the attempt
	lastEventID     int          // of the last event that the caller has, see hasEvent
	hasEvent        bool         // the caller has an event with an id, of this answer or of one that it resumes; ids may begin at zero
	numbered        bool         // an event with an id has been forwarded to the caller, so that the stream can be resumed
	responseStarted bool         // the status and header have been sent to the caller
	contentType     string       // of the stream of which the caller has a part
}

// follows reports whether an event may be the next one that the caller gets. An answer that resumes a stream has to begin with
// the event that follows; only comments may come before it.
func (p progress) follows(e event, resuming bool) bool {
	if e.id < 0 {
		return !resuming || e.isComment()
	}
	return !p.hasEvent || e.id == p.lastEventID+1
}

// sharedProgress is the progress of a request, which the current attempt makes and a hedge beside it looks at. Only the goroutine
// of the attempt changes it, so that it needs no lock to read it.
type sharedProgress struct {
	mu sync.Mutex
	progress
	endedFor  ErrorKind // why the current attempt was ended here; empty if it was not
	onAdvance func()    // called at the next step; nil for nothing
}

// beginAttempt records the start of an attempt.
func (s *sharedProgress) beginAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progressAt, s.endedFor, s.onAdvance = clock.Now(), "", nil
}

// advance records a step of the current attempt. It reports false, and changes nothing, if the attempt was ended here.
func (s *sharedProgress) advance(change func(p *progress)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endedFor != "" {
		return false
	}
	s.steps++
	s.stepAt = clock.Now()
	s.progressAt = s.stepAt
	if s.onAdvance != nil {
		s.onAdvance()
		s.onAdvance = nil
	}
	change(&s.progress)
	return true
}

// whenAdvanced calls a function once the current attempt has made a step since a snapshot.
func (s *sharedProgress) whenAdvanced(since progress, call func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.steps != since.steps {
		call()
		return
	}
	s.onAdvance = call
}

// snapshot returns the progress for a goroutine other than that of the attempt.
func (s *sharedProgress) snapshot() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress
}

// endUnlessAdvanced ends the current attempt, unless it has made a step since a snapshot. It reports whether it did.
func (s *sharedProgress) endUnlessAdvanced(since progress, why ErrorKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.steps != since.steps || s.endedFor != "" {
		return false
	}
	s.endedFor, s.onAdvance = why, nil
	return true
}

// endedHere returns why the current attempt was ended here, or the empty kind if it was not.
func (s *sharedProgress) endedHere() ErrorKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedFor
}
