package fence

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	minRetryInterval = 20 * clock.Millis(1)
	maxRetryInterval = 500 * clock.Millis(1)
)

// Kind classifies an Error.
type Kind string

// The kinds of failure.
const (
	Unavailable Kind = "unavailable" // the context ended before the outcome was known
	Invalid     Kind = "invalid"     // the value is too large to be stored
)

// Error reports a change that failed or whose outcome is unknown.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Store holds the two calls of the object API that a change needs.
type Store struct {
	Get func(ctx context.Context, name string) (store.Object, error)
	Put func(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
}

// Change is one conditional update of an object.
type Change struct {
	Name    string
	Version uint64                  // the version to replace; zero to create the object
	Value   []byte                  // must be unique to the change
	IsOwn   func(value []byte) bool // reports whether a stored value was written by this change
}

// Apply repeats a change until its outcome is known. It returns the new
// version, or zero if another change came first. It returns an error if the
// value is too large, or if the context ends before the outcome is known.
func (s Store) Apply(ctx context.Context, c Change) (uint64, error) {
	wait := minRetryInterval
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
		if version, known := s.readBack(ctx, c); known {
			return version, nil
		}
		if clock.Sleep(ctx, wait) != nil {
			return 0, &Error{Op: "apply", Kind: Unavailable, Err: ctx.Err()}
		}
		wait = min(2*wait, maxRetryInterval)
	}
}

// readBack reads the object to learn the outcome of a change. It returns the
// new version if the change took effect, zero if another change came first,
// and false if the object is unchanged or cannot be read: the change may then
// still take effect.
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
