package serve

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// lockedBuffer is a buffer for logs of several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(data)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// Guards against: a connection is closed after bytes of a request have come, and nothing tells that its caller gets no answer.
func TestUnhandledRequestLogged(t *testing.T) {
	for name, c := range map[string]struct {
		sent, reason string
		close        bool
	}{
		"whole request":       {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "", false},
		"no request":          {"", "", false},
		"part, then silence":  {"GET / HT", "timeout", false},
		"part, caller leaves": {"GET / HT", "caller", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := &lockedBuffer{}
			before := slog.Default()
			slog.SetDefault(slog.New(slog.NewTextHandler(out, nil)))
			defer slog.SetDefault(before)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			go func() {
				_ = server.Serve(WithLimits(l, server, func() Timeouts { return Timeouts{Header: 200, Idle: 200} }, Limits{}))
			}()
			defer func() { _ = server.Close() }()
			conn, roundTrip := dial(t, l.Addr().String())
			is.NoErr(roundTrip())
			_, err = io.WriteString(conn, c.sent)
			is.NoErr(err)
			if c.close {
				is.NoErr(conn.Close())
			}
			_ = clock.Sleep(t.Context(), 700)
			logged := strings.Contains(out.text(), "not handled")
			is.Equal(logged, c.reason != "")
			is.True(!logged || strings.Contains(out.text(), "reason="+c.reason))
		})
	}
}
