package sweep

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/roster"
)

const (
	sweepPeriod   = 2 * clock.Second
	releasePeriod = 300 * clock.Millis(1)
	releaseLimit  = 5 * clock.Minute  // for which a release is repeated
	overtakeTime  = 3 * clock.Second  // within which what was sent before a release reaches its engine, if at all
	alertTime     = clock.Minute      // after a change of the view, for which each sweep looks at the engines
	quietPeriod   = 30 * clock.Second // between looks when the view has not changed
	settleTime    = 5 * clock.Second  // after the start, before the view is trusted
)

// OwnerGrace is how long an owner must have been gone before its memory is reclaimed.
const OwnerGrace = 4 * clock.Second

// ExpiryMargin is how much older than the longest deadline a holding may become, whoever owns it.
const ExpiryMargin = 10 * clock.Second

// Sweeper releases memory that is no longer needed.
type Sweeper struct {
	Self            string
	View            func() member.View
	Targets         func() []roster.Target // engines
	LongestDeadline func() clock.Millis    // longest deadline of any profile
	Holdings        func(ctx context.Context, addr string) ([]engine.Holding, error)
	Release         func(ctx context.Context, addr, id string) error
	StreamAttached  func(ctx context.Context, addr, attempt string) bool // whether a stream is being read

	mu      sync.Mutex
	pending map[release]progress
	absent  map[string]clock.Millis // since when each owner has been missing
	started clock.Millis
	version uint64       // of the view at the last sweep
	changed clock.Millis // when the view last changed
	looked  clock.Millis // when the engines were last looked at
}

type release struct{ addr, id string }

// progress is how far a release has come.
type progress struct {
	asked     clock.Millis
	tried     clock.Millis // when the engine was last told
	confirmed bool         // by the engine, which may not have had the prompt yet
}

// due reports whether the engine is to be told again. A confirmed release is told once more, since it may have overtaken
// the prompt that it releases.
func (p progress) due(now clock.Millis) bool {
	if p.confirmed && now-p.asked < overtakeTime {
		return false
	}
	return now-p.tried > releasePeriod
}

// Init sets up the state.
func (s *Sweeper) Init() {
	s.pending = make(map[release]progress)
	s.absent = make(map[string]clock.Millis)
	s.started = clock.Now()
}

// Free releases a stream or reservation of this instance, again and again until the engine confirms.
func (s *Sweeper) Free(addr, id string) {
	s.mu.Lock()
	now := clock.Now()
	s.pending[release{addr, id}] = progress{asked: now, tried: now}
	s.mu.Unlock()
	go s.try(context.Background(), release{addr, id}, now)
}

// Pending returns how many releases are not confirmed yet.
func (s *Sweeper) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, p := range s.pending {
		if !p.confirmed {
			count++
		}
	}
	return count
}

// Run repeats releases and compares holdings until the context ends.
func (s *Sweeper) Run(ctx context.Context) error {
	releasing := time.NewTicker(releasePeriod.Duration())
	defer releasing.Stop()
	sweeping := time.NewTicker(sweepPeriod.Duration())
	defer sweeping.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-releasing.C:
			s.retry(ctx)
		case <-sweeping.C:
			go s.sweep(ctx)
		}
	}
}

func (s *Sweeper) retry(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for r, p := range s.pending {
		if now-p.asked > releaseLimit {
			delete(s.pending, r)
			continue
		}
		if p.due(now) {
			p.tried = now
			s.pending[r] = p
			go s.try(ctx, r, now)
		}
	}
}

// try tells an engine once, at a time that says whether its confirmation is the last that is needed.
func (s *Sweeper) try(ctx context.Context, r release, at clock.Millis) {
	if err := s.Release(ctx, r.addr, r.id); err != nil {
		count("release_failed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known := s.pending[r]
	if known && at-p.asked >= overtakeTime {
		delete(s.pending, r)
		return
	}
	if known {
		p.confirmed = true
		s.pending[r] = p
	}
}

// sweep looks at the engines whose home this instance is.
func (s *Sweeper) sweep(ctx context.Context) {
	if clock.Now()-s.started < settleTime {
		return
	}
	view := s.View()
	if !s.due(view.Version) {
		return
	}
	for _, t := range s.Targets() {
		if !view.RankedWithin(s.Self, "sweep/"+t.ID, 1) {
			continue
		}
		held, err := s.Holdings(ctx, t.Addr)
		if err != nil {
			continue
		}
		for _, h := range held {
			if why := s.reclaimable(ctx, view, h); why != "" {
				slog.Warn("memory reclaimed", "target", t.ID, "holding", h.ID, "owner", h.Owner, "tokens", h.Tokens, "why", why)
				count("reclaimed_" + why)
				_ = s.Release(ctx, t.Addr, h.ID)
			}
		}
	}
}

// due reports whether to look at the engines: often while owners may have gone, and seldom otherwise.
func (s *Sweeper) due(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if version != s.version {
		s.version, s.changed = version, now
	}
	if now-s.changed > alertTime && now-s.looked < quietPeriod {
		return false
	}
	s.looked = now
	return true
}

// reclaimable says why a holding has no owner, or returns "".
func (s *Sweeper) reclaimable(ctx context.Context, view member.View, h engine.Holding) string {
	if clock.Millis(h.AgeMillis) > s.LongestDeadline()+ExpiryMargin {
		return "expired"
	}
	if !s.gone(view, h.Owner) || h.Attached {
		return ""
	}
	attempt, primary, ok := SplitReservation(h.ID)
	if h.Kind == engine.KindReservation && ok && s.StreamAttached(ctx, primary, attempt) {
		return ""
	}
	return "ownerless"
}

// gone reports whether an owner has been missing from the view for the grace.
func (s *Sweeper) gone(view member.View, owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.HasOwner(owner) {
		delete(s.absent, owner)
		return false
	}
	since, known := s.absent[owner]
	if !known {
		s.absent[owner] = clock.Now()
		return false
	}
	return clock.Now()-since > OwnerGrace
}

// ReservationID names a reservation after the attempt and the engine that runs it.
func ReservationID(attempt, primary string) string { return attempt + "@" + primary }

// SplitReservation takes the name of a reservation apart.
func SplitReservation(id string) (attempt, primary string, ok bool) { return strings.Cut(id, "@") }

func count(event string) {
	metrics.GetOrCreateCounter(`pier_sweep_events_total{event="` + event + `"}`).Inc()
}
