package relay

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/blame"
	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/model"
	"github.com/corianderpier/corianderpier/internal/retry"
	"github.com/corianderpier/corianderpier/internal/ticket"
)

// silence is how long the first engine of these tests sends nothing: longer than stallTimeout after a failed probe.
const silence = 3500 * time.Millisecond

// pausing answers with a first part, sends nothing for a while, and then sends the rest.
func pausing(ctx context.Context, first string, pause time.Duration, rest string) *Answer {
	body, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, first)
		select {
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
		case <-time.After(pause):
			_, _ = io.WriteString(w, rest)
			_ = w.Close()
		}
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}
}

// silentSite is a relay before three engines. The first attempt of a request goes to an engine that is silent for a while and does
// not answer probes; next answers the attempts at the others.
type silentSite struct {
	next        func(ctx context.Context, lastEventID int) (*Answer, error)
	first       func(ctx context.Context, first, rest string) *Answer // answers the first attempt; nil for pausing by silence
	memory      int                                                   // tokens of memory of each engine; zero for enough
	retries     int                                                   // allowed by the budget; zero for enough
	budgetTaken int                                                   // retries that are taken from the budget before
	tickets     *ticket.Manager
	probesWork  bool          // all engines answer probes
	engines     int           // zero for three
	broadcast   func([]byte)  // of the board; nil for none
	leaves      time.Duration // after which the caller is gone; zero for never
	linksLost   time.Duration // after which the links to all engines are lost; zero for never
	deadline    clock.Millis  // of the request; zero for ten seconds
	refusals    []Refusal
	every       func(ctx context.Context, lastEventID int) (*Answer, error) // answers all attempts; nil for first and next
	maxAttempts int                                                         // of the request; zero for two
	hangs       int                                                         // engines that do not answer probes, the first ones that are asked; zero for one
	lateStatus  int                                                         // with which the first engine answers after it was silent; zero for an answer that begins at once

	mu           sync.Mutex
	targets      []string          // ids of the engines that were asked
	excluded     []map[string]bool // that the placements were to avoid
	lastEventIDs []int             // of all attempts
	firstEnded   chan struct{}     // closed when the first attempt has ended
}

func (s *silentSite) probe(_ context.Context, t board.Target) (board.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.targets, t.ID); i >= 0 && i < max(s.hangs, 1) && !s.probesWork {
		return board.Report{}, eris.New("no answer")
	}
	return board.Report{Slowdown: 1}, nil
}

// send answers the first attempt with first, after that of another engine with next.
func (s *silentSite) send(first, rest string) func(context.Context, Request, *board.Placement, int) (*Answer, error) {
	return func(ctx context.Context, _ Request, p *board.Placement, lastEventID int) (*Answer, error) {
		s.mu.Lock()
		begun := len(s.targets) > 0
		s.targets = append(s.targets, p.Target.ID)
		s.lastEventIDs = append(s.lastEventIDs, lastEventID)
		s.mu.Unlock()
		if s.every != nil {
			return s.every(ctx, lastEventID)
		}
		if !begun {
			context.AfterFunc(ctx, func() { close(s.firstEnded) })
			if s.lateStatus != 0 {
				time.Sleep(silence)
				return answerWith(s.lateStatus, rest)(Request{}, 0)
			}
			if s.first != nil {
				return s.first(ctx, first, rest), nil
			}
			return pausing(ctx, first, silence, rest), nil
		}
		return s.next(ctx, lastEventID)
	}
}

