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
	defaultFree  = 4 * clock.Second      // for which memory may stay held without a request, where nothing is set
	holdShare    = 0.75                  // of that time: a lease may outlive its holder, and be late on its way
	renewals     = 3.5                   // in the time of a lease, so that some may get lost before it lapses
	orderTimeout = 400 * clock.Millis(1) // until an engine's answer is no longer waited for
	releaseTries = 8
	releasePause = 300 * clock.Millis(1)
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

// hold returns how long a lease lasts.
func (h *Manager) hold() clock.Millis {
	free := defaultFree
	if h.MaxUnusedTime != nil && h.MaxUnusedTime() > 0 {
		free = h.MaxUnusedTime()
	}
	return clock.Millis(holdShare * float64(free))
}

// Held is a set of leases.
type Held struct {
	holder *Manager
	parts  []Lease
	stop   context.CancelFunc
}

// Acquire gets all parts or none; an error is that of the first part that was not had.
func (h *Manager) Acquire(ctx context.Context, parts []Lease) (*Held, error) {
	errs := make([]error, len(parts))
	var group sync.WaitGroup
	for i, p := range parts {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
			defer cancel()
			errs[i] = h.Reserve(ctx, p, h.hold())
		})
	}
	group.Wait()
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	held := &Held{holder: h, parts: parts, stop: stop}
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
func (h *Held) renew(ctx context.Context) {
	period := clock.Millis(float64(h.holder.hold()) / renewals)
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range h.parts {
			go h.renewPart(ctx, p)
		}
	}
}

func (h *Held) renewPart(ctx context.Context, p Lease) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	if err := h.holder.Reserve(ctx, p, h.holder.hold()); err != nil && ctx.Err() == nil {
		metrics.GetOrCreateCounter(`pier_ticket_events_total{event="not_renewed"}`).Inc()
		slog.Info("memory not renewed", "ticket", p.ID, "target", p.Target, "error", err.Error())
	}
}

// Release gives all parts back, without waiting for the engines.
func (h *Held) Release() {
	h.stop()
	for _, p := range h.parts {
		go h.holder.release(p)
	}
}

// release repeats a release until the engine confirms it, or the lease has lapsed.
func (h *Manager) release(p Lease) {
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout.Duration())
		err := h.Release(ctx, p)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(releasePause.Duration())
	}
	slog.Warn("memory not released, it lapses", "ticket", p.ID, "target", p.Target)
}
