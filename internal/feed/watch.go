package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	defaultWatchDuration = 10 * clock.Second     // how long the source holds a watch call open
	retryDelay           = 500 * clock.Millis(1) // after a failed watch; doubled for each consecutive one
	maxRetryDelay        = clock.Second          // after several failures of the source
	coalesceDelay        = 100 * clock.Millis(1) // after a watch, so that a burst of changes costs one call, and answers without news few
)

// watch watches the source while this instance is one that does, until the context ends.
func (f *Feed) watch(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		if !f.ShouldWatch() || f.Current().IsZero() {
			f.awaitDuty(ctx)
			continue
		}
		began := clock.Now()
		if !f.watchOnce(ctx, began) {
			_ = clock.Sleep(ctx, began+retryPause(delay)-clock.Now())
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = retryDelay
		_ = clock.Sleep(ctx, coalesceDelay)
	}
}

// watchOnce makes one watch call and reports whether the source has answered.
func (f *Feed) watchOnce(ctx context.Context, began clock.Millis) bool {
	duration := f.watchDuration()
	wait := duration
	if f.failing.Load() {
		wait = 0 // the answer tells at once that the source is back, and not only when something changes
	}
	watchCtx, cancel := context.WithTimeout(ctx, 2*duration.Duration())
	defer cancel()
	o, err := f.Watch(watchCtx, f.Current().Version, wait)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		f.recordSourceFailure("watch", began, err)
		return false
	}
	f.recordSuccess()
	f.applyFromSource(o)
	return true
}

// Reconsider makes Run ask ShouldWatch again at once.
func (f *Feed) Reconsider() {
	select {
	case f.reconsider <- struct{}{}:
	default:
	}
}

// awaitDuty waits until this instance may be one that watches.
func (f *Feed) awaitDuty(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.reconsider:
	case <-time.After(retryDelay.Duration()):
	}
}

// watchDuration returns how long the source is asked to hold a watch call open.
func (f *Feed) watchDuration() clock.Millis {
	if f.WatchDuration == nil {
		return defaultWatchDuration
	}
	return f.WatchDuration()
}

// retryPause returns the time from one failed watch to the next: a random part of a delay, at least half of it, so that instances
// which lose the source at the same moment do not ask again at the same moment.
func retryPause(delay clock.Millis) clock.Millis {
	return delay/2 + clock.Millis(rand.Int64N(int64(delay/2)+1))
}
