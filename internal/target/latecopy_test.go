package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/engine"
)

// A target sends a second copy of an answer when the next request arrives on the same connection. The next caller gets its
// own answer: a reservation that was refused does not count as made because the one before was.
func TestLateCopy(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	granted := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	refused := "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	go func() {
		answered := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			requests := bufio.NewReader(conn)
			for copies := 0; ; copies++ {
				request, err := http.ReadRequest(requests)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if copies > 0 {
					_, _ = conn.Write([]byte(granted)) // the second copy
				}
				answer := granted
				if answered > 0 {
					answer = refused
				}
				answered++
				_, _ = conn.Write([]byte(answer))
			}
			_ = conn.Close()
		}
	}()
	client := &Client{}
	client.Init()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(client.Reserve(ctx, listener.Addr().String(), engine.Reservation{}))
	is.True(client.Reserve(ctx, listener.Addr().String(), engine.Reservation{}) != nil)
}
