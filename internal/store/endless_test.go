package store_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	callTimeout   = 700 * clock.Millis(1)
	callsAtOnce   = 2         // of each kind
	maxHeapGrowth = 184 << 20 // bytes; the memory of a small machine
	okHead        = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n"
)

// Guards against: an answer of the object API that does not end uses up the memory of an instance, keeps a call for ever, or is
// taken for a whole one.
func TestEndlessAnswers(t *testing.T) {
	get := func(ctx context.Context, c *store.Client) error {
		_, err := c.Get(ctx, "config")
		return err
	}
	list := func(ctx context.Context, c *store.Client) error {
		_, err := c.List(ctx, "config")
		return err
	}
	watch := func(ctx context.Context, c *store.Client) error {
		_, err := c.Watch(ctx, "config", 1, 10)
		return err
	}
	put := func(ctx context.Context, c *store.Client) error {
		_, err := c.Put(ctx, "config", 1, []byte("x"))
		return err
	}
	long, spaces := strings.Repeat("x", 64<<10), strings.Repeat(" ", 64<<10)
	heap := fake.WatchHeap()
	t.Run("calls", func(t *testing.T) {
		for name, c := range map[string]struct {
			call        func(context.Context, *store.Client) error
			first, text string
			pause       time.Duration
		}{
			"header line":    {put, "HTTP/1.1 200 OK\r\nX-Line: ", long, 0},
			"value":          {get, okHead, long, 0},
			"watched value":  {watch, okHead, long, 0},
			"list":           {list, okHead + `[{"Name": "`, long, 0},
			"rest of a list": {list, okHead + `[]`, spaces, 0},
			"slow list":      {list, okHead + `[`, " ", 20 * time.Millisecond},
			"slow value":     {get, okHead, "x", 20 * time.Millisecond},
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				f := fake.Endless(c.first, c.text, c.pause)
				is.New(t).NoErr(f.Listen())
				t.Cleanup(func() { _ = f.Close() })
				endWithError(t, f.Addr(), c.call)
			})
		}
	})
	grown := heap()
	t.Logf("heap grown by %d MB", grown>>20)
	is.New(t).True(grown < maxHeapGrowth)
}

// endWithError fails the test unless calls to the object API end by themselves, and with an error.
func endWithError(t *testing.T, addr string, call func(context.Context, *store.Client) error) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	client := &store.Client{BaseURL: "http://" + addr, Timeout: callTimeout}
	var group sync.WaitGroup
	failed := make(chan bool, callsAtOnce)
	for range callsAtOnce {
		group.Go(func() { failed <- call(ctx, client) != nil })
	}
	group.Wait()
	is.NoErr(ctx.Err())
	for range callsAtOnce {
		is.True(<-failed)
	}
}
