package sweep

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/roster"
)

// late is an engine at which a prompt arrives some time after it was sent.
type late struct {
	mu   sync.Mutex
	held bool
}

func (l *late) arrive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
}

func (l *late) release(context.Context, string, string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	return nil
}

func (l *late) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// A prompt whose caller left while it was sent reaches its engine after its release: the memory is released all the same.
func TestReleaseOvertakesPrompt(t *testing.T) {
	is := is.New(t)
	engine := &late{}
	s := &Sweeper{
		Release: engine.release, View: func() member.View { return member.View{} },
		Targets: func() []roster.Target { return nil },
	}
	s.Init()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	s.Free("engine", "prompt")
	_ = clock.Sleep(ctx, 500)
	engine.arrive()
	deadline := clock.Now() + 10*clock.Second
	for engine.holds() && clock.Now() < deadline {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!engine.holds())
	is.Equal(s.Pending(), 0)
	for s.known() > 0 && clock.Now() < deadline {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.known(), 0) // it is not repeated for ever
}

func (s *Sweeper) known() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}
