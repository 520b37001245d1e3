package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/blame"
	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/model"
	"github.com/corianderpier/corianderpier/internal/retry"
)

// attemptFunc is what a fake target does with one attempt.
type attemptFunc func(r Request, lastEventID int) (*Answer, error)

// fakeTarget answers the n-th attempt with the n-th function, and all further ones with the last, and records them.
type fakeTarget struct {
	attempts     []attemptFunc
	sent         int
	lastEventIDs []int
}

func (f *fakeTarget) send(_ context.Context, r Request, _ *board.Placement, lastEventID int) (*Answer, error) {
	f.lastEventIDs = append(f.lastEventIDs, lastEventID)
	f.sent++
	return f.attempts[min(f.sent, len(f.attempts))-1](r, lastEventID)
}

// answerWith answers with a status and a body.
func answerWith(status int, body string) attemptFunc {
	return func(Request, int) (*Answer, error) {
		return &Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// answerNotRun states that the target has not run the request.
func answerNotRun(Request, int) (*Answer, error) {
	return &Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// failWith fails without an answer.
func failWith(kind ErrorKind) attemptFunc {
	return func(Request, int) (*Answer, error) { return nil, &Error{Op: "send", Kind: kind} }
}

// breakAfter answers with a stream that fails in the middle of the event after the given ones.
func breakAfter(events string) attemptFunc {
	return func(Request, int) (*Answer, error) {
		body := io.MultiReader(strings.NewReader(events+"id: 9\nda"), errReader{})
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, nil
	}
}

// errReader fails each read.
type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, eris.New("connection reset") }

// eventsBetween returns a stream of events with the ids from one number to another.
func eventsBetween(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += "id: " + strconv.Itoa(id) + "\ndata: x\n\n"
	}
	return text
}

// newRelay returns a relay with two targets that passes each attempt to a function.
func newRelay(t *testing.T, send func(context.Context, Request, *board.Placement, int) (*Answer, error)) (*Relay, *retry.Budget) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	b := &board.Board{
		Self: "entry-0", Loop: loop.New(), Broadcast: func([]byte) {},
		Engine: func(string) (model.Engine, bool) { return model.Engine{}, false },
	}
	b.Init()
	go func() { _ = b.Loop.Run(ctx) }()
	b.ReplaceTargets([]board.Target{{ID: "one", Service: "desk", Slots: 6}, {ID: "two", Service: "desk", Slots: 6}}, board.ListTrust{})
	budget := &retry.Budget{Limits: func() retry.Limits { return retry.Limits{Extra: 10, Window: clock.Second} }, Now: clock.Now}
	return &Relay{
		Place: b.Place, Send: send, Blame: &blame.Tracker{Now: clock.Now, After: func(clock.Millis, func()) {}, Broadcast: func(blame.Report) {}}, Budget: func(string) *retry.Budget { return budget },
		RetryAfter: func(Request, Reason) clock.Millis { return 100 }, QuietTime: b.ServiceQuietTime,
		Refuse: func(w http.ResponseWriter, _ Request, refusal Refusal) {
			if refusal.MayHaveRun {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	}, budget
}

// serve serves a request with a fake target and returns the caller's answer; aborted reports whether its connection was closed.
func serve(t *testing.T, r Request, attempts ...attemptFunc) (got *httptest.ResponseRecorder, target *fakeTarget, aborted bool) {
	t.Helper()
	target = &fakeTarget{attempts: attempts}
	relay, _ := newRelay(t, target.send)
	got = httptest.NewRecorder()
	r.ID, r.Service, r.Arrived = "r", "desk", clock.Now()
	if r.Deadline == 0 {
		r.Deadline = r.Arrived + 2*clock.Second
	}
	r.OperatorDeadline = r.Deadline
	defer func() { aborted = recover() != nil }()
	relay.Serve(context.Background(), got, r)
	return got, target, false
}

// An at-most-once request is not retried after a target may have run it, and its caller is not told that it has not run.
func TestAtMostOnceIsNotRetried(t *testing.T) {
	is := is.New(t)
	got, target, _ := serve(t, Request{Kind: AtMostOnce, MaxAttempts: 2}, failWith(Broken), answerWith(200, "second"))
	is.Equal(target.sent, 1)
	is.Equal(got.Code, http.StatusBadGateway)
	got, target, _ = serve(t, Request{Kind: AtMostOnce, MaxAttempts: 2}, answerNotRun, answerWith(200, "second"))
	is.Equal(target.sent, 2)
	is.Equal(got.Body.String(), "second")
	got, _, _ = serve(t, Request{Kind: AtMostOnce, MaxAttempts: 1}, answerNotRun)
	is.Equal(got.Code, http.StatusServiceUnavailable)
	got, target, _ = serve(t, Request{Kind: AtMostOnce, MaxAttempts: 1}, failWith(NotSent), answerWith(200, "second"))
	is.Equal(target.sent, 2) // an unreachable target does not count as an attempt
	is.Equal(got.Body.String(), "second")
}

// A server error of the target is forwarded unchanged when no attempt is left.
func TestServerErrorForwarded(t *testing.T) {
	is := is.New(t)
	got, target, _ := serve(t, Request{Kind: Idempotent, MaxAttempts: 2}, answerWith(500, "first"), answerWith(500, "second"))
	is.Equal(target.sent, 2)
	is.Equal(got.Code, 500)
	is.Equal(got.Body.String(), "second")
}

// A stream that fails is resumed at another target after the last complete event, with no event missing or sent twice.
func TestStreamResumes(t *testing.T) {
	is := is.New(t)
	r := Request{Kind: Stream, Resumable: true, MaxAttempts: 2}
	got, target, aborted := serve(t, r, breakAfter(eventsBetween(1, 3)), answerWith(200, eventsBetween(4, 6)))
	is.True(!aborted)
	is.Equal(got.Body.String(), eventsBetween(1, 6))
	is.Equal(target.lastEventIDs, []int{0, 3})
}

// The connection is closed if a stream cannot be completed, so that the caller does not mistake it for a complete answer.
func TestIncompleteStreamAborted(t *testing.T) {
	is := is.New(t)
	got, target, aborted := serve(t, Request{Kind: Stream, MaxAttempts: 2}, breakAfter(eventsBetween(1, 3)), answerWith(200, eventsBetween(4, 6)))
	is.True(aborted)
	is.Equal(target.sent, 1)
	is.Equal(got.Body.String(), eventsBetween(1, 3))
	_, _, aborted = serve(t, Request{Kind: Stream, Resumable: true, MaxAttempts: 2}, breakAfter(eventsBetween(1, 3)), answerWith(200, eventsBetween(5, 6)))
	is.True(aborted) // event 4 would be missing
}

// An at-most-once request runs on when its caller disconnects, so that its effect is not cut short; others are cancelled.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	for _, kind := range []Kind{AtMostOnce, Idempotent} {
		callerCtx, cancel := context.WithCancel(context.Background())
		contextErr := make(chan error, 1)
		cancelAndRecord := func(ctx context.Context) { cancel(); contextErr <- ctx.Err() }
		relay, _ := newRelay(t, func(ctx context.Context, _ Request, _ *board.Placement, _ int) (*Answer, error) {
			cancelAndRecord(ctx)
			return nil, &Error{Op: "send", Kind: Broken}
		})
		r := Request{ID: "r", Service: "desk", Kind: kind, MaxAttempts: 1, Arrived: clock.Now(), Deadline: clock.Now() + clock.Second}
		r.OperatorDeadline = r.Deadline
		func() {
			defer func() { _ = recover() }()
			relay.Serve(callerCtx, httptest.NewRecorder(), r)
		}()
		is.Equal((<-contextErr) == nil, kind == AtMostOnce)
	}
}

