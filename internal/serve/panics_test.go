package serve

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against: a handler panics, its caller gets no answer, and the log does not say so.
func TestPanicLogged(t *testing.T) {
	for name, c := range map[string]struct {
		panics any
		logged bool
	}{"fault": {"index out of range", true}, "aborted on purpose": {http.ErrAbortHandler, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			before := slog.Default()
			slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
			defer slog.SetDefault(before)
			defer func() {
				is.Equal(recover(), c.panics) // the server has to close the connection
				is.Equal(strings.Contains(out.String(), "index out of range"), c.logged)
			}()
			logPanics(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(c.panics) })).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/", nil))
		})
	}
}
