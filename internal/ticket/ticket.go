package ticket

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	defaultMaxUnused   = 4 * clock.Second      // if Manager.MaxUnusedTime gives none
	defaultMaxIdle     = 9 * clock.Second      // if Manager.MaxIdleTime gives none
	defaultMaxLease    = 10 * clock.Second     // if Manager.MaxLeaseTime gives none
	idleShare          = 0.75                  // of the maximum idle time, after which leases are checked; the rest allows for the check and the release
	leaseShare         = 0.75                  // of the maximum unused time; the rest allows for a last renewal that reaches the engine late
	renewalsPerLease   = 3.5                   // calls within one lease, so that it survives the loss of some
	callTimeout        = 400 * clock.Millis(1) // for one call to an engine
	maxReleaseAttempts = 8                     // after which a lease is left to expire
	releaseRetryDelay  = 300 * clock.Millis(1) // between two attempts
)

// Lease is a lease of one engine's memory.
type Lease struct {
	ID     string // chosen by the caller, unique at the engine
	Target string // id of the engine
	Addr   string
	Born   clock.Millis // when the engine started, as far as is known
	Tokens int          // size of the leased memory
}

// Manager acquires, renews and releases leases.
type Manager struct {
	Reserve func(ctx context.Context, l Lease, duration clock.Millis) error // acquires a lease or renews it
	Release func(ctx context.Context, l Lease) error
	// MaxUnusedTime returns how long memory may stay held after its request has ended; nil or zero selects the default.
	MaxUnusedTime func() clock.Millis
	// MaxIdleTime returns how long memory may stay held before its request uses it; nil or zero selects the default.
	MaxIdleTime func() clock.Millis
	// InUse asks an engine whether a request uses a lease.
	InUse func(ctx context.Context, l Lease) (bool, error)
	// Closed reports whether an engine takes no new requests, and so no new leases; nil if none does that.
	Closed func(l Lease) bool
	// QuietTime returns for how long an engine wants no requests; nil if none asks for that.
	QuietTime func(l Lease) clock.Millis
	// MaxLeaseTime returns the longest lease that engines grant; nil or zero selects the default.
	MaxLeaseTime func() clock.Millis

	mu    sync.Mutex
	quiet map[string]*quietSpell // last one of each engine, by its id
}

// leaseTime returns the duration of a lease.
func (m *Manager) leaseTime() clock.Millis {
	maxUnused := defaultMaxUnused
	if m.MaxUnusedTime != nil && m.MaxUnusedTime() > 0 {
		maxUnused = m.MaxUnusedTime()
	}
	return clock.Millis(leaseShare * float64(maxUnused))
}

// renewInterval returns the time between two renewals of a lease.
func (m *Manager) renewInterval() clock.Millis {
	return clock.Millis(float64(m.leaseTime()) / renewalsPerLease)
}

// IdleLimit returns the time after which leases that no request uses are to be given up.
func (m *Manager) IdleLimit() clock.Millis {
	maxIdle := defaultMaxIdle
	if m.MaxIdleTime != nil && m.MaxIdleTime() > 0 {
		maxIdle = m.MaxIdleTime()
	}
	return clock.Millis(idleShare * float64(maxIdle))
}

// LeaseSet is a set of leases that are renewed until Release.
type LeaseSet struct {
	manager *Manager
	leases  []Lease
	stop    context.CancelFunc
	expiry  []atomic.Int64 // of each lease, in milliseconds
}

// Acquire acquires all leases or none; the error is that of the first one that could not be acquired.
//
// They are acquired one after the other in the order of the engines' ids. Of sets that share engines one is then acquired,
// while at once each could get what another one lacks.
func (m *Manager) Acquire(ctx context.Context, leases []Lease) (*LeaseSet, error) {
	ordered := slices.SortedFunc(slices.Values(leases), func(a, b Lease) int { return cmp.Compare(a.Target, b.Target) })
	set := &LeaseSet{manager: m, leases: ordered, expiry: make([]atomic.Int64, len(ordered))}
	acquiring, cancel := context.WithTimeout(ctx, (m.leaseTime() / 2).Duration()) // the first lease is renewed only after the last one
	defer cancel()
	for n, l := range ordered {
		if m.closed(l) {
			m.release(ordered[:n])
			return nil, &Error{Op: "reserve", Kind: Closed, Target: l.Target}
		}
		if err := m.acquire(acquiring, l); err != nil {
			m.release(ordered[:n+1])
			return nil, err
		}
		set.expiry[n].Store(int64(clock.Now() + m.leaseTime()))
	}
	if n := slices.IndexFunc(ordered, m.closed); n >= 0 { // since it was asked
		m.release(ordered)
		return nil, &Error{Op: "reserve", Kind: Closed, Target: ordered[n].Target}
	}
	metrics.GetOrCreateCounter(`pier_ticket_events_total{event="held"}`).Inc()
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	set.stop = stop
	set.renew(renewing)
	return set, nil
}

