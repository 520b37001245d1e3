package loop

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Post reports that a function was not queued once Run has ended, even if the queue has room.
func TestPostAfterRun(t *testing.T) {
	is := is.New(t)
	l := New()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(l.Run(ctx))
	for range 100 {
		is.True(!l.Post(func() {}))
	}
	is.True(!l.Call(func() {}))
}
