package retry

import (
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const buckets = 10 // of the window

// Limits say how many repeats are allowed.
type Limits struct {
	Ratio  float64      // repeats for each first try in the window
	Extra  int          // repeats in the window beyond the ratio
	Window clock.Millis // that slides
}

// Budget allows repeats in proportion to first tries, and a few more.
type Budget struct {
	Limits func() Limits // in force now
	Now    func() clock.Millis

	mu       sync.Mutex
	requests [buckets]int
	retries  [buckets]int
	bucket   int64
}

// RecordRequest counts a first try.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.Limits().Window)
	b.requests[b.bucket%buckets]++
}

// TakeRetry takes one repeat from the budget, or reports that none is left.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bounds := b.Limits()
	b.advance(bounds.Window)
	firsts, repeats := 0, 0
	for i := range buckets {
		firsts += b.requests[i]
		repeats += b.retries[i]
	}
	if float64(repeats+1) > bounds.Ratio*float64(firsts)+float64(bounds.Extra) {
		return false
	}
	b.retries[b.bucket%buckets]++
	return true
}

// advance clears the slices that have left the window.
func (b *Budget) advance(window clock.Millis) {
	now := int64(b.Now()) * buckets / int64(max(window, buckets))
	if now-b.bucket >= buckets {
		b.requests, b.retries = [buckets]int{}, [buckets]int{}
		b.bucket = now
	}
	for b.bucket < now {
		b.bucket++
		b.requests[b.bucket%buckets], b.retries[b.bucket%buckets] = 0, 0
	}
}
