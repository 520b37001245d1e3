package retry

import (
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const buckets = 10 // number of equal parts into which the window is divided

// Limits bound the number of retries.
type Limits struct {
	Ratio  float64      // retries allowed per request in the window
	Extra  float64      // retries allowed in the window beyond the ratio
	Window clock.Millis // length of the sliding window
}

// Budget allows retries in proportion to requests, plus a constant.
type Budget struct {
	Limits func() Limits // current limits
	Now    func() clock.Millis

	mu       sync.Mutex
	requests [buckets]int // by bucket number modulo buckets, as retries
	retries  [buckets]int
	bucket   int64 // number of the current bucket, counted from time 0
}

// RecordRequest counts a request, without its retries.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.Limits().Window)
	b.requests[b.bucket%buckets]++
}

// TakeRetry takes one retry from the budget; it reports false if none is left.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := b.Limits()
	b.advance(limits.Window)
	requests, retries := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > limits.Ratio*float64(requests)+limits.Extra {
		return false
	}
	b.retries[b.bucket%buckets]++
	return true
}

// advance moves to the current bucket and clears those that have left the window.
func (b *Budget) advance(window clock.Millis) {
	current := int64(b.Now()) * buckets / int64(max(window, buckets))
	if current-b.bucket >= buckets {
		b.requests, b.retries = [buckets]int{}, [buckets]int{}
		b.bucket = current
	}
	for b.bucket < current {
		b.bucket++
		b.requests[b.bucket%buckets], b.retries[b.bucket%buckets] = 0, 0
	}
}
