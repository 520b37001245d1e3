package route

import (
	"context"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
)

// recordLoad stores a load report, with what this instance counts of the target at the same time.
func (t *Table) recordLoad(ts *targetState, load engine.Load) {
	ts.report, ts.reportedAt = load, clock.Now()
	ts.ownSlotsAtReport, ts.ownBacklogAtReport, ts.ownMemoryAtReport = len(ts.ownSlots), ts.ownBacklog, ts.ownMemory
	if load.Leaving {
		t.setLeaving(ts)
	}
}

// refreshOldestReport fetches the load report of the target whose last one is the oldest, unless all are recent.
func (t *Table) refreshOldestReport(ctx context.Context) {
	if t.FetchLoad == nil {
		return
	}
	now := clock.Now()
	var oldest *targetState
	for _, service := range t.Config().Services {
		for _, ts := range t.subset(service.Name) {
			if !ts.leaving && !ts.quiet(now) && now-ts.reportedAt > reportRefreshAge && (oldest == nil || ts.reportedAt < oldest.reportedAt) {
				oldest = ts
			}
		}
	}
	if oldest == nil {
		return
	}
	oldest.reportedAt = now // keeps the next tick from asking the same target again
	addr := oldest.Addr
	go func() {
		load, err := t.FetchLoad(ctx, addr)
		if err != nil {
			return
		}
		t.Loop.Post(func() { t.recordLoad(oldest, load) })
	}()
}

// predictPrefill predicts how long an engine takes until it has processed a prompt. It assumes that the engine processes
// higher priorities first, and that other instances send the same mix of priorities as this one.
func (t *Table) predictPrefill(now clock.Millis, ts *targetState, r Request) clock.Millis {
	ahead, total := 0, 0
	for _, other := range t.subset(ts.Service) {
		ahead += other.backlogAhead(r.Priority)
		total += other.ownBacklog
	}
	others := ts.othersBacklog(now)
	if total > 0 {
		others = int(float64(others) * float64(ahead) / float64(total))
	}
	return clock.Millis((ts.backlogAhead(r.Priority) + others + r.PromptTokens) * 1000 / ts.prefillRate())
}

// predictRunTime predicts how long a request takes on an idle engine, once it has started.
func predictRunTime(r Request) clock.Millis {
	return clock.Millis(r.PromptTokens*1000/(2*defaultPrefillRate)) + generationTime(r)
}

func generationTime(r Request) clock.Millis { return clock.Millis(r.MaxOutputTokens) * timePerToken }
