package pier

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// Guards against: an answer that is no HTTP counts as one of an instance, or as proof that a request did not run.
func TestBrokenHeads(t *testing.T) {
	const refusal = `{"ran":"no"}`
	for call, c := range map[string]struct {
		body      string
		addresses bool // the client asks for the addresses first
		call      func(ctx context.Context, c *Client) error
	}{
		"complete": {`data: {"offset":0,"text":"x","total":1,"done":true}` + "\n\n", false, func(ctx context.Context, c *Client) error {
			_, err := c.Complete(ctx, wire.Completion{})
			return err
		}},
		"call": {`{}`, false, func(ctx context.Context, c *Client) error {
			_, err := c.Call(ctx, wire.Call{}, "")
			return err
		}},
		"refused call": {refusal, false, func(ctx context.Context, c *Client) error {
			_, err := c.Call(ctx, wire.Call{}, "")
			return err
		}},
		"addresses": {`{"addresses": [{"addr": "127.0.0.1:1"}]}`, true, func(ctx context.Context, c *Client) error {
			_, err := c.fetchAddresses(ctx, c.Seeds[0])
			return err
		}},
	} {
		for name, head := range fake.BrokenHeads() {
			t.Run(name+", "+call, func(t *testing.T) {
				is := is.New(t)
				f, err := fake.BrokenText(head, c.body)
				is.NoErr(err)
				t.Cleanup(func() { _ = f.Close() })
				err = c.call(context.Background(), &Client{Seeds: []string{f.Addr()}, SeedsOnly: !c.addresses, MaxTries: 1})
				is.True(err != nil)
				var e *Error
				is.True(!eris.As(err, &e) || e.Kind == Broken && e.Problem.Ran == wire.RanUnknown)
			})
		}
	}
}
