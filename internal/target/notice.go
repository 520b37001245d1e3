package target

import (
	"log/slog"
	"math"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
)

const (
	maxQuiet       = 10 * clock.Minute // for which a target may ask not to be sent requests; a longer time counts as this
	maxLoggedBytes = 64                // of a header that cannot be understood
)

// parseNotice returns what a target says of itself in an answer.
func parseNotice(resp *http.Response) engine.Notice {
	n := engine.Notice{Leaving: resp.Header.Get(engine.HeaderLeaving) != ""}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return n
	}
	for _, value := range resp.Header.Values(engine.HeaderRetryAfter) {
		n.Quiet = max(n.Quiet, parseQuiet(value))
	}
	return n
}

// parseQuiet returns the time in a Retry-After header, which is in seconds, or zero if it cannot be understood.
func parseQuiet(value string) clock.Millis {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		metrics.GetOrCreateCounter(`pier_target_invalid_headers_total{header="` + engine.HeaderRetryAfter + `"}`).Inc()
		slog.Info("header of a target not understood", "header", engine.HeaderRetryAfter, "value", value[:min(len(value), maxLoggedBytes)])
		return 0
	}
	return clock.Millis(math.Ceil(min(seconds, maxQuiet.Seconds()) * float64(clock.Second)))
}
