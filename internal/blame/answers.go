package blame

import "github.com/corianderpier/corianderpier/internal/clock"

const maxRecentAnswers = 4096 // in each of the two generations of recentAnswers

// recentAnswers remembers when requests with an id were answered. It keeps the ids used last, between maxRecentAnswers and twice as
// many.
type recentAnswers struct {
	current, previous map[string]clock.Millis
}

// add records the time of an answer, unless a later one is known.
func (r *recentAnswers) add(id string, at clock.Millis) {
	if known, ok := r.get(id); ok {
		at = max(at, known)
	}
	if r.current == nil || len(r.current) >= maxRecentAnswers {
		r.previous, r.current = r.current, make(map[string]clock.Millis)
	}
	r.current[id] = at
}

// get returns the time of the last answer.
func (r *recentAnswers) get(id string) (clock.Millis, bool) {
	if at, ok := r.current[id]; ok {
		return at, true
	}
	at, ok := r.previous[id]
	return at, ok
}
