package route

import (
	"log/slog"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
)

// RecordNotice records what the target at an address says of itself in an answer. All instances are told that it leaves; that
// it wants no requests for a while concerns this instance alone.
func (t *Table) RecordNotice(addr string, n engine.Notice) {
	t.Loop.Post(func() {
		for _, ts := range t.targets {
			if ts.Addr == addr {
				t.recordNotice(ts, n)
			}
		}
	})
}

func (t *Table) recordNotice(ts *targetState, n engine.Notice) {
	if n.Leaving {
		t.setLeaving(ts)
	}
	if n.Quiet > 0 {
		ts.quietUntil = max(ts.quietUntil, clock.Now()+n.Quiet)
		slog.Info("target wants no requests", "target", ts.ID, "for_ms", int64(n.Quiet))
		countEvent("target_quiet")
	}
}

// quiet reports whether the target wants no requests now.
func (ts *targetState) quiet(now clock.Millis) bool { return now < ts.quietUntil }

// opensAt returns when the first target that accepts a request takes requests again, if all of them want none for a while;
// else zero.
func (t *Table) opensAt(now clock.Millis, service config.Service, r Request) clock.Millis {
	var opens clock.Millis
	for _, ts := range t.targetsOf(service, func(ts *targetState) bool { return ts.accepts(r) }) {
		if !ts.quiet(now) {
			return 0
		}
		if opens == 0 || ts.quietUntil < opens {
			opens = ts.quietUntil
		}
	}
	return opens
}

// QuietTargets returns the IDs of the targets of a service that want no requests from this instance now, and when the first of
// them takes some again.
func (t *Table) QuietTargets(service string) (ids []string, opens clock.Millis) {
	t.Loop.Call(func() {
		now := clock.Now()
		for _, ts := range t.targets {
			if ts.Service != service || !ts.quiet(now) {
				continue
			}
			ids = append(ids, ts.ID)
			if opens == 0 || ts.quietUntil < opens {
				opens = ts.quietUntil
			}
		}
	})
	return ids, opens
}
