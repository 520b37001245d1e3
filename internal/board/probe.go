package board

import (
	"context"
	"log/slog"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	probeInterval = clock.Second          // between probes of an engine, which one instance probes for all
	probeTimeout  = 600 * clock.Millis(1) // of a probe; an engine answers at once, since a probe needs no slot
	probeValidity = 3 * clock.Second      // for which the result of a probe remains valid
)

// Report is the state that a target reports when it is asked.
type Report struct {
	Slowdown float64 // actual duration as a multiple of what the model predicts, at least 1
}

// ProbeResult is the result of a probe, as instances broadcast it.
type ProbeResult struct {
	Target   string  `cbor:"1,keyasint"`
	Slowdown float64 `cbor:"2,keyasint"` // actual duration as a multiple of what the model predicts
	Down     bool    `cbor:"3,keyasint,omitempty"`
}

// probeTargets probes each engine that this instance monitors once. If more than half of them, and at least two, do not
// answer, the likely fault is this instance's own network, and the results are dropped.
func (b *Board) probeTargets(ctx context.Context) {
	var targets []Target
	b.Loop.Call(func() {
		for id, s := range b.targets {
			if s.takesProbes(clock.Now()) && b.engine(s.Service).PrefillRate > 0 && b.Monitors(id) && b.probeDue(clock.Now(), s) {
				targets = append(targets, s.Target)
			}
		}
	})
	answers := make(chan ProbeResult, len(targets))
	for _, t := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
			defer cancel()
			report, err := b.Probe(ctx, t)
			if err != nil {
				slog.Info("target probe failed", "target", t.ID, "error", err.Error())
			}
			answers <- ProbeResult{Target: t.ID, Slowdown: report.Slowdown, Down: err != nil}
		}()
	}
	var results []ProbeResult
	down := 0
	for range targets {
		r := <-answers
		if r.Down {
			down++
		}
		results = append(results, r)
	}
	if ctx.Err() != nil || 2*down > len(results) && down > 1 {
		return
	}
	b.Loop.Post(func() {
		results = slices.DeleteFunc(results, b.givenUp)
		for _, r := range results {
			b.applyProbe(r)
		}
		b.pending.Probes = append(b.pending.Probes, results...)
		b.scheduleFlush()
	})
}

// takesProbes reports whether the target may be probed. A zone whose evacuation is in doubt gets no probes either.
func (s *targetState) takesProbes(now clock.Millis) bool {
	return !s.closed(now) && !s.evacuation.inDoubt()
}

// givenUp reports whether a probe has failed that was not sent any more, as its target's zone was evacuated meanwhile.
func (b *Board) givenUp(r ProbeResult) bool {
	s := b.targets[r.Target]
	return r.Down && s != nil && s.evacuation.inForce()
}

// applyProbe applies the result of a probe. If the target is down, own requests on it are notified through
// Placement.TargetDown.
func (b *Board) applyProbe(r ProbeResult) {
	s := b.targets[r.Target]
	if s == nil {
		return
	}
	now := clock.Now()
	s.limit.take(now)
	b.chargeCold(now, s, false)
	if !r.Down {
		s.reportedSlowdown, s.reportedAt = r.Slowdown, now
		if s.down {
			s.ejections, s.ejectedUntil = 0, 0
		}
		s.down = false
		return
	}
	if !s.down {
		metrics.GetOrCreateCounter(`pier_board_target_down_total`).Inc()
		slog.Info("target down", "target", r.Target, "requests", s.runningCount())
	}
	s.down = true
	s.ejectedUntil = max(s.ejectedUntil, now+probeValidity)
	for _, p := range b.placementsAt(s) {
		p.downOnce.Do(func() { close(p.down) })
	}
}

// TargetDown returns a channel that is closed when the target or a helper does not answer a probe.
func (p *Placement) TargetDown() <-chan struct{} { return p.down }
