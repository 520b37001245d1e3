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
	sweepInterval     = 2 * clock.Second
	releaseInterval   = 300 * clock.Millis(1)
	releaseTimeout    = 5 * clock.Minute  // after which an unconfirmed release is no longer retried
	reorderWindow     = 3 * clock.Second  // within which a prompt sent before its release reaches the engine, if at all
	frequentSweepTime = clock.Minute      // after a change of the view; until then engines are queried each sweepInterval
	rareSweepInterval = 30 * clock.Second // between queries of the engines at other times
	startupDelay      = 5 * clock.Second  // after the start, until the view lists all other instances
)

// OwnerGrace is how long an owner must have been missing from the view before its memory is reclaimed.
const OwnerGrace = 4 * clock.Second

// ExpiryMargin is how much older than the longest deadline a holding may become before it is reclaimed, even if its owner
// is live.
const ExpiryMargin = 10 * clock.Second

// Sweeper releases memory on engines that is no longer needed.
type Sweeper struct {
	Self            string // name of this instance
	View            func() member.View
	Targets         func() []roster.Target // engines
	LongestDeadline func() clock.Millis    // of all profiles
	Holdings        func(ctx context.Context, addr string) ([]engine.Holding, error)
	Release         func(ctx context.Context, addr, id string) error
	StreamAttached  func(ctx context.Context, addr, attempt string) bool // reports whether a stream is being read

	mu            sync.Mutex
	pending       map[releaseKey]releaseState
	missingSince  map[string]clock.Millis // by owner: when it was first missing from the view
	startedAt     clock.Millis
	viewVersion   uint64       // of the view at the last sweep
	viewChangedAt clock.Millis // when a sweep last saw a new version of the view
	lastSweepAt   clock.Millis // when the engines were last queried
}

// releaseKey identifies a release: the address of the engine and the id of the stream or reservation.
type releaseKey struct{ addr, id string }

// releaseState is the progress of a release.
type releaseState struct {
	requestedAt clock.Millis
	lastSentAt  clock.Millis // when the release was last sent to the engine
	confirmed   bool         // by the engine, which may not have received the prompt yet
}

// sendDue reports whether the release is to be sent again. A confirmed release is sent once more after reorderWindow, since
// the first one may have reached the engine before the prompt that it releases.
func (state releaseState) sendDue(now clock.Millis) bool {
	if state.confirmed && now-state.requestedAt < reorderWindow {
		return false
	}
	return now-state.lastSentAt > releaseInterval
}

// Init prepares the state; it is called before any other method.
func (s *Sweeper) Init() {
	s.pending = make(map[releaseKey]releaseState)
	s.missingSince = make(map[string]clock.Millis)
	s.startedAt = clock.Now()
}

// ReleaseHolding releases a stream or reservation of this instance. The release is retried until the engine confirms it.
func (s *Sweeper) ReleaseHolding(addr, id string) {
	s.mu.Lock()
	now := clock.Now()
	s.pending[releaseKey{addr, id}] = releaseState{requestedAt: now, lastSentAt: now}
	s.mu.Unlock()
	go s.sendRelease(context.Background(), releaseKey{addr, id}, now)
}

// PendingReleases returns the number of releases that no engine has confirmed yet.
func (s *Sweeper) PendingReleases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, state := range s.pending {
		if !state.confirmed {
			count++
		}
	}
	return count
}

// Run retries releases and sweeps the engines until the context ends.
func (s *Sweeper) Run(ctx context.Context) error {
	releasing := time.NewTicker(releaseInterval.Duration())
	defer releasing.Stop()
	sweeping := time.NewTicker(sweepInterval.Duration())
	defer sweeping.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-releasing.C:
			s.retryReleases(ctx)
		case <-sweeping.C:
			go s.sweepEngines(ctx)
		}
	}
}

// retryReleases sends the releases that are due and drops those that are too old.
func (s *Sweeper) retryReleases(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for key, state := range s.pending {
		if now-state.requestedAt > releaseTimeout {
			delete(s.pending, key)
			continue
		}
		if state.sendDue(now) {
			state.lastSentAt = now
			s.pending[key] = state
			go s.sendRelease(ctx, key, now)
		}
	}
}

// sendRelease sends a release once. If it was sent at least reorderWindow after the request, no prompt can arrive after it,
// and the engine's confirmation completes the release.
func (s *Sweeper) sendRelease(ctx context.Context, key releaseKey, sentAt clock.Millis) {
	if err := s.Release(ctx, key.addr, key.id); err != nil {
		countEvent("release_failed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state, known := s.pending[key]
	if known && sentAt-state.requestedAt >= reorderWindow {
		delete(s.pending, key)
		return
	}
	if known {
		state.confirmed = true
		s.pending[key] = state
	}
}

// sweepEngines queries the engines whose home this instance is, and reclaims holdings without an owner.
func (s *Sweeper) sweepEngines(ctx context.Context) {
	if clock.Now()-s.startedAt < startupDelay {
		return
	}
	view := s.View()
	if !s.sweepDue(view.Version) {
		return
	}
	for _, t := range s.Targets() {
		if !view.RankedWithin(s.Self, "sweep/"+t.ID, 1) {
			continue
		}
		holdings, err := s.Holdings(ctx, t.Addr)
		if err != nil {
			continue
		}
		for _, h := range holdings {
			if reason := s.reclaimReason(ctx, view, h); reason != "" {
				slog.Warn("memory reclaimed", "target", t.ID, "holding", h.ID, "owner", h.Owner, "tokens", h.Tokens, "why", reason)
				countEvent("reclaimed_" + reason)
				_ = s.Release(ctx, t.Addr, h.ID)
			}
		}
	}
}

// sweepDue reports whether to query the engines now: at each sweepInterval after a change of the view, since owners may be
// gone then, and each rareSweepInterval otherwise.
func (s *Sweeper) sweepDue(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if version != s.viewVersion {
		s.viewVersion, s.viewChangedAt = version, now
	}
	if now-s.viewChangedAt > frequentSweepTime && now-s.lastSweepAt < rareSweepInterval {
		return false
	}
	s.lastSweepAt = now
	return true
}

// reclaimReason returns why a holding is to be reclaimed, or "" if it is not. A holding of a missing owner is kept while
// its stream is still being read.
func (s *Sweeper) reclaimReason(ctx context.Context, view member.View, h engine.Holding) string {
	if clock.Millis(h.AgeMillis) > s.LongestDeadline()+ExpiryMargin {
		return "expired"
	}
	if !s.ownerGone(view, h.Owner) || h.Attached {
		return ""
	}
	attempt, primary, ok := SplitReservationID(h.ID)
	if h.Kind == engine.KindReservation && ok && s.StreamAttached(ctx, primary, attempt) {
		return ""
	}
	return "ownerless"
}

// ownerGone reports whether an owner has been missing from the view for longer than OwnerGrace.
func (s *Sweeper) ownerGone(view member.View, owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.HasOwner(owner) {
		delete(s.missingSince, owner)
		return false
	}
	since, known := s.missingSince[owner]
	if !known {
		s.missingSince[owner] = clock.Now()
		return false
	}
	return clock.Now()-since > OwnerGrace
}

// ReservationID returns the id of a reservation for an attempt; primary is the address of the engine that runs the attempt.
func ReservationID(attempt, primary string) string { return attempt + "@" + primary }

// SplitReservationID returns the parts of an id made by ReservationID.
func SplitReservationID(id string) (attempt, primary string, ok bool) { return strings.Cut(id, "@") }

func countEvent(event string) {
	metrics.GetOrCreateCounter(`pier_sweep_events_total{event="` + event + `"}`).Inc()
}
