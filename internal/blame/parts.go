package blame

import "github.com/corianderpier/corianderpier/internal/clock"

const maxRecentParts = 4096 // in each of the two generations of recentParts

// recentParts remembers when parts were answered. It keeps the parts used last, between maxRecentParts and twice as many.
type recentParts struct {
	current, previous map[string]clock.Millis
}

// add records the time of an answer.
func (r *recentParts) add(part string, at clock.Millis) {
	if r.current == nil || len(r.current) >= maxRecentParts {
		r.previous, r.current = r.current, make(map[string]clock.Millis)
	}
	r.current[part] = at
}

// get returns the time of the last answer.
func (r *recentParts) get(part string) (clock.Millis, bool) {
	if at, ok := r.current[part]; ok {
		return at, true
	}
	at, ok := r.previous[part]
	return at, ok
}
