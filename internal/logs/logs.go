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
	queueLines = 2048
	batchBytes = 32 << 10
	// LinesPerSecond is the most lines of one kind that are written in a second.
	LinesPerSecond = 400
)

var (
	droppedFull = metrics.GetOrCreateCounter(`pier_log_lines_left_out_total{reason="queue_full"}`)
	droppedRate = metrics.GetOrCreateCounter(`pier_log_lines_left_out_total{reason="rate"}`)
)

// Queue is a writer that never blocks: lines that find it full are counted and left out.
type Queue struct {
	Out   io.Writer
	lines chan []byte
}

// NewQueue returns a queue whose lines Run writes to out.
func NewQueue(out io.Writer) *Queue { return &Queue{Out: out, lines: make(chan []byte, queueLines)} }

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		droppedFull.Inc()
	}
	return len(line), nil
}

// Run writes lines until the context ends; those that wait together are written together.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			q.drain(nil)
			return
		case line := <-q.lines:
			q.drain(line)
		}
	}
}

// drain writes a line and those that wait behind it.
func (q *Queue) drain(batch []byte) {
	for {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
			if len(batch) < batchBytes {
				continue
			}
		default:
		}
		if len(batch) == 0 {
			return
		}
		if _, err := q.Out.Write(batch); err != nil {
			droppedFull.Inc() // nobody reads; there is nowhere else to say so
		}
		batch = batch[:0]
	}
}

// Handler bounds how often each kind of line is written.
type Handler struct {
	slog.Handler
	kinds *kinds
}

// kinds counts lines by message in the present second.
type kinds struct {
	mu     sync.Mutex
	second int64
	count  map[string]int
}

// NewHandler returns a handler of JSON lines.
func NewHandler(out io.Writer, level slog.Level) *Handler {
	return &Handler{
		Handler: slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}),
		kinds:   &kinds{count: make(map[string]int)},
	}
}

// Handle writes a record unless its kind was written too often in this second.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	allowed, left := h.kinds.admit(r.Time, r.Message)
	for message, n := range left {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		note.AddAttrs(slog.String("kind", message), slog.Int("count", n))
		if err := h.Handler.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !allowed {
		droppedRate.Inc()
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds attributes and shares the bounds.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), kinds: h.kinds}
}

// WithGroup returns a handler that opens a group and shares the bounds.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), kinds: h.kinds}
}

// admit counts a line; when a second is over it returns how many lines of each kind were left out in it.
func (k *kinds) admit(at time.Time, message string) (bool, map[string]int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var left map[string]int
	if second := at.Unix(); second != k.second {
		for kind, n := range k.count {
			if n > LinesPerSecond {
				if left == nil {
					left = make(map[string]int)
				}
				left[kind] = n - LinesPerSecond
			}
		}
		k.second = second
		clear(k.count)
	}
	k.count[message]++
	return k.count[message] <= LinesPerSecond, left
}
