package fence

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	retryPause    = 20 * clock.Millis(1)
	maxRetryPause = 500 * clock.Millis(1)
)

// Kind classifies a failure.
type Kind string

// The kinds of failure.
const (
	Unavailable Kind = "unavailable" // the time ended before the matter was settled
	Invalid     Kind = "invalid"     // the value can never be stored
)

// Error is an update that was not settled.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Store is the object API as a fenced writer needs it.
type Store struct {
	Get func(ctx context.Context, name string) (store.Object, error)
	Put func(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
}

// Change is one update of an object.
type Change struct {
	Name    string
	Version uint64                  // that is replaced; zero to create the object
	Value   []byte                  // unique to the change
	IsOwn   func(value []byte) bool // whether a stored value is that of the change
}

// Apply repeats a change until it is settled. It returns the new version, or
// zero if another change came first, and an error only if the context ends
// before that is known.
func (s Store) Apply(ctx context.Context, c Change) (uint64, error) {
	wait := retryPause
	for {
		next, err := s.Put(ctx, c.Name, c.Version, c.Value)
		if err == nil {
			return next, nil
		}
		if store.Is(err, store.TooLarge) {
			return 0, &Error{Op: "apply", Kind: Invalid, Err: err}
		}
		if !store.Is(err, store.Conflict) {
			metrics.GetOrCreateCounter(`pier_oplog_events_total{event="update_unsettled"}`).Inc()
		}
		if version, settled := s.readBack(ctx, c); settled {
			return version, nil
		}
		if clock.Sleep(ctx, wait) != nil {
			return 0, &Error{Op: "apply", Kind: Unavailable, Err: ctx.Err()}
		}
		wait = min(2*wait, maxRetryPause)
	}
}

// readBack tells whether a change is in the object (its version), was
// superseded (zero), or may still come (not settled).
func (s Store) readBack(ctx context.Context, c Change) (uint64, bool) {
	object, err := s.Get(ctx, c.Name)
	if err != nil || object.Version <= c.Version {
		return 0, false
	}
	if c.IsOwn(object.Value) {
		return object.Version, true
	}
	return 0, true
}
