package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/queue"
)

// waitSite is a relay whose targets have room for some requests at a time. Further ones wait.
type waitSite struct {
	*Relay
	noRoom board.Kind // why a request is not placed; empty for Costly

	mu       sync.Mutex
	room     int // requests that may be placed
	tries    int // calls of Place
	refusals []Refusal
	refused  map[string]Refusal // by request
	sent     map[string]int     // attempts by request
	answer   attemptFunc        // answers each attempt; nil for a complete answer at once
}

// newWaitSite returns a site with room for some requests. Each that ends makes room for another one.
func newWaitSite(t *testing.T, room, entries int) *waitSite {
	t.Helper()
	s := &waitSite{room: room, sent: make(map[string]int), refused: make(map[string]Refusal)}
	s.Relay, _ = newRelay(t, s.send)
	s.Room = &Room{Queue: queue.Queue{
		Limits: func() queue.Limits { return queue.Limits{Share: 0.125, Entries: entries} }, Random: func() float64 { return 0.5 },
	}}
	place := s.Place
	s.Place = func(n board.Requirements) (*board.Placement, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tries++
		if s.room <= 0 {
			kind := s.noRoom
			if kind == "" {
				kind = board.Costly
			}
			return nil, &board.Error{Op: "place", Kind: kind}
		}
		s.room--
		return place(n)
	}
	s.Refuse = func(w http.ResponseWriter, r Request, refusal Refusal) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refusals = append(s.refusals, refusal)
		s.refused[r.ID] = refusal
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s
}

// send runs an attempt, and makes room when it has ended.
func (s *waitSite) send(_ context.Context, r Request, _ *board.Placement, _ int) (*Answer, error) {
	s.mu.Lock()
	s.sent[r.ID]++
	answer := s.answer
	s.mu.Unlock()
	defer s.addRoom(1)
	if answer != nil {
		return answer(r, 0)
	}
	return answerDone(r, 0)
}

// answerDone answers completely.
func answerDone(r Request, _ int) (*Answer, error) {
	if r.Kind == Stream {
		return answerWith(http.StatusOK, eventsBetween(1, 2))(r, 0)
	}
	return answerWith(http.StatusOK, "done")(r, 0)
}

// addRoom makes room for some requests, and tells that as the board does.
func (s *waitSite) addRoom(n int) {
	s.mu.Lock()
	s.room += n
	s.mu.Unlock()
	s.Room.Signal("desk")
}

// triesMade returns how often a request was tried to be placed.
func (s *waitSite) triesMade() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tries
}

// waitFor waits until so many requests wait, and fails the test after a second.
func (s *waitSite) waitFor(t *testing.T, waiting int64) {
	t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.Room.length.Load() == waiting {
			return
		}
	}
	t.Fatalf("%d requests wait, want %d", s.Room.length.Load(), waiting)
}

// waitingRequest returns a request that may wait for a second, with ten seconds left.
func waitingRequest(id string, kind Kind) Request {
	now := clock.Now()
	return Request{
		ID: id, Service: "desk", Kind: kind, MaxAttempts: 2, Arrived: now, FirstEventSLO: 8 * clock.Second,
		Deadline: now + 10*clock.Second, OperatorDeadline: now + 10*clock.Second,
	}
}

// serveTo serves a request of a caller, and returns the status; zero if the connection was closed.
func (s *waitSite) serveTo(ctx context.Context, r Request) (status int) {
	got := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	s.Serve(ctx, got, r)
	return got.Code
}

// Guards against: a request is refused although there is room a moment later, or waits where the settings allow no wait.
func TestWaitsForRoom(t *testing.T) {
	for _, kind := range []board.Kind{board.Costly, board.Full, board.Limited} {
		is := is.New(t)
		s := newWaitSite(t, 0, 256)
		s.noRoom = kind
		time.AfterFunc(60*time.Millisecond, func() { s.addRoom(1) })
		is.Equal(s.serveTo(t.Context(), waitingRequest("r", Idempotent)), http.StatusOK)
		is.Equal(len(s.refusals), 0)
		is.Equal(s.Room.length.Load(), int64(0))
	}
	is := is.New(t)
	s := newWaitSite(t, 0, 0)
	is.Equal(s.serveTo(t.Context(), waitingRequest("r", Idempotent)), http.StatusServiceUnavailable)
	is.Equal(s.refusals, []Refusal{{Reason: Costly, RetryAfter: 100}})
	is.Equal(s.triesMade(), 1)
	s = newWaitSite(t, 0, 256)
	s.noRoom = board.TooLarge
	is.Equal(s.serveTo(t.Context(), waitingRequest("r", Idempotent)), http.StatusServiceUnavailable)
	is.Equal(s.refusals, []Refusal{{Reason: TooLarge, RetryAfter: 100}})
	is.Equal(s.triesMade(), 1)
}

