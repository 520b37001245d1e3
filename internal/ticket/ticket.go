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
	defaultMaxUnused = 4 * clock.Second      // for which memory may stay held without a request, where nothing is set
	leaseShare       = 0.75                  // of that time: a lease may outlive its holder, and be late on its way
	renewalsPerLease = 3.5                   // in the time of a lease, so that some may get lost before it lapses
	callTimeout      = 400 * clock.Millis(1) // until an engine's answer is no longer waited for
	releaseAttempts  = 8
	releasePause     = 300 * clock.Millis(1)
)

// Lease is memory of one engine.
type Lease struct {
	ID     string // of the lease
	Target string // id of the engine
	Addr   string
	Tokens int
}

// Manager takes, renews and releases leases.
type Manager struct {
	Reserve func(ctx context.Context, p Lease, hold clock.Millis) error // asks for a lease, or renews it
	Release func(ctx context.Context, p Lease) error
	// MaxUnusedTime returns for how long memory may stay held after its request; nil or zero for the default.
	MaxUnusedTime func() clock.Millis
}

// leaseTime returns how long a lease lasts.
func (h *Manager) leaseTime() clock.Millis {
	free := defaultMaxUnused
	if h.MaxUnusedTime != nil && h.MaxUnusedTime() > 0 {
		free = h.MaxUnusedTime()
	}
	return clock.Millis(leaseShare * float64(free))
}

// LeaseSet is a set of leases.
type LeaseSet struct {
	manager *Manager
	leases  []Lease
	stop    context.CancelFunc
}

// Acquire gets all parts or none; an error is that of the first part that was not had.
func (h *Manager) Acquire(ctx context.Context, parts []Lease) (*LeaseSet, error) {
	errs := make([]error, len(parts))
	var group sync.WaitGroup
	for i, p := range parts {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
			defer cancel()
			errs[i] = h.Reserve(ctx, p, h.leaseTime())
		})
	}
	group.Wait()
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	held := &LeaseSet{manager: h, leases: parts, stop: stop}
	for i, err := range errs {
		if err != nil {
			metrics.GetOrCreateCounter(`pier_ticket_events_total{event="not_had"}`).Inc()
			slog.Info("memory not had", "ticket", parts[i].ID, "target", parts[i].Target, "tokens", parts[i].Tokens, "error", err.Error())
			held.Release()
			return nil, err
		}
	}
	metrics.GetOrCreateCounter(`pier_ticket_events_total{event="held"}`).Inc()
	go held.renew(renewing)
	return held, nil
}

// renew keeps the leases until they are released.
func (h *LeaseSet) renew(ctx context.Context) {
	period := clock.Millis(float64(h.manager.leaseTime()) / renewalsPerLease)
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range h.leases {
			go h.renewLease(ctx, p)
		}
	}
}

func (h *LeaseSet) renewLease(ctx context.Context, p Lease) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if err := h.manager.Reserve(ctx, p, h.manager.leaseTime()); err != nil && ctx.Err() == nil {
		metrics.GetOrCreateCounter(`pier_ticket_events_total{event="not_renewed"}`).Inc()
		slog.Info("memory not renewed", "ticket", p.ID, "target", p.Target, "error", err.Error())
	}
}

// Release gives all parts back, without waiting for the engines.
func (h *LeaseSet) Release() {
	h.stop()
	for _, p := range h.leases {
		go h.manager.release(p)
	}
}

// release repeats a release until the engine confirms it, or the lease has lapsed.
func (h *Manager) release(p Lease) {
	for range releaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
		err := h.Release(ctx, p)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(releasePause.Duration())
	}
	slog.Warn("memory not released, it lapses", "ticket", p.ID, "target", p.Target)
}
