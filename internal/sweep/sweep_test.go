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

// delayedEngine is a fake engine that a prompt reaches some time after it was sent.
type delayedEngine struct {
	mu   sync.Mutex
	held bool
}

func (e *delayedEngine) promptArrives() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = true
}

func (e *delayedEngine) release(context.Context, string, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = false
	return nil
}

func (e *delayedEngine) holdsMemory() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// The caller disconnects while its prompt is being sent, so that the release reaches the engine before the prompt does:
// the memory that the prompt then takes is released too.
func TestReleaseOvertakesPrompt(t *testing.T) {
	is := is.New(t)
	engine := &delayedEngine{}
	s := &Sweeper{
		Release: engine.release, View: func() member.View { return member.View{} },
		Targets: func() []roster.Target { return nil },
	}
	s.Init()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	s.ReleaseHolding("engine", "prompt")
	_ = clock.Sleep(ctx, 500)
	engine.promptArrives()
	deadline := clock.Now() + 10*clock.Second
	for engine.holdsMemory() && clock.Now() < deadline {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!engine.holdsMemory())
	is.Equal(s.PendingReleases(), 0)
	for s.knownReleases() > 0 && clock.Now() < deadline {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.knownReleases(), 0) // the release is not retried for ever
}

func (s *Sweeper) knownReleases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}
