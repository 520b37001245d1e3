package serve

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/quota"
)

const testHeadBytes = 16 << 10

// startLimited starts a server with limits and returns its address.
func startLimited(t *testing.T, limits Limits, idle clock.Millis, handler http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits.HeadBytes = func() int { return testHeadBytes }
	server := &http.Server{Handler: handler, MaxHeaderBytes: 256 << 10}
	timeouts := func() Timeouts { return Timeouts{Header: 2 * clock.Second, Idle: idle} }
	go func() { _ = server.Serve(WithLimits(l, server, timeouts, limits)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// statusOf sends a text and returns the status of the answer and whether it says when to retry.
func statusOf(t *testing.T, addr, text string) (status int, retry bool) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	go func() { _, _ = io.WriteString(c, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Retry-After") != ""
}

// waitForUse waits until so many bytes of an account are reserved.
func waitForUse(t *testing.T, a *quota.Account, bytes int64) {
	t.Helper()
	for range 500 {
		if a.Used() == bytes {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are reserved, not %d", a.Used(), bytes)
}

// Guards against: a head of the legal size is refused, one without an end is read on, or a refusal has no answer.
func TestHeadLimits(t *testing.T) {
	is := is.New(t)
	a := &quota.Account{Max: 8 << 20, Now: clock.Now}
	addr := startLimited(t, Limits{Account: a}, clock.Minute, func(http.ResponseWriter, *http.Request) {})
	start := "GET / HTTP/1.1\r\nHost: a\r\n"
	full := start + "X-A: " + strings.Repeat("b", testHeadBytes-len(start)-len("X-A: \r\n\r\n")) + "\r\n\r\n"
	status, _ := statusOf(t, addr, full)
	is.Equal(status, http.StatusOK)
	status, _ = statusOf(t, addr, start+strings.Repeat("X-A: b\r\n", testHeadBytes/4))
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	status, _ = statusOf(t, addr, start+"X-A: "+strings.Repeat("b", 2*testHeadBytes))
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	waitForUse(t, a, 0)

	a = &quota.Account{Max: 1 << 20, Now: clock.Now}
	addr = startLimited(t, Limits{Account: a}, clock.Minute, func(http.ResponseWriter, *http.Request) {})
	status, retry := statusOf(t, addr, start+strings.Repeat("a:\r\n", 3000)+"\r\n")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(retry)
	waitForUse(t, a, 0)
}

// Guards against: a limit on heads near the largest number overflows, and each head is refused.
func TestLargestHeadLimit(t *testing.T) {
	is := is.New(t)
	server, client := net.Pipe()
	defer func() { _ = client.Close() }()
	c := &timeoutConn{Conn: server, limits: Limits{HeadBytes: func() int { return math.MaxInt }}}
	defer func() { _ = server.Close() }()
	is.True(c.takeHead([]byte("GET / HTTP/1.1\r\n")))
}

// Guards against: a request is handled although there is no memory for its answer, or what it was refused stays reserved.
func TestRequestWithoutMemoryRefused(t *testing.T) {
	is := is.New(t)
	a := &quota.Account{Max: 128 << 10, Now: clock.Now}
	handled := make(chan struct{}, 1)
	limits := Limits{Account: a, RequestBytes: 256 << 10}
	addr := startLimited(t, limits, clock.Minute, func(http.ResponseWriter, *http.Request) { handled <- struct{}{} })
	status, retry := statusOf(t, addr, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(retry)
	is.Equal(len(handled), 0)
	waitForUse(t, a, 0)
}

// Guards against: a request that was read together with the one before it is not charged for its head.
func TestPipelinedHeadCharged(t *testing.T) {
	is := is.New(t)
	a := &quota.Account{Max: 32 << 20, Now: clock.Now}
	used := make(chan int64, 2)
	addr := startLimited(t, Limits{Account: a}, clock.Minute, func(http.ResponseWriter, *http.Request) { used <- a.Used() })
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	var lines strings.Builder
	for n := range 300 {
		fmt.Fprintf(&lines, "a%d:\r\n", n)
	}
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n"+lines.String()+"\r\n")
	is.NoErr(err)
	first, second := <-used, <-used
	is.True(second > first+250*headLineBytes)
	is.NoErr(c.Close())
	waitForUse(t, a, 0)
}

// Guards against: an answer that is not read keeps its connection for ever, or a slow reader loses its answer.
func TestAnswerNotRead(t *testing.T) {
	const size = 64 << 20 // more than the buffers of a connection take
	is := is.New(t)
	a := &quota.Account{Max: 8 << 20, Now: clock.Now}
	ended := make(chan error, 2)
	addr := startLimited(t, Limits{Account: a}, 500, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, size))
		ended <- err
	})
	for _, reads := range []bool{false, true} {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
		is.NoErr(err)
		if reads {
			time.Sleep(300 * time.Millisecond)
			n, err := io.Copy(io.Discard, c)
			is.NoErr(err)
			is.True(n > size)
		}
		is.Equal(<-ended == nil, reads)
		is.NoErr(c.Close())
	}
	waitForUse(t, a, 0)
}

// Guards against: silent connections keep others out, or a request in service is closed for them.
func TestConnectionsBounded(t *testing.T) {
	is := is.New(t)
	a := &quota.Account{Now: clock.Now}
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	addr := startLimited(t, Limits{Account: a, Gate: &quota.Gate{Max: 3}}, clock.Minute, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			started <- struct{}{}
			<-release
		}
	})
	long := make(chan int, 1)
	go func() {
		status, _ := statusOf(t, addr, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		long <- status
	}()
	<-started
	for range 10 {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
	}
	status, _ := statusOf(t, addr, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.Equal(status, http.StatusOK)
	close(release)
	is.Equal(<-long, http.StatusOK)
	waitForUse(t, a, 0) // silent ones are closed by the header timeout
}

// Guards against: a connection whose answer is not read keeps another one out, or one that is closed for another is counted as closed by
// its caller.
func TestClosedForOthers(t *testing.T) {
	is := is.New(t)
	a := &quota.Account{Now: clock.Now}
	addr := startLimited(t, Limits{Account: a, Gate: &quota.Gate{Max: 1}}, clock.Minute, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			_, _ = w.Write(make([]byte, 64<<20)) // more than the buffers of a connection take
		}
	})
	closed := metrics.GetOrCreateCounter(`pier_connections_closed_total{reason="files"}`)
	before := closed.Get()
	for _, text := range []string{"GET /long HTTP/1.1\r\nHost: a\r\n\r\n", ""} {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, text)
		is.NoErr(err)
		time.Sleep(300 * time.Millisecond) // after which the answer counts as one that is not read
	}
	status, _ := statusOf(t, addr, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.Equal(status, http.StatusOK) // in place of the silent one, which had taken the place of the one that does not read
	waitForUse(t, a, 0)
	is.Equal(closed.Get(), before+1) // without a request: the silent one
}

// Guards against: the body of a request that its handler does not read is waited for without end.
func TestUnreadBodyGivenUp(t *testing.T) {
	is := is.New(t)
	addr := startLimited(t, Limits{}, clock.Minute, func(http.ResponseWriter, *http.Request) {})
	began := time.Now()
	status, _ := statusOf(t, addr, "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
	is.Equal(status, http.StatusOK)
	is.True(time.Since(began) < 4*time.Second)
}
