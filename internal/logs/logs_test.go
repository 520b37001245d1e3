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

// stuck is an output that nobody reads.
type stuck struct{}

func (stuck) Write([]byte) (int, error) { select {} }

// An output that nobody reads stalls nothing.
func TestStuckOutput(t *testing.T) {
	is := is.New(t)
	q := NewQueue(stuck{})
	go q.Run(context.Background())
	log := slog.New(NewHandler(q, slog.LevelInfo))
	began := time.Now()
	for i := range 3 * queueLines {
		log.Info("kind "+string(rune('a'+i%26)), "n", i)
	}
	is.True(time.Since(began) < 2*time.Second)
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

// A kind of line is written at a bounded rate, what was left out is told, and other kinds are not held back.
func TestRateOfKind(t *testing.T) {
	is := is.New(t)
	var out buffer
	h := NewHandler(&out, slog.LevelInfo)
	at := time.Unix(1_000_000, 0)
	say := func(message string) {
		is.NoErr(h.Handle(context.Background(), slog.NewRecord(at, slog.LevelInfo, message, 0)))
	}
	for range LinesPerSecond + 7 {
		say("request")
	}
	say("instance started")
	at = at.Add(time.Second)
	say("request")
	text := out.String()
	is.Equal(strings.Count(text, `"msg":"request"`), LinesPerSecond+1)
	is.Equal(strings.Count(text, "instance started"), 1)
	is.True(strings.Contains(text, `"kind":"request","count":7`))
}

// Lines that were queued are written before the end.
func TestWrittenAtEnd(t *testing.T) {
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
