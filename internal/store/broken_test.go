package store_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/store"
)

// Guards against: an answer that is no HTTP counts as one of the object API, or as proof that a write had no effect.
func TestBrokenHeads(t *testing.T) {
	for call, c := range map[string]struct {
		body string
		want store.Kind
		call func(ctx context.Context, c *store.Client) error
	}{
		"get": {"value", store.Unavailable, func(ctx context.Context, c *store.Client) error {
			_, err := c.Get(ctx, "config")
			return err
		}},
		"watch": {"value", store.Unavailable, func(ctx context.Context, c *store.Client) error {
			_, err := c.Watch(ctx, "config", 1, 10)
			return err
		}},
		"list": {"[]", store.Unavailable, func(ctx context.Context, c *store.Client) error {
			_, err := c.List(ctx, "config")
			return err
		}},
		"put": {"", store.OutcomeUnknown, func(ctx context.Context, c *store.Client) error {
			_, err := c.Put(ctx, "config", 1, []byte("x"))
			return err
		}},
		"delete": {"", store.OutcomeUnknown, func(ctx context.Context, c *store.Client) error { return c.Delete(ctx, "config", 1) }},
	} {
		for name, head := range fake.BrokenHeads() {
			t.Run(name+", "+call, func(t *testing.T) {
				is := is.New(t)
				f, err := fake.BrokenText(head+"ETag: \"7\"\r\n", c.body)
				is.NoErr(err)
				t.Cleanup(func() { _ = f.Close() })
				err = c.call(context.Background(), &store.Client{BaseURL: "http://" + f.Addr(), Timeout: callTimeout})
				is.True(store.Is(err, c.want))
			})
		}
	}
}
