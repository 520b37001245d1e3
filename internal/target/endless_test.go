package target

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
)

// endlessTarget answers each connection with a first part and then repeats a text until its caller closes. It returns its
// address and a channel that is closed when a connection was.
func endlessTarget(t *testing.T, first, text string) (string, <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	closed := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer close(closed)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte(first))
		for err == nil {
			_, err = conn.Write([]byte(text))
		}
	}()
	return listener.Addr().String(), closed
}

const (
	okHead     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	wholeReply = `{"attempt":"a","body":"done"}`
)

// Bytes without end that are no answer end the call with a closed connection, wherever in the answer they come.
func TestEndlessBytes(t *testing.T) {
	client := &Client{}
	client.Init()
	stream := func(ctx context.Context, addr string) error {
		_, err := client.Stream(ctx, addr, engine.CompletionRequest{Attempt: "a"}, false, 5*clock.Second,
			func(engine.Load) {}, func(engine.Frame) error { return nil })
		return err
	}
	act := func(ctx context.Context, addr string) error {
		_, _, err := client.Act(ctx, addr, engine.ActRequest{Attempt: "a"})
		return err
	}
	load := func(ctx context.Context, addr string) error {
		_, err := client.Load(ctx, addr)
		return err
	}
	for name, c := range map[string]struct {
		call        func(context.Context, string) error
		first, text string
	}{
		"header line":          {act, "HTTP/1.1 200 OK\r\nX-Line: ", "x"},
		"header lines":         {act, "HTTP/1.1 200 OK\r\n", "X-Line: x\r\n"},
		"interim answers":      {act, "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":                 {act, okHead, strings.Repeat("x", 4096)},
		"spaces after a reply": {act, okHead + wholeReply, strings.Repeat(" ", 4096)},
		"chunk extension":      {act, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
		"trailer":              {act, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n0\r\n", "X-T: x\r\n"},
		"line of a stream":     {stream, okHead, strings.Repeat("x", 4096)},
		"comments of a stream": {stream, okHead, ": waiting\n\n"},
		"empty lines":          {stream, okHead, "\n"},
		"frames without text":  {stream, okHead, "data: {\"attempt\":\"a\"}\n\n"},
		"load report":          {load, okHead, "{"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, closed := endlessTarget(t, c.first, c.text)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			is.True(c.call(ctx, addr) != nil)
			is.NoErr(ctx.Err()) // the call ended by itself
			select {
			case <-closed:
			case <-ctx.Done():
				t.Fatal("connection not closed")
			}
		})
	}
}