// serve serves one request, whose first engine answers with two parts and is silent in between. With place, all attempts but
// the first one are placed by that function.
func (s *silentSite) serve(t *testing.T, r Request, first, rest string, place func(board.Requirements) (*board.Placement, error)) (got *httptest.ResponseRecorder, aborted bool) {
	t.Helper()
	s.firstEnded = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	engine := model.Engine{Slots: 16, Memory: cmp.Or(s.memory, 405_000), StepTime: 1.31, PrefillRate: 154, ChunkTokens: 2048, StepsPerPass: 34}
	b := &board.Board{
		Self: "entry-0", Loop: loop.New(), Broadcast: func(data []byte) {
			if s.broadcast != nil {
				s.broadcast(data)
			}
		}, Probe: s.probe, Monitors: func(string) bool { return true },
		Engine: func(string) (model.Engine, bool) { return engine, true },
	}
	b.Init()
	go func() { _ = b.Loop.Run(ctx) }()
	go func() { _ = b.Run(ctx) }()
	var engines []board.Target
	for n := range cmp.Or(s.engines, 3) {
		engines = append(engines, board.Target{ID: "engine-" + strconv.Itoa(n), Service: "desk", Slots: 16})
	}
	b.ReplaceTargets(engines, board.ListTrust{})
	extra := float64(cmp.Or(s.retries, 10))
	budget := &retry.Budget{Limits: func() retry.Limits { return retry.Limits{Extra: extra, Window: clock.Minute} }, Now: clock.Now}
	for range s.budgetTaken {
		budget.TakeRetry()
	}
	placed := false
	relay := &Relay{
		Place: func(req board.Requirements) (*board.Placement, error) {
			s.mu.Lock()
			s.excluded = append(s.excluded, maps.Clone(req.Exclude))
			s.mu.Unlock()
			if placed && place != nil {
				return place(req)
			}
			placed = true
			return b.Place(req)
		},
		Send: s.send(first, rest), Budget: func(string) *retry.Budget { return budget }, Tickets: s.tickets,
		Blame:      &blame.Tracker{Now: clock.Now, After: func(clock.Millis, func()) {}, Broadcast: func(blame.Report) {}},
		RetryAfter: func(Request, Reason) clock.Millis { return 100 },
		Refuse: func(w http.ResponseWriter, _ Request, refusal Refusal) {
			s.refusals = append(s.refusals, refusal)
			w.WriteHeader(http.StatusBadGateway)
		},
	}
	got = httptest.NewRecorder()
	r.ID, r.Service, r.Arrived, r.MaxAttempts = "r", "desk", clock.Now(), cmp.Or(s.maxAttempts, 2)
	r.PromptTokens, r.MaxOutputTokens, r.FirstEventSLO, r.EventGapSLO = 1000, 100, cmp.Or(r.FirstEventSLO, 5*clock.Second), 250
	r.Deadline = r.Arrived + cmp.Or(s.deadline, 10*clock.Second)
	r.OperatorDeadline = r.Deadline
	defer func() { aborted = recover() != nil }()
	if s.linksLost > 0 {
		defer time.AfterFunc(s.linksLost, b.RecordLinksLost).Stop()
	}
	caller, leave := context.WithCancel(ctx)
	defer leave()
	if s.leaves > 0 {
		defer time.AfterFunc(s.leaves, leave).Stop()
	}
	relay.Serve(caller, got, r)
	return got, false
}

// costly refuses to place a request.
func costly(board.Requirements) (*board.Placement, error) {
	return nil, &board.Error{Op: "place", Kind: board.Costly}
}

// notRun refuses a request.
func notRun(context.Context, int) (*Answer, error) { return answerNotRun(Request{}, 0) }

// resumable is a stream that another engine may go on with.
var resumable = Request{Kind: Stream, Resumable: true}

// Guards against: a stream is cut as its engine was silent for a while and no other engine may take it, although the engine
// goes on.
func TestSilentEngineNoOtherEngine(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		next  func(context.Context, int) (*Answer, error)
		place func(board.Requirements) (*board.Placement, error)
	}{
		"not placed":        {place: costly},
		"rejected":          {next: notRun},
		"unreachable":       {next: func(context.Context, int) (*Answer, error) { return nil, &Error{Op: "send", Kind: NotSent} }},
		"evacuated":         {next: func(context.Context, int) (*Answer, error) { return nil, &Error{Op: "send", Kind: TargetEvacuated} }},
		"broken":            {next: func(context.Context, int) (*Answer, error) { return nil, &Error{Op: "send", Kind: Broken} }},
		"500":               {next: func(context.Context, int) (*Answer, error) { return answerWith(500, "error")(Request{}, 0) }},
		"wrong event":       {next: func(context.Context, int) (*Answer, error) { return answerWith(200, eventsBetween(1, 6))(Request{}, 0) }},
		"breaks at once":    {next: func(context.Context, int) (*Answer, error) { return breakAfter("")(Request{}, 0) }},
		"ends without more": {next: func(context.Context, int) (*Answer, error) { return answerWith(200, "")(Request{}, 0) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &silentSite{next: c.next}
			got, aborted := s.serve(t, resumable, eventsBetween(1, 2), eventsBetween(3, 6), c.place)
			is.True(!aborted)
			is.Equal(got.Code, http.StatusOK)
			is.Equal(got.Body.String(), eventsBetween(1, 6))
		})
	}
}

