package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	maxQueuedLines = 2048
	maxBatchBytes  = 32 << 10
	// MaxLinesPerSecond limits the lines with the same message.
	MaxLinesPerSecond = 400
)

var (
	droppedQueueFull = metrics.GetOrCreateCounter(`pier_log_lines_left_out_total{reason="queue_full"}`)
	droppedRateLimit = metrics.GetOrCreateCounter(`pier_log_lines_left_out_total{reason="rate"}`)
)

// Queue is a writer that never blocks: it drops and counts lines while it is full.
type Queue struct {
	Output io.Writer
	lines  chan []byte
}

// NewQueue returns a queue from which Run writes to out.
func NewQueue(out io.Writer) *Queue {
	return &Queue{Output: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues one line, or drops it if the queue is full.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		droppedQueueFull.Inc()
	}
	return len(line), nil
}

// Run writes queued lines in batches until the context ends, and then those that are still queued.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			q.writeQueued(nil)
			return
		case line := <-q.lines:
			q.writeQueued(line)
		}
	}
}

// writeQueued writes batch and all queued lines, in batches of about maxBatchBytes.
func (q *Queue) writeQueued(batch []byte) {
	for {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
			if len(batch) < maxBatchBytes {
				continue
			}
		default:
		}
		if len(batch) == 0 {
			return
		}
		if _, err := q.Output.Write(batch); err != nil {
			droppedQueueFull.Inc() // the log itself cannot report this
		}
		batch = batch[:0]
	}
}

// Handler is a slog handler that limits the rate of lines with the same message.
type Handler struct {
	slog.Handler
	limiter *rateLimiter
}

// rateLimiter counts lines by message within the current second.
type rateLimiter struct {
	mu     sync.Mutex
	second int64
	count  map[string]int
}

// NewHandler returns a handler that writes JSON lines to out.
func NewHandler(out io.Writer, level slog.Level) *Handler {
	return &Handler{
		Handler: slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}),
		limiter: &rateLimiter{count: make(map[string]int)},
	}
}

// Handle writes a record unless its message has reached the limit of this second. In a new second it first reports the
// lines dropped in the last one.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	allowed, suppressed := h.limiter.admit(r.Time, r.Message)
	for message, n := range suppressed {
		notice := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		notice.AddAttrs(slog.String("kind", message), slog.Int("count", n))
		if err := h.Handler.Handle(ctx, notice); err != nil {
			return err
		}
	}
	if !allowed {
		droppedRateLimit.Inc()
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds attributes and shares the rate limit.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup returns a handler that opens a group and shares the rate limit.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}

// admit counts a line and reports whether it may be written. The first call in a new second also returns how many lines
// of each message were dropped in the last one.
func (l *rateLimiter) admit(at time.Time, message string) (bool, map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var suppressed map[string]int
	if second := at.Unix(); second != l.second {
		for msg, n := range l.count {
			if n > MaxLinesPerSecond {
				if suppressed == nil {
					suppressed = make(map[string]int)
				}
				suppressed[msg] = n - MaxLinesPerSecond
			}
		}
		l.second = second
		clear(l.count)
	}
	l.count[message]++
	return l.count[message] <= MaxLinesPerSecond, suppressed
}
