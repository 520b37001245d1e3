package relay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hung answers an attempt at an engine that never goes on.
func hung(ctx context.Context) (*Answer, error) {
	<-ctx.Done()
	return nil, &Error{Op: "send", Kind: Broken, Err: ctx.Err()}
}

// breakingAfter answers with a first part, sends nothing for longer than stallTimeout after a failed probe, sends the rest and breaks.
func breakingAfter(pause time.Duration) func(ctx context.Context, first, rest string) *Answer {
	return func(ctx context.Context, first, rest string) *Answer {
		body, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, first)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
				_, _ = io.WriteString(w, rest)
			}
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
		}()
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}
	}
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
