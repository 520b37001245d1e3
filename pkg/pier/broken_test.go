package pier

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// brokenRequests are requests to an instance, each with the body of an answer that would be accepted, or that says that it has not run.
var brokenRequests = map[string]struct {
	body      string
	addresses bool // the client asks for the addresses first
	send      func(ctx context.Context, c *Client) error
}{
	"complete": {`data: {"offset":0,"text":"x","total":1,"done":true}` + "\n\n", false, func(ctx context.Context, c *Client) error {
		_, err := c.Complete(ctx, wire.Completion{})
		return err
	}},
	"call": {`{"request": "r", "ran": "yes", "status": 200, "body": "done"}`, false, func(ctx context.Context, c *Client) error {
		_, err := c.Call(ctx, wire.Call{}, "")
		return err
	}},
	"refused call": {`{"ran":"no"}`, false, func(ctx context.Context, c *Client) error {
		_, err := c.Call(ctx, wire.Call{}, "")
		return err
	}},
	"addresses": {`{"addresses": [{"addr": "127.0.0.1:1"}]}`, true, func(ctx context.Context, c *Client) error {
		_, err := c.fetchAddresses(ctx, c.Seeds[0])
		return err
	}},
}

// Guards against: an answer that is no HTTP counts as one of an instance, or as proof that a request did not run.
func TestBrokenHeads(t *testing.T) {
	for call, c := range brokenRequests {
		for name, head := range fake.BrokenHeads() {
			t.Run(name+", "+call, func(t *testing.T) {
				failAsBroken(t, head, c.body, c.addresses, c.send)
			})
		}
	}
}

// Guards against: a result is believed although its answer hides where it ends.
func TestBrokenLengths(t *testing.T) {
	c := brokenRequests["call"]
	failAsBroken(t, fake.BrokenLengths["chunks before HTTP/1.1"], fake.Chunked(c.body), false, c.send)
	failAsBroken(t, fake.BrokenLengths["folded length"], c.body+"}", false, c.send)
}

// Guards against: a part of an answer, without a length, counts as a whole one. A stream may lack the empty line after its last frame.
func TestCutBodies(t *testing.T) {
	for name, c := range brokenRequests {
		status := "HTTP/1.1 200 OK\r\n"
		if name == "refused call" {
			status = "HTTP/1.1 503 Service Unavailable\r\n"
		}
		t.Run(name, func(t *testing.T) {
			for n := range len(strings.TrimSpace(c.body)) {
				failAsBroken(t, status, c.body[:n], c.addresses, c.send)
			}
		})
	}
}

// failAsBroken fails the test unless a request fails and may have run, by an answer with the given first lines and body.
func failAsBroken(t *testing.T, head, body string, addresses bool, send func(ctx context.Context, c *Client) error) {
	t.Helper()
	is := is.New(t)
	f, err := fake.BrokenText(head, body)
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	err = send(context.Background(), &Client{Seeds: []string{f.Addr()}, SeedsOnly: !addresses, MaxTries: 1})
	is.True(err != nil)
	var e *Error
	is.True(!eris.As(err, &e) || e.Kind == Broken && e.Problem.Ran == wire.RanUnknown)
}
