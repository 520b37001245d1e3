package pier

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	maxHeapGrowth = 184 << 20 // bytes; the memory of a small machine
	okHead        = "HTTP/1.1 200 OK\r\n\r\n"
)

// Guards against: an instance whose answers do not end uses up the memory of a caller, or keeps a request for ever.
func TestEndlessAnswers(t *testing.T) {
	complete := func(ctx context.Context, c *Client) error {
		_, err := c.Complete(ctx, wire.Completion{})
		return err
	}
	call := func(ctx context.Context, c *Client) error {
		_, err := c.Call(ctx, wire.Call{}, "")
		return err
	}
	long, spaces := strings.Repeat("x", 64<<10), strings.Repeat(" ", 64<<10)
	heap := fake.WatchHeap()
	t.Run("requests", func(t *testing.T) {
		for name, c := range map[string]struct {
			request     func(context.Context, *Client) error
			addresses   bool // the client asks for the addresses first
			first, text string
		}{
			"header line":          {call, false, "HTTP/1.1 200 OK\r\nX-Line: ", long},
			"addresses":            {call, true, okHead + `{"addresses": [{"addr": "`, long},
			"rest of addresses":    {call, true, okHead + `{"addresses": [{"addr": "127.0.0.1:1"}]}`, spaces},
			"result":               {call, false, okHead + `{"body": "`, long},
			"rest of a result":     {call, false, okHead + `{}`, spaces},
			"line of a stream":     {complete, false, okHead, long},
			"comments of a stream": {complete, false, okHead, ": waiting\n\n"},
			"error lines":          {complete, false, okHead, "event: error\n"},
			"frames without text":  {complete, false, okHead, "data: {}\n\n"},
			"empty lines":          {complete, false, okHead, "\n"},
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := fake.Endless(c.first, c.text, 0)
				is.NoErr(f.Listen())
				t.Cleanup(func() { _ = f.Close() })
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				defer cancel()
				client := &Client{Seeds: []string{f.Addr()}, SeedsOnly: !c.addresses, MaxTries: 1}
				is.True(c.request(ctx, client) != nil)
				is.NoErr(ctx.Err()) // the request ended by itself
			})
		}
	})
	grown := heap()
	t.Logf("heap grown by %d MB", grown>>20)
	is.New(t).True(grown < maxHeapGrowth)
}
