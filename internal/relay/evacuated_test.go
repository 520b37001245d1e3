package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/blame"
	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/model"
	"github.com/corianderpier/corianderpier/internal/retry"
	"github.com/corianderpier/corianderpier/internal/ticket"
)

// zonedSite is a relay before targets in several zones, which are evacuated one after the other.
type zonedSite struct {
	relay    *Relay
	board    *board.Board
	refusals []Refusal
	sentTo   []string // ids of the targets to which a request was sent
	retries  float64  // that the budget allows

	mu        sync.Mutex
	evacuated []string
}

// newZonedSite returns a site with a number of zones. Each has a plain target of the service desk and two engines of the service models,
// which have memory for 800 tokens each.
func newZonedSite(t *testing.T, zones int) *zonedSite {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	engine := model.Engine{Slots: 16, Memory: 800, StepTime: 1.31, PrefillRate: 154, ChunkTokens: 2048, StepsPerPass: 34}
	s := &zonedSite{board: &board.Board{
		Self: "entry-0", Loop: loop.New(), Broadcast: func([]byte) {},
		Engine: func(service string) (model.Engine, bool) { return engine, service == "models" },
	}}
	s.board.Init()
	go func() { _ = s.board.Loop.Run(ctx) }()
	var targets []board.Target
	for n := range zones {
		zone := fmt.Sprint("zone-", n)
		targets = append(targets, board.Target{ID: fmt.Sprint("plain-", n), Service: "desk", Zone: zone, Slots: 6})
		for k := range 2 {
			targets = append(targets, board.Target{ID: fmt.Sprintf("engine-%d-%d", n, k), Service: "models", Zone: zone, Slots: 16})
		}
	}
	s.board.ReplaceTargets(targets, board.ListTrust{})
	budget := &retry.Budget{Limits: func() retry.Limits { return retry.Limits{Extra: s.retries, Window: clock.Second} }, Now: clock.Now}
	s.relay = &Relay{
		Place: s.board.Place, Budget: func(string) *retry.Budget { return budget }, QuietTime: s.board.ServiceQuietTime,
		Send: func(_ context.Context, _ Request, p *board.Placement, _ int) (*Answer, error) {
			s.sentTo = append(s.sentTo, p.Target.ID)
			return answerWith(http.StatusOK, "done")(Request{}, 0)
		},
		Blame:      &blame.Tracker{Now: clock.Now, After: func(clock.Millis, func()) {}, Broadcast: func(blame.Report) {}},
		RetryAfter: func(Request, Reason) clock.Millis { return 100 },
		Refuse: func(w http.ResponseWriter, _ Request, refusal Refusal) {
			s.refusals = append(s.refusals, refusal)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	}
	return s
}

// evacuate evacuates one more zone, and returns once that is in force.
func (s *zonedSite) evacuate(zone string) {
	s.mu.Lock()
	s.evacuated = append(s.evacuated, zone)
	s.board.ReplaceEvacuated(s.evacuated, board.ListTrust{})
	s.mu.Unlock()
	s.board.Loop.Call(func() {})
}

// isUsed reports whether a zone gets some of the requests to plain targets.
func (s *zonedSite) isUsed(zone string) bool {
	for range 60 {
		p, err := s.board.Place(board.Requirements{Service: "desk", Deadline: clock.Now() + clock.Second})
		if err != nil {
			continue
		}
		p.End(board.Inconclusive)
		if p.Target.Zone == zone {
			return true
		}
	}
	return false
}

// serve serves a request that may have no effect twice, with as many attempts as the budget allows.
func (s *zonedSite) serve(service string, prompt int) *httptest.ResponseRecorder {
	got := httptest.NewRecorder()
	r := Request{
		ID: "r", Service: service, Kind: AtMostOnce, MaxAttempts: 1 + int(s.retries), PromptTokens: prompt, MaxOutputTokens: min(prompt, 100),
		FirstEventSLO: clock.Second, EventGapSLO: 250, Arrived: clock.Now(), Deadline: clock.Now() + 4*clock.Second,
	}
	r.OperatorDeadline = r.Deadline
	s.relay.Serve(context.Background(), got, r)
	return got
}

// Guards against: a request is sent to a zone that was evacuated after it was placed, or the new placement uses up its only attempt or
// a retry of the budget.
func TestEvacuatedSincePlacement(t *testing.T) {
	is := is.New(t)
	s := newZonedSite(t, 6)
	placements := 0
	s.relay.Place = func(req board.Requirements) (*board.Placement, error) {
		p, err := s.board.Place(req)
		if placements++; err == nil && placements < 6 {
			s.evacuate(p.Target.Zone)
		}
		return p, err
	}
	is.Equal(s.serve("desk", 0).Code, http.StatusOK)
	is.Equal(placements, 6)
	is.Equal(len(s.sentTo), 1)
}

// Guards against: a request whose zone is evacuated while its connection is opened counts as sent, or its target as unreachable.
func TestEvacuatedWhileDialing(t *testing.T) {
	is := is.New(t)
	s := newZonedSite(t, 6)
	var zone string
	s.relay.Send = func(_ context.Context, _ Request, p *board.Placement, _ int) (*Answer, error) {
		s.sentTo = append(s.sentTo, p.Target.ID)
		if len(s.sentTo) > 5 {
			return answerWith(http.StatusOK, "done")(Request{}, 0)
		}
		zone = p.Target.Zone
		s.evacuate(zone)
		return nil, &Error{Op: "send", Kind: TargetEvacuated}
	}
	is.Equal(s.serve("desk", 0).Code, http.StatusOK)
	is.Equal(len(s.sentTo), 6)
	s.board.ReplaceEvacuated(nil, board.ListTrust{})
	is.True(s.isUsed(zone)) // its target is not ejected
}

// Guards against: a request whose zone was evacuated before it was sent has an attempt less, so that it is refused when another target
// turns it away.
func TestEvacuatedTakesNoAttempt(t *testing.T) {
	is := is.New(t)
	s := newZonedSite(t, 4)
	s.retries = 1
	results := []attemptFunc{failWith(TargetEvacuated), failWith(TargetEvacuated), answerNotRun, answerWith(http.StatusOK, "done")}
	s.relay.Send = func(context.Context, Request, *board.Placement, int) (*Answer, error) {
		s.sentTo = append(s.sentTo, "")
		return results[len(s.sentTo)-1](Request{}, 0)
	}
	is.Equal(s.serve("desk", 0).Code, http.StatusOK)
	is.Equal(len(s.sentTo), len(results))
}

// Guards against: a hedge whose zone is evacuated before it is sent counts as one that may have run, or its target as unreachable.
func TestHedgeEvacuated(t *testing.T) {
	is := is.New(t)
	s := newZonedSite(t, 1)
	p, err := s.board.Place(board.Requirements{Service: "desk", Deadline: clock.Now() + clock.Second})
	is.NoErr(err)
	other := board.Target{ID: "plain-9", Service: "desk", Zone: "zone-9", Slots: 6}
	s.board.ReplaceTargets([]board.Target{p.Target, other}, board.ListTrust{})
	w := &watch{request: &requestState{relay: s.relay}, exclude: make(map[string]bool)}
	w.endFailed(&attempt{ctx: t.Context(), cancel: func() {}, placement: p}, errEvacuated)
	is.True(!w.mayHaveRun)
	is.True(s.isUsed(p.Target.Zone))
}

// Guards against: a divided prompt that waits for memory while the zone of one of its engines is evacuated is sent there, or refused
// after some such placements, or the memory that it has got by then stays held.
func TestEvacuatedWhileReserving(t *testing.T) {
	is := is.New(t)
	const zones = 6
	s := newZonedSite(t, zones)
	var mu sync.Mutex
	held, placements, evacuateNext := make(map[string]bool), 0, false
	s.relay.Place = func(req board.Requirements) (*board.Placement, error) {
		mu.Lock()
		defer mu.Unlock()
		placements++
		evacuateNext = placements < zones-1
		return s.board.Place(req)
	}
	s.relay.Tickets = &ticket.Manager{
		Reserve: func(_ context.Context, l ticket.Lease, _ clock.Millis) error {
			mu.Lock()
			defer mu.Unlock()
			held[l.ID] = true
			if evacuateNext {
				evacuateNext = false
				s.evacuate("zone-" + l.Target[len("engine-"):len("engine-")+1])
			}
			return nil
		},
		Release: func(_ context.Context, l ticket.Lease) error {
			mu.Lock()
			defer mu.Unlock()
			delete(held, l.ID)
			return nil
		},
		InUse:  func(context.Context, ticket.Lease) (bool, error) { return true, nil },
		Closed: func(l ticket.Lease) bool { return s.board.Closed(l.Target) },
	}
	var evacuated bool
	s.relay.Send = func(_ context.Context, _ Request, p *board.Placement, _ int) (*Answer, error) {
		s.sentTo, evacuated = append(s.sentTo, p.Target.ID), p.Evacuated()
		return answerWith(http.StatusOK, "done")(Request{}, 0)
	}
	is.Equal(s.serve("models", 1000).Code, http.StatusOK)
	is.Equal(len(s.sentTo), 1)
	is.True(!evacuated)
	is.Equal(placements, zones-1) // more than reservations may fail
	for end := clock.Now() + clock.Second; clock.Now() < end; _ = clock.Sleep(context.Background(), 5) {
		mu.Lock()
		left := len(held)
		mu.Unlock()
		if left == 0 {
			return
		}
	}
	t.Fatalf("leases stay held: %v", held)
}

// Guards against: a request to a service whose targets are all evacuated waits, is sent, or is refused for another reason, or as one
// that may have run.
func TestAllEvacuated(t *testing.T) {
	for name, evacuateFirst := range map[string]bool{"before": true, "since placement": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newZonedSite(t, 1)
			if evacuateFirst {
				s.evacuate("zone-0")
			}
			s.relay.Place = func(req board.Requirements) (*board.Placement, error) {
				p, err := s.board.Place(req)
				s.evacuate("zone-0")
				return p, err
			}
			began := clock.Now()
			is.Equal(s.serve("desk", 0).Code, http.StatusServiceUnavailable)
			is.True(clock.Now()-began < clock.Second)
			is.Equal(s.refusals, []Refusal{{Reason: Evacuated, RetryAfter: 100}})
			is.Equal(len(s.sentTo), 0)
		})
	}
}
