package retry

import (
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const slices = 10 // of the window

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

	mu      sync.Mutex
	firsts  [slices]int
	repeats [slices]int
	slice   int64
}

// RecordRequest counts a first try.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(b.Limits().Window)
	b.firsts[b.slice%slices]++
}

// TakeRetry takes one repeat from the budget, or reports that none is left.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bounds := b.Limits()
	b.turn(bounds.Window)
	firsts, repeats := 0, 0
	for i := range slices {
		firsts += b.firsts[i]
		repeats += b.repeats[i]
	}
	if float64(repeats+1) > bounds.Ratio*float64(firsts)+float64(bounds.Extra) {
		return false
	}
	b.repeats[b.slice%slices]++
	return true
}

// turn clears the slices that have left the window.
func (b *Budget) turn(window clock.Millis) {
	now := int64(b.Now()) * slices / int64(max(window, slices))
	if now-b.slice >= slices {
		b.firsts, b.repeats = [slices]int{}, [slices]int{}
		b.slice = now
	}
	for b.slice < now {
		b.slice++
		b.firsts[b.slice%slices], b.repeats[b.slice%slices] = 0, 0
	}
}
