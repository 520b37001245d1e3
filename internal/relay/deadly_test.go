package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: a request without shared parts that crashes its targets is sent to one after the other, as only parts of prompts
// are blamed.
func TestFatalRequestNotSent(t *testing.T) {
	for name, r := range map[string]Request{
		"safe":   {Kind: Idempotent, Method: "GET", Path: "/status/7", MaxAttempts: 2},
		"unsafe": {Kind: AtMostOnce, Method: "POST", Path: "/book/", Body: []byte("20 bags"), MaxAttempts: 1},
		"stream": {Kind: Stream, Resumable: true, Method: "POST", Path: "/read/", Body: []byte("a contract"), MaxAttempts: 2, SharedParts: []string{"common"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := clock.Now()
			target := &fakeTarget{attempts: []attemptFunc{func(Request, int) (*Answer, error) {
				now += clock.Second
				return nil, &Error{Op: "send", Kind: Broken}
			}}}
			relay, _ := newRelay(t, target.send)
			relay.Blame.Now = func() clock.Millis { return now }
			relay.Blame.RecordAnswer(r.SharedParts) // the parts are sound
			for n := 0; target.sent < 3; n++ {
				is.Equal(serveAgain(relay, r, n), http.StatusBadGateway) // a target may have run it
			}
			is.Equal(target.sent, 3)
			is.Equal(serveAgain(relay, r, 10), http.StatusServiceUnavailable)
			is.Equal(target.sent, 3)
			r.Path += "other"
			serveAgain(relay, r, 11)
			is.True(target.sent > 3) // another request is sent
		})
	}
}

// serveAgain serves a request with another id, as its caller sends it again, and returns the status.
func serveAgain(relay *Relay, r Request, n int) int {
	r.ID, r.Service, r.Arrived, r.Deadline = fmt.Sprint("r", n), "desk", clock.Now(), clock.Now()+2*clock.Second
	r.OperatorDeadline = r.Deadline
	got := httptest.NewRecorder()
	relay.Serve(context.Background(), got, r)
	return got.Code
}

// Guards against: a target that falls silent, or a machine that is gone without a word, speaks against the requests and the parts
// of prompts that it had, which are refused then though nothing crashed under them.
func TestSilenceIsNoCrash(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	target := &fakeTarget{attempts: []attemptFunc{func(Request, int) (*Answer, error) {
		now += clock.Second
		return nil, &Error{Op: "send", Kind: Stalled}
	}}}
	relay, _ := newRelay(t, target.send)
	relay.Blame.Now = func() clock.Millis { return now }
	r := Request{Kind: Stream, Resumable: true, Method: "POST", Path: "/read/", Body: []byte("a contract"), MaxAttempts: 2, SharedParts: []string{"part"}}
	for n := range 3 {
		is.Equal(serveAgain(relay, r, n), http.StatusBadGateway)
	}
	is.Equal(target.sent, 6)
}

// Guards against: a request whose answers are long, or have another status than 200, is suspected though it is answered each time.
func TestAnswerClearsRequest(t *testing.T) {
	is := is.New(t)
	broken := failWith(Broken)
	for _, answered := range []attemptFunc{answerWith(http.StatusCreated, "booked"), answerWith(http.StatusOK, strings.Repeat("x", 2*maxBufferedBytes))} {
		target := &fakeTarget{attempts: []attemptFunc{broken, broken, answered, broken, broken, answered}}
		relay, _ := newRelay(t, target.send)
		now := clock.Now()
		relay.Blame.Now = func() clock.Millis { now += clock.Second; return now }
		for n := range 6 {
			serveAgain(relay, Request{Kind: AtMostOnce, Method: "POST", Path: "/book/", MaxAttempts: 1}, n)
		}
		is.Equal(target.sent, 6)
	}
}