// Guards against: a request whose engine was silent for a while before its first event is refused, although the engine goes on.
func TestSilentEngineBeforeAnswer(t *testing.T) {
	t.Parallel()
	for name, r := range map[string]Request{"stream": resumable, "whole answer": {Kind: Idempotent}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got, _ := (&silentSite{next: notRun}).serve(t, r, "", eventsBetween(1, 6), nil)
			is.Equal(got.Code, http.StatusOK)
			is.Equal(got.Body.String(), eventsBetween(1, 6))
		})
	}
}

// Guards against: the engine that was silent and the one that was asked beside it both answer, and events of both reach the caller.
func TestSilentEngineGoesOnFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &silentSite{next: func(ctx context.Context, lastEventID int) (*Answer, error) {
		return pausing(ctx, "", 2*silence, eventsBetween(lastEventID+1, 6)), nil
	}}
	got, aborted := s.serve(t, resumable, eventsBetween(1, 2), eventsBetween(3, 6), nil)
	is.True(!aborted)
	is.Equal(got.Body.String(), eventsBetween(1, 6))
	is.Equal(s.lastEventIDs, []int{0, 2})
}

// A request whose engine is silent is answered by another engine as soon as that has an event, and the silent one is left.
func TestSilentEngineReplaced(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		r           Request
		first, want string
	}{
		"stream begun":     {resumable, eventsBetween(1, 2), eventsBetween(1, 6)},
		"stream not begun": {resumable, "", eventsBetween(1, 6)},
		"whole answer":     {Request{Kind: Idempotent}, "", eventsBetween(1, 6)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			began := time.Now()
			s := &silentSite{next: func(_ context.Context, lastEventID int) (*Answer, error) {
				return answerWith(200, eventsBetween(lastEventID+1, 6))(Request{}, 0)
			}}
			got, aborted := s.serve(t, c.r, c.first, "late", nil)
			is.True(!aborted)
			is.Equal(got.Body.String(), c.want)
			is.True(time.Since(began) < silence)
			<-s.firstEnded
		})
	}
}

// Guards against: a stream that has gone on for longer than callers wait for a first event is cut when its engine breaks it off, as
// the request counts as late, although other engines are idle.
func TestOldStreamResumes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &silentSite{next: func(_ context.Context, lastEventID int) (*Answer, error) {
		return answerWith(200, eventsBetween(lastEventID+1, 6))(Request{}, 0)
	}}
	s.first = func(context.Context, string, string) *Answer {
		body, w := io.Pipe()
		go func() {
			for id := 1; id <= 3; id++ {
				time.Sleep(time.Second)
				_, _ = io.WriteString(w, eventsBetween(id, id))
			}
			_ = w.CloseWithError(eris.New("connection reset"))
		}()
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}
	}
	got, aborted := s.serve(t, Request{Kind: Stream, Resumable: true, FirstEventSLO: 50}, "", "", nil)
	is.True(!aborted)
	is.Equal(got.Body.String(), eventsBetween(1, 6))
}

// A stream that no other engine may go on with stays at its engine, however long that is silent.
func TestSilentEngineOfOtherRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &silentSite{next: notRun}
	got, aborted := s.serve(t, Request{Kind: Stream}, eventsBetween(1, 2), eventsBetween(3, 6), nil)
	is.True(!aborted)
	is.Equal(got.Body.String(), eventsBetween(1, 6))
	is.Equal(len(s.lastEventIDs), 1)
}

