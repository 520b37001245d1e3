package board

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	reportPeriod  = clock.Second          // between looks at one engine, by one instance for all
	reportTimeout = 600 * clock.Millis(1) // of a look; reports need no slot and are answered at once
	reportValid   = 3 * clock.Second      // for which what a report says is believed
)

// Report is what was found when a target was asked for its state, as instances tell one another.
type Report struct {
	Target string  `cbor:"1,keyasint"`
	Pace   float64 `cbor:"2,keyasint"` // times as long as its model says
	Down   bool    `cbor:"3,keyasint,omitempty"`
}

// watchTargets asks the engines that this instance looks after for their state until the context ends.
func (b *Board) watchTargets(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.look(ctx)
		}
	}
}

// look asks each engine once. Where most do not answer, it is this instance that is cut off, and nothing is told.
func (b *Board) look(ctx context.Context) {
	var targets []Target
	b.Loop.Call(func() {
		for id, n := range b.nodes {
			if !n.gone && !n.Draining && n.passes.Engine.PrefillRate > 0 && b.Monitors(id) {
				targets = append(targets, n.Target)
			}
		}
	})
	found := make(chan Report, len(targets))
	for _, t := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
			defer cancel()
			pace, err := b.Probe(ctx, t)
			if err != nil {
				slog.Info("no report", "target", t.ID, "error", err.Error())
			}
			found <- Report{Target: t.ID, Pace: pace, Down: err != nil}
		}()
	}
	var reports []Report
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
			b.believe(r)
		}
		b.pending.Reports = append(b.pending.Reports, reports...)
	})
}

// believe takes in what was found of a target. What runs at one that is down is told so.
func (b *Board) believe(r Report) {
	n := b.nodes[r.Target]
	if n == nil {
		return
	}
	now := clock.Now()
	if !r.Down {
		n.pace, n.paced = r.Pace, now
		if n.down {
			n.ejects, n.ejected = 0, 0
		}
		n.down = false
		return
	}
	if !n.down {
		metrics.GetOrCreateCounter(`pier_board_target_down_total`).Inc()
		slog.Info("target down", "target", r.Target, "requests", n.running())
	}
	n.down = true
	n.ejected = max(n.ejected, now+reportValid)
	for _, j := range n.jobs {
		if j.owner != b.Self {
			continue
		}
		if p := b.placements[j.number]; p != nil {
			p.once.Do(func() { close(p.lost) })
		}
	}
}

// TargetDown is closed when a target that the request needs was found to be down.
func (p *Placement) TargetDown() <-chan struct{} { return p.lost }
