package relay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

// waitAndFail waits until an attempt is cancelled, and then fails it.
func waitAndFail(kind ErrorKind) func(ctx context.Context) (*Answer, error) {
	return func(ctx context.Context) (*Answer, error) {
		<-ctx.Done()
		return nil, &Error{Op: "send", Kind: kind, Err: ctx.Err()}
	}
}

// streamAndWait answers with a stream that goes on until the attempt is cancelled.
func streamAndWait(ctx context.Context) (*Answer, error) {
	in, out := io.Pipe()
	go func() {
		_, _ = io.WriteString(out, eventsBetween(1, 2))
		<-ctx.Done()
		_ = out.CloseWithError(ctx.Err())
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: in}, nil
}

// Guards against: a request that has no answer when the instance stops is cut off, goes on to another target, or is called not
// run although a target had it.
func TestStopEndsRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    Kind
		send    func(ctx context.Context) (*Answer, error)
		status  int
		started bool // part of the answer has been sent, so that the connection is closed
	}{
		{"at most once", AtMostOnce, waitAndFail(Broken), http.StatusBadGateway, false},
		{"idempotent", Idempotent, waitAndFail(Broken), http.StatusBadGateway, false},
		{"before the first event", Stream, waitAndFail(Broken), http.StatusBadGateway, false},
		{"not sent", AtMostOnce, waitAndFail(NotSent), http.StatusServiceUnavailable, false},
		{"within a stream", Stream, streamAndWait, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			attempts := 0
			relay, _ := newRelay(t, func(ctx context.Context, _ Request, _ *board.Placement, _ int) (*Answer, error) {
				attempts++
				return c.send(ctx)
			})
			stopping, stop := context.WithCancel(context.Background())
			relay.OnStop = func(f func()) func() bool { return context.AfterFunc(stopping, f) }
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				now := clock.Now()
				relay.Serve(r.Context(), w, Request{ID: "r", Service: "desk", Kind: c.kind, Resumable: true, MaxAttempts: 2, Arrived: now, Deadline: now + clock.Minute, OperatorDeadline: now + clock.Minute})
			}))
			defer server.Close()
			time.AfterFunc(100*time.Millisecond, stop)
			resp, err := http.Post(server.URL, "text/plain", strings.NewReader("x"))
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(io.Discard, bufio.NewReader(resp.Body))
			is.Equal(err != nil, c.started)
			if !c.started {
				is.Equal(resp.StatusCode, c.status)
			}
			is.Equal(attempts, 1)
		})
	}
}