// A prompt whose part is quarantined reaches no target: a new one is refused as not run, one that has broken is not retried.
func TestQuarantinedPromptNotSent(t *testing.T) {
	is := is.New(t)
	var target *fakeTarget
	var relay *Relay
	now := clock.Now()
	target = &fakeTarget{attempts: []attemptFunc{func(Request, int) (*Answer, error) {
		now += clock.Second
		return nil, &Error{Op: "send", Kind: Broken}
	}}}
	relay, _ = newRelay(t, target.send)
	relay.Blame.Now = func() clock.Millis { return now }
	send := func() *httptest.ResponseRecorder {
		got := httptest.NewRecorder()
		r := Request{ID: "r", Service: "desk", Kind: Stream, Resumable: true, MaxAttempts: 2, SharedParts: []string{"fatal"}, Arrived: clock.Now(), Deadline: clock.Now() + clock.Second}
		r.OperatorDeadline = r.Deadline
		relay.Serve(context.Background(), got, r)
		return got
	}
	is.Equal(send().Code, http.StatusBadGateway)
	is.Equal(target.sent, 2)
	is.Equal(send().Code, http.StatusBadGateway)
	is.Equal(target.sent, 3) // the third crash quarantines the part, so that the retry is not sent
	is.Equal(send().Code, http.StatusServiceUnavailable)
	is.Equal(target.sent, 3)
}

