package logs

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is an output whose reader has stopped, such as a full pipe: Write blocks forever.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Logging to an output that blocks must not block the code that logs, also once the queue is full.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	q := NewQueue(blockedWriter{})
	go q.Run(context.Background())
	log := slog.New(NewHandler(q, slog.LevelInfo))
	start := time.Now()
	for i := range 3 * maxQueuedLines {
		log.Info("kind "+string(rune('a'+i%26)), "n", i)
	}
	is.True(time.Since(start) < 2*time.Second)
}

type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Lines with the same message are limited, the number of dropped ones is logged in the next second, and lines with other
// messages are still written.
func TestRateLimitPerMessage(t *testing.T) {
	is := is.New(t)
	var out buffer
	h := NewHandler(&out, slog.LevelInfo)
	at := time.Unix(1_000_000, 0)
	log := func(message string) {
		is.NoErr(h.Handle(context.Background(), slog.NewRecord(at, slog.LevelInfo, message, 0)))
	}
	for range MaxLinesPerSecond + 7 {
		log("request")
	}
	log("instance started")
	at = at.Add(time.Second)
	log("request")
	text := out.String()
	is.Equal(strings.Count(text, `"msg":"request"`), MaxLinesPerSecond+1)
	is.Equal(strings.Count(text, "instance started"), 1)
	is.True(strings.Contains(text, `"kind":"request","count":7`))
}

// Run writes the lines that are still queued when its context ends.
func TestQueuedLinesAreFlushed(t *testing.T) {
	is := is.New(t)
	var out buffer
	q := NewQueue(&out)
	ctx, cancel := context.WithCancel(context.Background())
	for range 100 {
		_, _ = q.Write([]byte("line\n"))
	}
	cancel()
	q.Run(ctx)
	is.Equal(strings.Count(out.String(), "line"), 100)
}
