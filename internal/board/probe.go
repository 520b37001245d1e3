package board

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	probePeriod   = clock.Second          // between looks at one engine, by one instance for all
	probeTimeout  = 600 * clock.Millis(1) // of a look; reports need no slot and are answered at once
	probeValidity = 3 * clock.Second      // for which what a report says is believed
)

// ProbeResult is what was found when a target was asked for its state, as instances tell one another.
type ProbeResult struct {
	Target   string  `cbor:"1,keyasint"`
	Slowdown float64 `cbor:"2,keyasint"` // times as long as its model says
	Down     bool    `cbor:"3,keyasint,omitempty"`
}

// monitorTargets asks the engines that this instance looks after for their state until the context ends.
func (b *Board) monitorTargets(ctx context.Context) {
	ticker := time.NewTicker(probePeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.probeTargets(ctx)
		}
	}
}

// probeTargets asks each engine once. Where most do not answer, it is this instance that is cut off, and nothing is told.
func (b *Board) probeTargets(ctx context.Context) {
	var targets []Target
	b.Loop.Call(func() {
		for id, n := range b.targets {
			if !n.delisted && !n.Draining && n.schedule.Engine.PrefillRate > 0 && b.Monitors(id) {
				targets = append(targets, n.Target)
			}
		}
	})
	found := make(chan ProbeResult, len(targets))
	for _, t := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
			defer cancel()
			pace, err := b.Probe(ctx, t)
			if err != nil {
				slog.Info("no report", "target", t.ID, "error", err.Error())
			}
			found <- ProbeResult{Target: t.ID, Slowdown: pace, Down: err != nil}
		}()
	}
	var reports []ProbeResult
	down := 0
	for range targets {
		r := <-found
		if r.Down {
			down++
		}
		reports = append(reports, r)
	}
	if ctx.Err() != nil || 2*down > len(reports) && down > 1 {
		return
	}
	b.Loop.Post(func() {
		for _, r := range reports {
			b.applyProbe(r)
		}
		b.pending.Probes = append(b.pending.Probes, reports...)
	})
}

// applyProbe takes in what was found of a target. What runs at one that is down is told so.
func (b *Board) applyProbe(r ProbeResult) {
	n := b.targets[r.Target]
	if n == nil {
		return
	}
	now := clock.Now()
	if !r.Down {
		n.reportedSlowdown, n.reportedAt = r.Slowdown, now
		if n.down {
			n.ejections, n.ejectedUntil = 0, 0
		}
		n.down = false
		return
	}
	if !n.down {
		metrics.GetOrCreateCounter(`pier_board_target_down_total`).Inc()
		slog.Info("target down", "target", r.Target, "requests", n.runningCount())
	}
	n.down = true
	n.ejectedUntil = max(n.ejectedUntil, now+probeValidity)
	for _, j := range n.assignments {
		if j.owner != b.Self {
			continue
		}
		if p := b.placements[j.number]; p != nil {
			p.downOnce.Do(func() { close(p.down) })
		}
	}
}

// TargetDown is closed when a target that the request needs was found to be down.
func (p *Placement) TargetDown() <-chan struct{} { return p.down }
