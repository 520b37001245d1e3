package feed

import (
	"log/slog"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// recordSuccess records that the source has answered.
func (f *Feed) recordSuccess() {
	now := clock.Now()
	last := clock.Millis(f.lastSuccess.Swap(int64(now)))
	if !f.failing.Swap(false) {
		return
	}
	away := f.wasAway(last, now)
	if away {
		raise(&f.recoveredAt, int64(now))
	}
	slog.Info("source answers again", "feed", f.Name, "last_answer_ms", int64(now-last), "away", away)
}

// wasAway reports whether the source was away between two answers. If it was not, a connection to it was lost. Beside what calls have
// shown, it was away if no instance has heard of it for longer than those that watch need to notice that their connections are lost.
func (f *Feed) wasAway(last, now clock.Millis) bool {
	if f.OutageSeenAt == nil {
		return true
	}
	if seen := f.OutageSeenAt(); seen > 0 && seen >= last {
		return true
	}
	heard := max(last, f.ConfirmedAt())
	return f.MaxAge > 0 && heard > 0 && now-heard > f.MaxAge
}

// raise sets a point in time to a later one, and reports whether it was earlier.
func raise(value *atomic.Int64, at int64) bool {
	for {
		old := value.Load()
		if at <= old {
			return false
		}
		if value.CompareAndSwap(old, at) {
			return true
		}
	}
}

// recordSourceFailure records that a call to the source has failed, unless the source has answered another one since.
func (f *Feed) recordSourceFailure(call string, began clock.Millis, err error) {
	if f.LastSuccess() <= began && !f.failing.Swap(true) {
		slog.Info("source does not answer", "feed", f.Name, "call", call, "after_ms", int64(clock.Now()-began), "error", err.Error())
	}
	f.recordFailure(call, err)
}

// recordFailure counts and logs a call that has failed.
func (f *Feed) recordFailure(call string, err error) {
	metrics.GetOrCreateCounter(`pier_feed_failed_total{feed="` + f.Name + `",call="` + call + `"}`).Inc()
	slog.Debug("object not read", "feed", f.Name, "call", call, "error", err)
}