// Guards against: another engine is asked although the one that answers, and that does not answer probes, still sends; or it is
// asked beyond the budget of retries.
func TestHedgeOnlyWhenSilent(t *testing.T) {
	t.Parallel()
	const (
		pause  = 400 * time.Millisecond // between events
		events = 6
	)
	for name, c := range map[string]struct {
		retries, taken, wantAttempts int
	}{"budget": {10, 0, 2}, "no budget": {1, 1, 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var lastEvent, asked time.Time
			s := &silentSite{retries: c.retries, next: func(_ context.Context, lastEventID int) (*Answer, error) {
				asked = time.Now()
				return answerNotRun(Request{}, lastEventID)
			}}
			s.first = func(ctx context.Context, _, rest string) *Answer {
				body, w := io.Pipe()
				go func() {
					for id := 1; id <= events; id++ {
						time.Sleep(pause)
						_, _ = io.WriteString(w, eventsBetween(id, id))
					}
					lastEvent = time.Now()
					time.Sleep(silence)
					_, _ = io.WriteString(w, rest)
					_ = w.Close()
				}()
				return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}
			}
			s.budgetTaken = c.taken
			got, aborted := s.serve(t, resumable, "", eventsBetween(events+1, 8), nil)
			is.True(!aborted)
			is.Equal(got.Body.String(), eventsBetween(1, 8))
			is.Equal(len(s.lastEventIDs), c.wantAttempts)
			if c.wantAttempts > 1 {
				is.True(asked.Sub(lastEvent) >= stallTimeout.Duration()-pause/10)
				is.Equal(s.lastEventIDs[1], events)
			}
		})
	}
}

// Guards against: the memory that a divided prompt has leased stays leased while its engine is silent, and nobody uses it.
func TestMemoryOfSilentEngineReleased(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]string{"before the answer": "", "within the answer": eventsBetween(1, 2)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const maxIdle = clock.Second
			var mu sync.Mutex
			held := make(map[string]clock.Millis)
			longest := clock.Millis(0)
			s := &silentSite{memory: 800, next: notRun, tickets: &ticket.Manager{
				Reserve: func(_ context.Context, l ticket.Lease, _ clock.Millis) error {
					mu.Lock()
					defer mu.Unlock()
					if held[l.ID] == 0 {
						held[l.ID] = clock.Now()
					}
					return nil
				},
				Release: func(_ context.Context, l ticket.Lease) error {
					mu.Lock()
					defer mu.Unlock()
					longest = max(longest, clock.Now()-held[l.ID])
					delete(held, l.ID)
					return nil
				},
				InUse:       func(context.Context, ticket.Lease) (bool, error) { return false, nil },
				MaxIdleTime: func() clock.Millis { return maxIdle },
			}}
			_, _ = s.serve(t, resumable, first, eventsBetween(3, 6), nil)
			<-s.firstEnded
			time.Sleep(100 * time.Millisecond) // until the leases are released in the background
			mu.Lock()
			defer mu.Unlock()
			is.True(longest > 0)
			is.True(longest < maxIdle)
			is.Equal(len(held), 0)
		})
	}
}

// Guards against: a caller leaves a stream that has begun, as its engine is silent but not reported down, although others are idle.
// Before the first event, such an engine keeps the request.
func TestHedgeWithoutFailedProbe(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first        string
		rest         string
		wantAttempts int
	}{"stream begun": {eventsBetween(1, 2), "late", 2}, "stream not begun": {"", eventsBetween(1, 6), 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			began := time.Now()
			s := &silentSite{probesWork: true, next: func(_ context.Context, lastEventID int) (*Answer, error) {
				return answerWith(200, eventsBetween(lastEventID+1, 6))(Request{}, 0)
			}}
			got, aborted := s.serve(t, resumable, c.first, c.rest, nil)
			is.True(!aborted)
			is.Equal(got.Body.String(), eventsBetween(1, 6))
			is.Equal(len(s.lastEventIDs), c.wantAttempts)
			is.Equal(time.Since(began) < silence, c.wantAttempts > 1)
		})
	}
}
