package relay

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

// Pattern: a target turns a request away, and the others have no room. Guards against: further requests, for which there is room at that
// target, wait until the first one gives up.
func TestExcludedTargetDelaysNoOther(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 100, 256)
	place := s.Place
	s.Place = func(n board.Requirements) (*board.Placement, error) {
		if len(n.Exclude) > 0 {
			return nil, &board.Error{Op: "place", Kind: board.Full}
		}
		return place(n)
	}
	s.answer = func(r Request, _ int) (*Answer, error) {
		if r.ID == "turned away" {
			return answerNotRun(r, 0)
		}
		return answerDone(r, 0)
	}
	first := make(chan int, 1)
	go func() { first <- s.serveTo(t.Context(), waitingRequest("turned away", Idempotent)) }()
	s.waitFor(t, 1)
	is.Equal(s.serveTo(t.Context(), waitingRequest("other", Idempotent)), http.StatusOK)
	is.Equal(s.Room.length.Load(), int64(1)) // it was served while the first one waited
	is.Equal(<-first, http.StatusServiceUnavailable)
}

// Guards against: a request that waits again after an attempt exceeds a third of the time that it then has left.
func TestSecondWaitWithinTimeLeft(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 0, 256)
	state := &requestState{Request: waitingRequest("r", Idempotent), relay: s.Relay}
	is.Equal(state.entry().Longest, clock.Second)
	state.waited = 400
	state.Deadline = clock.Now() + 600
	e := state.entry()
	is.True(e.Until() <= clock.Now()+200)
	is.True(e.Until() > clock.Now()+100)
	state.Deadline = clock.Now() + clock.Minute
	is.True(state.entry().Until() <= clock.Now()+600) // what it has waited counts
}

// Guards against: the end of a wait of a caller that has gone is counted as that of a deadline or a stop.
func TestGoneCallerCounted(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 0, 256)
	ended := metrics.GetOrCreateCounter(`pier_queue_left_total{reason="ended"}`)
	before := ended.Get()
	caller, leave := context.WithCancel(t.Context())
	leave()
	for range 40 {
		is.Equal(s.serveTo(caller, waitingRequest("r", Idempotent)), 0)
	}
	is.Equal(ended.Get(), before)
}

// Guards against: a request that waits is tried by time only, although it was told of room.
func TestSignalBringsTryForward(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 0, 256)
	nextTry := func() clock.Millis {
		s.Room.mu.Lock()
		defer s.Room.mu.Unlock()
		at, _ := s.Room.Queue.NextAt()
		return at
	}
	sooner := false
	for range 5 { // in one of these no try by time comes in between
		caller, leave := context.WithCancel(t.Context())
		r := waitingRequest("r", Idempotent)
		r.FirstEventSLO = 4 * clock.Second // its line is tried after 62 ms with a signal, else after 100 ms
		served := make(chan int, 1)
		go func() { served <- s.serveTo(caller, r) }()
		s.waitFor(t, 1)
		before := nextTry()
		s.Room.Signal("other")
		s.Room.Signal("desk")
		after := nextTry()
		sooner = sooner || after > 0 && after < before
		leave()
		<-served
	}
	is.True(sooner)
}

// Guards against: callers that were refused, after a wait or without one, are told to return at one moment, or before the usual time.
func TestRefusedReturnApart(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 0, 2)
	drawn := 0.0
	s.Room.Queue.Random = func() float64 { drawn += 0.05; return drawn } // with the lock of Room
	var group sync.WaitGroup
	for range 6 { // some find the queue full
		group.Go(func() {
			r := waitingRequest("r", Idempotent)
			r.FirstEventSLO = clock.Second
			s.serveTo(t.Context(), r)
		})
	}
	group.Wait()
	is.Equal(len(s.refusals), 6)
	times := map[clock.Millis]bool{}
	for _, refusal := range s.refusals {
		is.True(refusal.RetryAfter > 100)
		times[refusal.RetryAfter] = true
	}
	is.True(len(times) > 3)
}