// Guards against: a request waits longer than it may, is refused as anything but what kept it waiting, or its caller is not told
// when to return.
func TestLongestWaitKept(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 0, 256)
	r := waitingRequest("r", Stream)
	r.FirstEventSLO = 2400 // it may wait for 300 ms
	began := clock.Now()
	is.Equal(s.serveTo(t.Context(), r), http.StatusServiceUnavailable)
	took := clock.Now() - began
	is.True(took >= 299)
	is.True(took < 800)
	is.Equal(len(s.refusals), 1)
	is.Equal(s.refusals[0].Reason, Costly)
	is.True(!s.refusals[0].MayHaveRun)
	is.True(s.refusals[0].RetryAfter >= 100)
	is.True(s.triesMade() <= 2+300/100) // without a signal
}

// Guards against: a request whose deadline is near waits past it, or waits for nothing.
func TestDeadlineTooNearToWait(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 0, 256)
	for _, c := range []struct {
		left, from, to clock.Millis
		reason         Reason
	}{{72, 0, 20, Costly}, {300, 90, 200, Costly}, {10, 0, 20, Expired}} {
		took := clock.Hour
		for range 5 { // in one of these the machine is not busy
			r := waitingRequest("r", Idempotent)
			r.Deadline = r.Arrived + c.left
			is.Equal(s.serveTo(t.Context(), r), http.StatusServiceUnavailable)
			took = min(took, clock.Now()-r.Arrived)
		}
		is.True(took >= c.from)
		is.True(took < c.to)
		is.Equal(s.refusals[len(s.refusals)-1].Reason, c.reason)
	}
	time.AfterFunc(5*time.Millisecond, func() { s.addRoom(1) })
	r := waitingRequest("r", Idempotent)
	r.FirstEventSLO = 0 // it may not wait, and is tried once as before
	is.Equal(s.serveTo(t.Context(), r), http.StatusServiceUnavailable)
}

// Guards against: a request whose caller is gone keeps its entry, is sent all the same, or keeps the others waiting.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	for _, kind := range []Kind{AtMostOnce, Idempotent, Stream} {
		is := is.New(t)
		s := newWaitSite(t, 0, 256)
		caller, leave := context.WithCancel(t.Context())
		defer leave()
		first := make(chan int, 1)
		go func() { first <- s.serveTo(caller, waitingRequest("first", kind)) }()
		s.waitFor(t, 1)
		second := make(chan int, 1)
		go func() { second <- s.serveTo(t.Context(), waitingRequest("second", kind)) }()
		s.waitFor(t, 2)
		leave()
		is.Equal(<-first, 0)
		s.waitFor(t, 1)
		s.addRoom(1)
		is.Equal(<-second, http.StatusOK)
		is.Equal(s.sent["first"], 0)
		is.Equal(len(s.refusals), 0)
	}
}

// Guards against: an instance that stops keeps requests waiting, sends them, or says that they may have run; or lets further ones wait.
func TestStopWhileManyWait(t *testing.T) {
	const many = 60
	for name, stop := range map[string]struct {
		act    func(s *waitSite, stopped func())
		reason Reason
	}{
		"planned stop begins": {func(s *waitSite, _ func()) { s.Room.Close() }, Draining},
		"grace period ends":   {func(_ *waitSite, stopped func()) { stopped() }, Stopped},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newWaitSite(t, 0, 256)
			stopping, stopped := context.WithCancel(context.Background())
			defer stopped()
			s.OnStop = func(f func()) func() bool { return context.AfterFunc(stopping, f) }
			var group sync.WaitGroup
			for n := range many {
				group.Go(func() { s.serveTo(t.Context(), waitingRequest("r", Kind(n%3))) })
			}
			s.waitFor(t, many)
			began := time.Now()
			stop.act(s, stopped)
			group.Wait()
			is.True(time.Since(began) < 500*time.Millisecond)
			is.Equal(len(s.refusals), many)
			for _, refusal := range s.refusals {
				is.Equal(refusal.Reason, stop.reason)
				is.True(!refusal.MayHaveRun)
				is.True(refusal.RetryAfter > 0)
			}
			is.Equal(len(s.sent), 0)
			s.waitFor(t, 0)
		})
	}
	is := is.New(t)
	s := newWaitSite(t, 0, 256)
	s.Room.Close()
	began := time.Now()
	is.Equal(s.serveTo(t.Context(), waitingRequest("late", Idempotent)), http.StatusServiceUnavailable)
	is.Equal(s.refusals[0].Reason, Costly)
	is.True(time.Since(began) < 500*time.Millisecond)
}

