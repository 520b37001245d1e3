package ticket

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	defaultMaxUnused = 4 * clock.Second      // if Manager.MaxUnusedTime gives none
	leaseShare       = 0.75                  // of the maximum unused time; the rest allows for a renewal that is late on the network
	renewalsPerLease = 3.5                   // so that a lease survives the loss of some renewals
	callTimeout      = 400 * clock.Millis(1) // for one call to an engine
	releaseAttempts  = 8
	releasePause     = 300 * clock.Millis(1)
)

// Lease is a lease of one engine's memory.
type Lease struct {
	ID     string // chosen by the caller, unique for the engine
	Target string // id of the engine
	Addr   string
	Tokens int
}

// Manager acquires, renews and releases leases.
type Manager struct {
	Reserve func(ctx context.Context, l Lease, hold clock.Millis) error // acquires a lease or renews it, for the duration hold
	Release func(ctx context.Context, l Lease) error
	// MaxUnusedTime returns how long memory may stay held after its request has ended; nil or zero selects the default.
	MaxUnusedTime func() clock.Millis
}

// leaseTime returns the duration of a lease.
func (m *Manager) leaseTime() clock.Millis {
	maxUnused := defaultMaxUnused
	if m.MaxUnusedTime != nil && m.MaxUnusedTime() > 0 {
		maxUnused = m.MaxUnusedTime()
	}
	return clock.Millis(leaseShare * float64(maxUnused))
}

// LeaseSet is a set of leases that are renewed until Release.
type LeaseSet struct {
	manager *Manager
	leases  []Lease
	stop    context.CancelFunc
}

// Acquire acquires all leases or none; the error is that of the first lease, in order, that could not be acquired.
func (m *Manager) Acquire(ctx context.Context, leases []Lease) (*LeaseSet, error) {
	errs := make([]error, len(leases))
	var group sync.WaitGroup
	for i, l := range leases {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
			defer cancel()
			errs[i] = m.Reserve(ctx, l, m.leaseTime())
		})
	}
	group.Wait()
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	set := &LeaseSet{manager: m, leases: leases, stop: stop}
	for i, err := range errs {
		if err != nil {
			metrics.GetOrCreateCounter(`pier_ticket_events_total{event="not_had"}`).Inc()
			slog.Info("memory lease not acquired", "ticket", leases[i].ID, "target", leases[i].Target, "tokens", leases[i].Tokens, "error", err.Error())
			set.Release()
			return nil, err
		}
	}
	metrics.GetOrCreateCounter(`pier_ticket_events_total{event="held"}`).Inc()
	go set.renew(renewing)
	return set, nil
}

// renew renews the leases periodically until they are released.
func (s *LeaseSet) renew(ctx context.Context) {
	period := clock.Millis(float64(s.manager.leaseTime()) / renewalsPerLease)
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, l := range s.leases {
			go s.renewLease(ctx, l)
		}
	}
}

func (s *LeaseSet) renewLease(ctx context.Context, l Lease) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if err := s.manager.Reserve(ctx, l, s.manager.leaseTime()); err != nil && ctx.Err() == nil {
		metrics.GetOrCreateCounter(`pier_ticket_events_total{event="not_renewed"}`).Inc()
		slog.Info("memory lease not renewed", "ticket", l.ID, "target", l.Target, "error", err.Error())
	}
}

// Release stops the renewals and releases all leases in the background.
func (s *LeaseSet) Release() {
	s.stop()
	for _, l := range s.leases {
		go s.manager.release(l)
	}
}

// release retries a release until the engine confirms it; after the last attempt the lease is left to expire.
func (m *Manager) release(l Lease) {
	for range releaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
		err := m.Release(ctx, l)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(releasePause.Duration())
	}
	slog.Warn("memory lease not released, left to expire", "ticket", l.ID, "target", l.Target)
}
