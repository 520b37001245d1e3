package retry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Retries stay within the ratio of the window's requests plus the extra ones.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := clock.Millis(1_000_000)
	b := &Budget{Limits: func() Limits { return Limits{Ratio: 0.2, Extra: 2, Window: 10 * clock.Second} }, Now: func() clock.Millis { return now }}
	for range 10 {
		b.RecordRequest()
	}
	allowed := 0
	for range 100 {
		if b.TakeRetry() {
			allowed++
		}
	}
	is.Equal(allowed, 4)
	now += 11 * clock.Second // the requests have left the window, so only the extra retries remain
	is.True(b.TakeRetry())
	is.True(b.TakeRetry())
	is.True(!b.TakeRetry())
}
