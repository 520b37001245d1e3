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

// Guards against: a list is believed although its answer hides where it ends.
func TestBrokenLengths(t *testing.T) {
	for name, body := range map[string]string{"chunks before HTTP/1.1": fake.Chunked("[]"), "folded length": "[]]"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, err := fake.BrokenText(fake.BrokenLengths[name], body)
			is.NoErr(err)
			t.Cleanup(func() { _ = f.Close() })
			_, err = (&store.Client{BaseURL: "http://" + f.Addr(), Timeout: callTimeout}).List(context.Background(), "config")
			is.True(store.Is(err, store.Malformed))
		})
	}
}

// Guards against: a part of a list, without a length, or of a value with one counts as whole.
func TestCutAnswers(t *testing.T) {
	is := is.New(t)
	const list, value = `[{"Name": "config", "Version": 7, "Value": "eA=="}]`, "value"
	for n := range len(list) {
		f, err := fake.BrokenText("HTTP/1.1 200 OK\r\n", list[:n])
		is.NoErr(err)
		_, err = (&store.Client{BaseURL: "http://" + f.Addr(), Timeout: callTimeout}).List(context.Background(), "config")
		is.True(store.Is(err, store.Malformed))
		_ = f.Close()
	}
	for n := range len(value) {
		f, err := fake.BrokenText("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 5\r\n", value[:n])
		is.NoErr(err)
		_, err = (&store.Client{BaseURL: "http://" + f.Addr(), Timeout: callTimeout}).Get(context.Background(), "config")
		is.True(store.Is(err, store.Unavailable))
		_ = f.Close()
	}
}
