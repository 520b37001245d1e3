package clock

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Every calls the function until the context ends, and returns then.
func TestEvery(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	calls := 0
	Every(ctx, 1, func() {
		if calls++; calls == 3 {
			cancel()
		}
	})
	is.True(calls >= 3)
	is.True(calls <= 4) // a tick may have been due as the context ended
}
