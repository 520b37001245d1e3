package serve

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
)

// logPanics logs and counts panics of a handler, by which the server closes a connection without an answer. A handler that aborts an
// answer on purpose panics with http.ErrAbortHandler.
func logPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p != http.ErrAbortHandler {
				metrics.GetOrCreateCounter(`pier_handler_panics_total`).Inc()
				slog.Error("handler panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			}
			panic(p)
		}()
		next.ServeHTTP(w, r)
	})
}