// closed reports whether an engine takes no new leases; that is counted and logged.
func (m *Manager) closed(l Lease) bool {
	if m.Closed == nil || !m.Closed(l) {
		return false
	}
	metrics.GetOrCreateCounter(`pier_ticket_events_total{event="closed"}`).Inc()
	slog.Info("memory lease given up, engine takes no requests", "ticket", l.ID, "target", l.Target)
	return true
}

// acquire acquires one lease; a failure is counted and logged.
func (m *Manager) acquire(ctx context.Context, l Lease) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	err := m.Reserve(ctx, l, m.leaseTime())
	if err != nil {
		metrics.GetOrCreateCounter(`pier_ticket_events_total{event="not_had"}`).Inc()
		slog.Info("memory lease not acquired", "ticket", l.ID, "target", l.Target, "tokens", l.Tokens, "error", err.Error())
	}
	return err
}

// renew renews the leases until they are released.
func (s *LeaseSet) renew(ctx context.Context) {
	for n := range s.leases {
		go s.keep(ctx, n)
	}
}

// keep renews one lease at each interval, and more often while its engine leaves renewals unanswered: an engine that is silent
// for a while may go on, and cuts off the request if the lease has expired by then. While the engine wants no requests, the lease
// is renewed only if it has to be.
func (s *LeaseSet) keep(ctx context.Context, n int) {
	m, interval := s.manager, s.manager.renewInterval()
	var silent atomic.Bool
	next := clock.Now() + interval
	renew := func(duration, wait clock.Millis) {
		next = clock.Now() + wait
		go func() { silent.Store(!s.renewLease(ctx, n, duration)) }()
	}
	prepared := false // for the quiet time that was asked for
	look := min(interval, quietLookInterval)
	wait := look
	for clock.Sleep(ctx, wait) == nil {
		wait = look
		quiet, fresh := m.quietTime(s.leases[n])
		now := clock.Now()
		if quiet == 0 {
			prepared = false
			if now >= next && silent.Load() {
				renew(m.leaseTime(), look)
			} else if now >= next {
				renew(m.leaseTime(), interval)
			}
			wait = max(1, min(next-now, look))
			continue
		}
		early := fresh && !prepared
		if duration := s.quietDuration(n, quiet, early); duration > 0 && (now >= next || early) {
			prepared = true
			m.takeQuietOrder(s.leases[n]) // it has to be sent in any case
			renew(duration, interval)
		}
	}
}

// renewLease renews one lease once and reports whether the engine has answered. A failure is logged and left to the next renewal.
func (s *LeaseSet) renewLease(ctx context.Context, n int, duration clock.Millis) (answered bool) {
	l, now := s.leases[n], clock.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	err := s.manager.Reserve(call, l, duration)
	if err == nil {
		s.expiry[n].Store(int64(now + duration))
		return true
	}
	if ctx.Err() != nil {
		return true
	}
	metrics.GetOrCreateCounter(`pier_ticket_events_total{event="not_renewed"}`).Inc()
	slog.Info("memory lease not renewed", "ticket", l.ID, "target", l.Target, "error", err.Error())
	return Is(err, Refused)
}

// Idle reports whether an engine says that no request uses its lease. One that does not answer, or wants no
// requests, counts as if it were in use.
func (s *LeaseSet) Idle(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var idle atomic.Bool
	var group sync.WaitGroup
	for _, l := range s.leases {
		if quiet, _ := s.manager.quietTime(l); quiet > 0 {
			continue
		}
		group.Go(func() {
			used, err := s.manager.InUse(ctx, l)
			if err == nil && !used {
				slog.Info("memory lease not used", "ticket", l.ID, "target", l.Target)
				metrics.GetOrCreateCounter(`pier_ticket_events_total{event="idle"}`).Inc()
				idle.Store(true)
			}
		})
	}
	group.Wait()
	return idle.Load()
}

// Release stops the renewals and releases all leases in the background.
func (s *LeaseSet) Release() {
	s.stop()
	s.manager.release(s.leases)
}

// release releases leases in the background, also those that an engine may not have granted.
func (m *Manager) release(leases []Lease) {
	for _, l := range leases {
		go m.releaseUntilConfirmed(l)
	}
}

// releaseUntilConfirmed retries the release of a lease until the engine confirms it; after maxReleaseAttempts the lease is
// left to expire. An engine that wants no requests is asked once, if it has not got too many orders, and again when
// it takes them.
func (m *Manager) releaseUntilConfirmed(l Lease) {
	for range maxReleaseAttempts {
		if !m.waitToRelease(l) {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
		err := m.Release(ctx, l)
		cancel()
		if err == nil {
			return
		}
		quiet, _ := m.quietTime(l)
		time.Sleep(max(releaseRetryDelay, quiet).Duration())
	}
	slog.Warn("memory lease not released, left to expire", "ticket", l.ID, "target", l.Target)
}