// An answer that goes on, or is complete, shows that the parts of its prompt are sound; a stream that breaks later does not
// count against them, one that breaks early does.
func TestAnswerClearsParts(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	early, answered, rejected := breakAfter(eventsBetween(1, 1)), answerWith(200, eventsBetween(1, 2)), answerWith(400, "rejected")
	target := &fakeTarget{attempts: []attemptFunc{early, early, answered, early, early, early, rejected, early, early}}
	relay, _ := newRelay(t, target.send)
	relay.Blame.Now = func() clock.Millis { return now }
	send := func() {
		now += clock.Second
		defer func() { _ = recover() }()
		r := Request{ID: "r", Service: "desk", Kind: Stream, MaxAttempts: 1, SharedParts: []string{"part"}, Arrived: clock.Now(), Deadline: clock.Now() + clock.Second}
		r.OperatorDeadline, r.Path = r.Deadline, fmt.Sprint("/read/", target.sent) // no two are alike, so that only the part is judged
		relay.Serve(context.Background(), httptest.NewRecorder(), r)
	}
	for range 5 { // two early breaks, an answer, and two breaks that come too soon after it to count
		send()
	}
	_, quarantined := relay.Blame.Quarantined([]string{"part"})
	is.True(!quarantined)
	now += clock.Minute
	for range 4 { // three early breaks, and a rejection, which is no answer to the prompt
		send()
	}
	_, quarantined = relay.Blame.Quarantined([]string{"part"})
	is.True(quarantined)
}

// Guards against: a request that the last target turns away, as all want no requests for a while, and that may not be sent once
// more, is told to come back before one takes it, or while another target takes requests, to wait.
func TestTurnedAwayByLast(t *testing.T) {
	is := is.New(t)
	quiet := map[string]clock.Millis{"one": 8 * clock.Second, "two": 5 * clock.Second}
	relay, _ := newRelay(t, func(_ context.Context, _ Request, p *board.Placement, _ int) (*Answer, error) {
		answer, err := answerNotRun(Request{}, 0)
		answer.Notice = board.Notice{Quiet: quiet[p.Target.ID]}
		return answer, err
	})
	var refusals []Refusal
	relay.Refuse = func(_ http.ResponseWriter, _ Request, refusal Refusal) { refusals = append(refusals, refusal) }
	for range 2 {
		r := Request{ID: "r", Service: "desk", Kind: Idempotent, MaxAttempts: 1, Arrived: clock.Now(), Deadline: clock.Now() + clock.Second}
		r.OperatorDeadline = r.Deadline
		relay.Serve(context.Background(), httptest.NewRecorder(), r)
	}
	is.Equal(len(refusals), 2)
	is.Equal(refusals[0], Refusal{Reason: Refused, RetryAfter: 100})
	is.Equal(refusals[1].Reason, Refused)
	is.True(!refusals[1].MayHaveRun)
	is.True(refusals[1].RetryAfter > 4*clock.Second && refusals[1].RetryAfter <= 5*clock.Second)
}