// Guards against: more wait than the settings allow, those beyond cost a placement each, or one of a higher priority is kept out.
func TestFullQueueRefuses(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 0, 3)
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() {
			r := waitingRequest("low", Idempotent)
			r.Priority = 3
			s.serveTo(t.Context(), r)
		})
	}
	s.waitFor(t, 3)
	tries := s.triesMade()
	const beyond = 20
	for range beyond {
		r := waitingRequest("also low", Idempotent)
		r.Priority = 3
		is.Equal(s.serveTo(t.Context(), r), http.StatusServiceUnavailable)
	}
	is.True(s.triesMade()-tries <= beyond/4) // those of the timer
	is.Equal(len(s.refusals), beyond)
	is.Equal(s.refusals[0].Reason, Costly)
	served := make(chan int, 1)
	go func() { served <- s.serveTo(t.Context(), waitingRequest("high", Idempotent)) }()
	for refused := 0; refused <= beyond; time.Sleep(time.Millisecond) { // one of low priority gives way
		s.mu.Lock()
		refused = len(s.refusals)
		s.mu.Unlock()
	}
	s.addRoom(1)
	is.Equal(<-served, http.StatusOK) // it makes room for the others
	group.Wait()
	is.Equal(s.sent["high"], 1)
	is.Equal(len(s.refusals), beyond+1)
}

// Guards against: a prompt that is quarantined while it waits is sent, or one let through on trial waits so that its trial is wasted.
func TestQuarantinedWhileWaiting(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 0, 256)
	now := atomic.Int64{}
	now.Store(int64(clock.Now()))
	s.Blame.Now = func() clock.Millis { return clock.Millis(now.Load()) }
	r := waitingRequest("r", Stream)
	r.SharedParts = []string{"fatal"}
	served := make(chan int, 1)
	go func() { served <- s.serveTo(t.Context(), r) }()
	s.waitFor(t, 1)
	for range 3 {
		s.Blame.RecordCrash([]string{"other", "fatal"}, "one")
		s.Blame.RecordCrash([]string{"another", "fatal"}, "two")
		now.Add(int64(clock.Second))
	}
	is.True(s.Blame.Suspected([]string{"fatal"}))
	now.Add(-int64(3 * clock.Second)) // before the first trial
	s.addRoom(1)
	is.Equal(<-served, http.StatusServiceUnavailable)
	is.Equal(len(s.sent), 0)
	is.Equal(s.refusals[0].Reason, Quarantined)
	s.waitFor(t, 0)
	s.addRoom(-1)
	now.Add(int64(clock.Minute))
	began := time.Now()
	is.Equal(s.serveTo(t.Context(), r), http.StatusServiceUnavailable)
	is.Equal(s.refusals[1].Reason, Costly) // it was let through
	is.True(time.Since(began) < 800*time.Millisecond)
}

// Guards against: a fault of the program while a request has its turn keeps all others waiting.
func TestPanicInTurn(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 0, 256)
	place := s.Place
	panics := atomic.Bool{}
	s.Place = func(n board.Requirements) (*board.Placement, error) {
		if n.ID == "faulty" && panics.Load() {
			panic("fault")
		}
		return place(n)
	}
	first := make(chan int, 1)
	go func() { first <- s.serveTo(t.Context(), waitingRequest("faulty", Idempotent)) }()
	s.waitFor(t, 1)
	second := make(chan int, 1)
	go func() { second <- s.serveTo(t.Context(), waitingRequest("sound", Idempotent)) }()
	s.waitFor(t, 2)
	panics.Store(true)
	s.addRoom(1)
	is.Equal(<-first, 0)
	is.Equal(<-second, http.StatusOK)
}
