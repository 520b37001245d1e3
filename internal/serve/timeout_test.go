package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// dial returns a connection, and a function that sends a request on it and reads the whole response.
func dial(t *testing.T, addr string) (net.Conn, func() error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	in := bufio.NewReader(c)
	return c, func() error {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		_, err = io.ReadAll(resp.Body)
		return err
	}
}

// closedAfter returns how long it takes until the server closes a connection.
func closedAfter(t *testing.T, c net.Conn) clock.Millis {
	t.Helper()
	start := clock.Now()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Fatal(err)
	}
	return clock.Now() - start
}

// Timeouts that change while the server runs must apply to connections that are already open, and must not replace the
// deadline that a handler sets for a body.
func TestTimeoutsChange(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var timeouts atomic.Pointer[Timeouts]
	timeouts.Store(&Timeouts{Header: 5 * clock.Second, Idle: 300})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out := http.NewResponseController(w)
		is.NoErr(out.SetReadDeadline(time.Now().Add(time.Minute)))
		is.NoErr(out.SetReadDeadline(time.Time{}))
	})}
	go func() { _ = server.Serve(WithLimits(l, server, func() Timeouts { return *timeouts.Load() }, Limits{})) }()
	t.Cleanup(func() { _ = server.Close() })

	c, roundTrip := dial(t, l.Addr().String())
	is.NoErr(roundTrip())
	took := closedAfter(t, c)
	is.True(took >= 250 && took < 1500)

	c, roundTrip = dial(t, l.Addr().String())
	is.NoErr(roundTrip())
	timeouts.Store(&Timeouts{Header: 400, Idle: 2 * clock.Second})
	is.NoErr(roundTrip())
	time.Sleep(time.Second) // longer than the first idle timeout
	is.NoErr(roundTrip())
	_, err = io.WriteString(c, "GET / HT")
	is.NoErr(err)
	took = closedAfter(t, c)
	is.True(took >= 300 && took < 1500) // the header is incomplete: the new header timeout applies
}

// Guards against: the idle timeout rises, and a connection that was idle before is closed by the old one while its caller, who knows the
// new one, sends a request on it.
func TestIdleTimeoutRises(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var timeouts atomic.Pointer[Timeouts]
	timeouts.Store(&Timeouts{Header: 300, Idle: 400})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(WithLimits(l, server, func() Timeouts { return *timeouts.Load() }, Limits{})) }()
	t.Cleanup(func() { _ = server.Close() })
	c, roundTrip := dial(t, l.Addr().String())
	is.NoErr(roundTrip())
	timeouts.Store(&Timeouts{Header: 300, Idle: 1200})
	time.Sleep(800 * time.Millisecond)
	is.NoErr(roundTrip())
	_, err = io.WriteString(c, "GET / HT")
	is.NoErr(err)
	took := closedAfter(t, c)
	is.True(took >= 200 && took < 1000) // the limit for a header stays as it is
}
