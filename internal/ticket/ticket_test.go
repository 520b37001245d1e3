package ticket

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// engines is the leases of stand-in engines, by id.
type engines struct {
	mu    sync.Mutex
	held  map[string]bool
	full  map[string]bool // engines without memory
	mute  int             // releases that stay unanswered
	calls int
}

func (e *engines) holder() *Manager {
	e.held = make(map[string]bool)
	return &Manager{
		Reserve: func(_ context.Context, p Lease, _ clock.Millis) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.calls++
			if e.full[p.Target] {
				return &Error{Op: "reserve", Kind: Refused, Target: p.Target}
			}
			e.held[p.ID] = true
			return nil
		},
		Release: func(_ context.Context, p Lease) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.mute > 0 {
				e.mute--
				return &Error{Op: "release", Kind: NoAnswer, Target: p.Target}
			}
			delete(e.held, p.ID)
			return nil
		},
	}
}

func (e *engines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

var parts = []Lease{{ID: "a", Target: "one", Tokens: 1}, {ID: "b", Target: "two", Tokens: 1}}

// A set of leases is had whole or not at all, is renewed, and is given back although an engine does not answer at first.
func TestTakeAndRelease(t *testing.T) {
	is := is.New(t)
	e := &engines{mute: 1}
	held, err := e.holder().Acquire(context.Background(), parts)
	is.NoErr(err)
	is.Equal(e.count(), 2)
	time.Sleep(1100 * time.Millisecond)
	e.mu.Lock()
	is.Equal(e.calls, 4)
	e.mu.Unlock()
	held.Release()
	time.Sleep(2 * releasePause.Duration())
	is.Equal(e.count(), 0)
}

// When one engine has no memory, what the others granted is given back.
func TestAllOrNothing(t *testing.T) {
	is := is.New(t)
	e := &engines{full: map[string]bool{"two": true}}
	_, err := e.holder().Acquire(context.Background(), parts)
	is.True(err != nil)
	time.Sleep(100 * time.Millisecond)
	is.Equal(e.count(), 0)
}

// A holder that is killed right after a renewal leaves memory held for less than the time that it may stay without a
// request, also if the renewal was late on its way; some renewals may get lost before a lease lapses.
func TestLeaseOfKilledHolder(t *testing.T) {
	is := is.New(t)
	for _, free := range []clock.Millis{4 * clock.Second, 2 * clock.Second} {
		holds := make(chan clock.Millis, 100)
		h := &Manager{
			MaxUnusedTime: func() clock.Millis { return free },
			Reserve: func(_ context.Context, _ Lease, hold clock.Millis) error {
				holds <- hold
				return nil
			},
			Release: func(context.Context, Lease) error { return nil },
		}
		held, err := h.Acquire(context.Background(), parts[:1])
		is.NoErr(err)
		hold := <-holds
		is.True(hold <= free-free/5) // a fifth for the way
		time.Sleep(hold.Duration())
		is.True(len(holds) >= 3) // renewals within one lease
		held.Release()
	}
}
