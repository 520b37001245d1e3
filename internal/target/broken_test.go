package target

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/fake"
)

// brokenCalls are the calls to a target, each with the body of an answer that would be accepted.
var brokenCalls = map[string]struct {
	body string
	call func(ctx context.Context, c *Client, addr string) error
}{
	"act": {`{"attempt":"a","body":"done"}`, func(ctx context.Context, c *Client, addr string) error {
		_, _, err := c.Act(ctx, addr, engine.ActRequest{Attempt: "a"})
		return err
	}},
	"stream": {`data: {"attempt":"a","offset":0,"text":"x","total":1,"done":true}` + "\n\n", func(ctx context.Context, c *Client, addr string) error {
		_, err := c.Stream(ctx, addr, engine.CompletionRequest{Attempt: "a"}, false, clock.Second, func(engine.Load) {}, func(engine.Frame) error { return nil })
		return err
	}},
	"load": {`{}`, func(ctx context.Context, c *Client, addr string) error {
		_, err := c.Load(ctx, addr)
		return err
	}},
	"holdings": {`[]`, func(ctx context.Context, c *Client, addr string) error {
		_, err := c.Holdings(ctx, addr)
		return err
	}},
	"state": {`{}`, func(ctx context.Context, c *Client, addr string) error {
		_, err := c.State(ctx, addr)
		return err
	}},
	"reserve": {``, func(ctx context.Context, c *Client, addr string) error {
		return c.Reserve(ctx, addr, engine.Reservation{})
	}},
	"release": {``, func(ctx context.Context, c *Client, addr string) error { return c.Release(ctx, addr, "a") }},
	"order":   {``, func(ctx context.Context, c *Client, addr string) error { return c.Order(ctx, addr, engine.Order{}) }},
}

// Guards against: an answer that is no HTTP counts as one, or as proof that the target did not process a request.
func TestBrokenHeads(t *testing.T) {
	for name, head := range fake.BrokenTargetHeads() {
		for call, c := range brokenCalls {
			t.Run(name+", "+call, func(t *testing.T) {
				is := is.New(t)
				f, err := fake.BrokenText(head+engine.HeaderNotProcessed+": 1\r\n", c.body)
				is.NoErr(err)
				t.Cleanup(func() { _ = f.Close() })
				client, ctx := newTestClient(t)
				err = c.call(ctx, client, f.Addr())
				is.True(err != nil)
				is.Equal(KindOf(err), Broken)
			})
		}
	}
}

// Guards against: a part of an answer, without a length, counts as a whole one. A stream may lack the empty line after its last frame.
func TestCutBodies(t *testing.T) {
	for call, c := range brokenCalls {
		t.Run(call, func(t *testing.T) {
			is := is.New(t)
			client, ctx := newTestClient(t)
			for n := range len(strings.TrimSpace(c.body)) {
				f, err := fake.BrokenText(okHead[:len(okHead)-2], c.body[:n])
				is.NoErr(err)
				err = c.call(ctx, client, f.Addr())
				is.True(err != nil)
				is.True(KindOf(err) == Broken || KindOf(err) == Mismatched)
				_ = f.Close()
			}
		})
	}
}
