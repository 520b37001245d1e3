package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/ticket"
)

// hung answers an attempt at an engine that never goes on.
func hung(ctx context.Context) (*Answer, error) {
	<-ctx.Done()
	return nil, &Error{Op: "send", Kind: Broken, Err: ctx.Err()}
}

// breakingAfter is breaking with a given pause, as silentSite.first.
func breakingAfter(pause time.Duration) func(ctx context.Context, first, rest string) *Answer {
	return func(ctx context.Context, first, rest string) *Answer { return breaking(ctx, first, pause, rest) }
}

// Guards against: a stream whose silent engine goes on and then breaks waits for a hedge that can no longer go on with it.
func TestHedgeOvertakenNotAwaited(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &silentSite{maxAttempts: 3, first: breakingAfter(silence)}
	s.next = func(ctx context.Context, lastEventID int) (*Answer, error) {
		if lastEventID == 2 {
			return hung(ctx)
		}
		return answerWith(200, eventsBetween(lastEventID+1, 6))(Request{}, 0)
	}
	began := time.Now()
	got, aborted := s.serve(t, resumable, eventsBetween(1, 2), eventsBetween(3, 4), nil)
	is.True(!aborted)
	is.Equal(got.Body.String(), eventsBetween(1, 6))
	is.Equal(s.lastEventIDs, []int{0, 2, 4})
	is.True(time.Since(began) < silence+time.Second)
}

// Guards against: the engine that is asked beside a hung one hangs as well, and no third one is asked until the deadline.
func TestHedgeHangsToo(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &silentSite{engines: 8, maxAttempts: 3, hangs: 2, first: func(ctx context.Context, first, rest string) *Answer { return pausing(ctx, first, time.Hour, rest) }}
	var asked atomic.Int32
	s.next = func(ctx context.Context, lastEventID int) (*Answer, error) {
		if asked.Add(1) == 1 {
			return hung(ctx)
		}
		return answerWith(200, eventsBetween(lastEventID+1, 6))(Request{}, 0)
	}
	got, aborted := s.serve(t, resumable, eventsBetween(1, 2), "", nil)
	is.True(!aborted)
	is.Equal(got.Body.String(), eventsBetween(1, 6))
}

// Guards against: a request is sent to more targets than it has attempts, as its silent target answers with an error while
// another one is asked.
func TestHedgeCountsAsAttempt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &silentSite{lateStatus: 500, next: func(context.Context, int) (*Answer, error) {
		time.Sleep(silence)
		return answerWith(500, "error")(Request{}, 0)
	}}
	_, _ = s.serve(t, Request{Kind: Idempotent}, "", "error", nil)
	is.Equal(len(s.lastEventIDs), 2) // MaxAttempts of silentSite
}

// Guards against: a hedge that the budget has paid for is dropped, as its silent target answers with an error and no further retry
// is left.
func TestHedgeKeptAfterServerError(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &silentSite{retries: 1, lateStatus: 500, next: func(ctx context.Context, lastEventID int) (*Answer, error) {
		return pausing(ctx, "", silence, eventsBetween(lastEventID+1, 6)), nil
	}}
	got, aborted := s.serve(t, Request{Kind: Idempotent}, "", "error", nil)
	is.True(!aborted)
	is.Equal(got.Code, http.StatusOK)
	is.Equal(got.Body.String(), eventsBetween(1, 6))
}

// Guards against: a target that took over from a silent one and then failed is asked again, though there is another one.
func TestFailedHedgeNotAskedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &silentSite{maxAttempts: 3, next: func(_ context.Context, lastEventID int) (*Answer, error) {
		if lastEventID == 2 {
			return breakAfter(eventsBetween(3, 3))(Request{}, 0)
		}
		return answerWith(200, eventsBetween(lastEventID+1, 6))(Request{}, 0)
	}}
	got, aborted := s.serve(t, resumable, eventsBetween(1, 2), "", nil)
	is.True(!aborted)
	is.Equal(got.Body.String(), eventsBetween(1, 6))
	is.Equal(len(s.targets), 3)
	is.True(s.excluded[2][s.targets[0]])
	is.True(s.excluded[2][s.targets[1]])
}

