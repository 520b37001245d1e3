package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/fake"
)

// startRawTarget starts a target whose answers are bytes, see fake.Raw, and returns its address.
func startRawTarget(t *testing.T, answer func(conn net.Conn) bool) string {
	t.Helper()
	raw := &fake.Raw{Answer: func(conn net.Conn, _ *http.Request) bool { return answer(conn) }}
	if err := raw.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	return raw.Addr()
}

// newTestClient returns a client and a context for a few calls.
func newTestClient(t *testing.T) (*Client, context.Context) {
	t.Helper()
	client := &Client{}
	client.Init()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return client, ctx
}

// Guards against: a target's refusal of an earlier request, which it writes once more, is taken for the answer to the next one,
// which runs.
func TestRefusalWrittenTwice(t *testing.T) {
	is := is.New(t)
	client, ctx := newTestClient(t)
	var answered atomic.Bool
	addr := startRawTarget(t, func(conn net.Conn) bool {
		refusal := "HTTP/1.1 503 Service Unavailable\r\n" + engine.HeaderNotProcessed + ": 1\r\nContent-Length: 0\r\n\r\n"
		answer := refusal + refusal
		if answered.Swap(true) {
			answer = "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n{\"attempt\":\"two\",\"body\":\"ok\"}"
		}
		_, _ = conn.Write([]byte(answer))
		return true
	})
	_, _, err := client.Act(ctx, addr, engine.ActRequest{Attempt: "one"})
	is.Equal(KindOf(err), NotProcessed)
	_, status, err := client.Act(ctx, addr, engine.ActRequest{Attempt: "two"})
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// Guards against: a stream is resumed and the target answers with an error or another text, which is forwarded inside it.
func TestErrorInsteadOfRest(t *testing.T) {
	const text = "{\"error\": \"no such attempt\"}\n\n"
	for name, head := range map[string]string{
		"404": "HTTP/1.1 404 Not Found", "410": "HTTP/1.1 410 Gone", "500": "HTTP/1.1 500 Internal Server Error", "200": "HTTP/1.1 200 OK",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, ctx := newTestClient(t)
			addr := startRawTarget(t, func(conn net.Conn) bool {
				_, _ = fmt.Fprintf(conn, "%s\r\nContent-Length: %d\r\n\r\n%s", head, len(text), text)
				return true
			})
			prompt := engine.CompletionRequest{Attempt: "one", ResumeOffset: 7}
			forwarded, err := client.Stream(ctx, addr, prompt, true, clock.Second, func(engine.Load) {}, func(engine.Frame) error {
				t.Error("a frame was forwarded")
				return nil
			})
			is.True(err != nil)
			is.Equal(forwarded, 0)
		})
	}
}

// Guards against: a target stops inside the head of its answer and closes, and the answer counts as whole.
func TestCutHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 31\r\n\r\n"
	is := is.New(t)
	client, ctx := newTestClient(t)
	var length atomic.Int64
	addr := startRawTarget(t, func(conn net.Conn) bool {
		_, _ = conn.Write([]byte(head[:length.Load()]))
		return false
	})
	for n := range len(head) + 1 {
		length.Store(int64(n))
		_, _, err := client.Act(ctx, addr, engine.ActRequest{Attempt: "one"})
		is.True(err != nil)
		_, err = client.Stream(ctx, addr, engine.CompletionRequest{Attempt: "one"}, false, clock.Second, func(engine.Load) {}, func(engine.Frame) error { return nil })
		is.True(err != nil)
		is.True(client.Reserve(ctx, addr, engine.Reservation{}) != nil || n == len(head))
	}
}
