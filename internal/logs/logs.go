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
	// MaxLinesPerSecond is the most lines of one kind that are written in a second.
	MaxLinesPerSecond = 400
)

var (
	droppedQueueFull = metrics.GetOrCreateCounter(`pier_log_lines_left_out_total{reason="queue_full"}`)
	droppedRateLimit = metrics.GetOrCreateCounter(`pier_log_lines_left_out_total{reason="rate"}`)
)

// Queue is a writer that never blocks: lines that find it full are counted and left out.
type Queue struct {
	Output io.Writer
	lines  chan []byte
}

// NewQueue returns a queue whose lines Run writes to out.
func NewQueue(out io.Writer) *Queue {
	return &Queue{Output: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		droppedQueueFull.Inc()
	}
	return len(line), nil
}

// Run writes lines until the context ends; those that wait together are written together.
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

// writeQueued writes a line and those that wait behind it.
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
			droppedQueueFull.Inc() // nobody reads; there is nowhere else to say so
		}
		batch = batch[:0]
	}
}

// Handler bounds how often each kind of line is written.
type Handler struct {
	slog.Handler
	limiter *rateLimiter
}

// rateLimiter counts lines by message in the present second.
type rateLimiter struct {
	mu     sync.Mutex
	second int64
	count  map[string]int
}

// NewHandler returns a handler of JSON lines.
func NewHandler(out io.Writer, level slog.Level) *Handler {
	return &Handler{
		Handler: slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}),
		limiter: &rateLimiter{count: make(map[string]int)},
	}
}

// Handle writes a record unless its kind was written too often in this second.
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

// WithAttrs returns a handler that adds attributes and shares the bounds.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup returns a handler that opens a group and shares the bounds.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}

// admit counts a line; when a second is over it returns how many lines of each kind were left out in it.
func (l *rateLimiter) admit(at time.Time, message string) (bool, map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var suppressed map[string]int
	if second := at.Unix(); second != l.second {
		for kind, n := range l.count {
			if n > MaxLinesPerSecond {
				if suppressed == nil {
					suppressed = make(map[string]int)
				}
				suppressed[kind] = n - MaxLinesPerSecond
			}
		}
		l.second = second
		clear(l.count)
	}
	l.count[message]++
	return l.count[message] <= MaxLinesPerSecond, suppressed
}