// Guards against: memory that a hedge has leased stays leased while its engine is silent, and nobody uses it.
func TestMemoryOfSilentHedgeReleased(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const maxIdle = 2 * clock.Second
	var mu sync.Mutex
	var idle time.Duration
	taken := make(map[string]time.Time)
	s := &silentSite{engines: 8, memory: 800, hangs: 2, next: func(ctx context.Context, _ int) (*Answer, error) { return hung(ctx) }}
	s.first = func(ctx context.Context, first, rest string) *Answer { return pausing(ctx, first, time.Hour, rest) }
	used := make(map[string]bool)
	s.tickets = &ticket.Manager{
		Reserve: func(_ context.Context, l ticket.Lease, _ clock.Millis) error {
			mu.Lock()
			defer mu.Unlock()
			if taken[l.ID].IsZero() {
				taken[l.ID] = time.Now()
				used[l.ID] = len(taken) <= 2 // the leases of the first attempt are in use
			}
			return nil
		},
		Release: func(_ context.Context, l ticket.Lease) error {
			mu.Lock()
			defer mu.Unlock()
			if !used[l.ID] {
				idle = max(idle, time.Since(taken[l.ID]))
			}
			return nil
		},
		InUse: func(_ context.Context, l ticket.Lease) (bool, error) {
			mu.Lock()
			defer mu.Unlock()
			return used[l.ID], nil
		},
		MaxIdleTime: func() clock.Millis { return maxIdle },
	}
	_, _ = s.serve(t, resumable, eventsBetween(1, 2), "", nil)
	time.Sleep(100 * time.Millisecond) // until the leases are released in the background
	mu.Lock()
	defer mu.Unlock()
	is.True(len(taken) > 2) // a hedge has leased memory
	is.True(idle > 0)
	is.True(idle < maxIdle.Duration())
}

// Guards against: the memory of an attempt that has ended stays leased while the hedge beside it goes on.
func TestMemoryReleasedBesideHedge(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const (
		breaksAfter = 2 * time.Second // so that a hedge has begun
		hedgeTakes  = 3 * time.Second
	)
	var mu sync.Mutex
	var broke time.Time
	var leased []string // in order
	released := make(map[string]time.Time)
	s := &silentSite{engines: 8, memory: 800, next: func(ctx context.Context, lastEventID int) (*Answer, error) {
		return pausing(ctx, "", hedgeTakes, eventsBetween(lastEventID+1, 6)), nil
	}}
	s.first = func(context.Context, string, string) *Answer {
		body, w := io.Pipe()
		time.AfterFunc(breaksAfter, func() {
			mu.Lock()
			broke = time.Now()
			mu.Unlock()
			_ = w.CloseWithError(eris.New("connection reset"))
		})
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}
	}
	s.tickets = &ticket.Manager{
		Reserve: func(_ context.Context, l ticket.Lease, _ clock.Millis) error {
			mu.Lock()
			defer mu.Unlock()
			if !slices.Contains(leased, l.ID) {
				leased = append(leased, l.ID)
			}
			return nil
		},
		Release: func(_ context.Context, l ticket.Lease) error {
			mu.Lock()
			defer mu.Unlock()
			released[l.ID] = time.Now()
			return nil
		},
		InUse: func(context.Context, ticket.Lease) (bool, error) { return true, nil },
	}
	got, aborted := s.serve(t, resumable, "", "", nil)
	is.True(!aborted)
	is.Equal(got.Body.String(), eventsBetween(1, 6))
	mu.Lock()
	defer mu.Unlock()
	is.True(len(leased) > 2) // the hedge has leased memory
	for _, id := range leased[:2] {
		is.True(released[id].Sub(broke) < 500*time.Millisecond)
	}
}

// Guards against: a hedge is placed as any other attempt, so that it goes to a cold target although others are left.
func TestHedgePlacedAsHedge(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var hedges, others atomic.Int64
	place := func(req board.Requirements) (*board.Placement, error) {
		if req.Hedge {
			hedges.Add(1)
		} else {
			others.Add(1)
		}
		return costly(req)
	}
	_, aborted := (&silentSite{next: notRun}).serve(t, resumable, eventsBetween(1, 2), eventsBetween(3, 6), place)
	is.True(!aborted)
	is.True(hedges.Load() > 0)
	is.Equal(others.Load(), int64(0)) // all but the first attempt are hedges here
}
