package flow

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/route"
	"github.com/corianderpier/corianderpier/internal/target"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// newPrompts returns a Prompts with one fake engine, and a channel of the IDs of the holdings that it releases.
func newPrompts(t *testing.T) (*Prompts, *fake.Engine, chan string) {
	t.Helper()
	e := fake.NewEngine("engine-0")
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	cfg := config.Config{Services: []config.Service{{Name: "models", Kind: config.Engine, SlotsPerTarget: 8, LongPromptTokens: 50_000, LongMemoryPercent: 70, MemoryTokens: 400_000}}}
	view := member.View{Members: []member.Member{{Name: "entry-0", FirstIncarnation: 1}}}
	policy, _ := route.PolicyNamed("balanced")
	targetClient := &target.Client{}
	targetClient.Init()
	table := &route.Table{
		Loop: loop.New(), Policy: policy, Self: "entry-0",
		Config: func() config.Config { return cfg }, View: func() member.View { return view },
	}
	table.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = table.Loop.Run(ctx) }()
	go func() { _ = table.Run(ctx) }()
	addr := strings.TrimPrefix(server.URL, "http://")
	table.ReplaceTargets(roster.Roster{Targets: []roster.Target{{ID: "engine-0", Service: "models", Addr: addr, State: roster.Live}}})
	released := make(chan string, 16)
	p := &Prompts{
		Owner: "entry-0/1", Table: table, TargetClient: targetClient,
		Config: table.Config, View: table.View, ReleaseHolding: func(_, id string) { released <- id },
	}
	return p, e, released
}

func testJob() Job {
	return Job{
		ID: "r", Customer: config.Customer{Name: "importer", Weight: 1}, Body: "prompt", PromptTokens: 10, MaxOutputTokens: 20,
		Profile: config.Profile{Name: "status", Service: "models"}, Deadline: clock.Now() + 5*clock.Second,
	}
}

// When a caller disconnects, so that emit returns an error, the request ends at once and releases its memory on the
// engine. The failure does not count against the engine.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	p, _, released := newPrompts(t)
	start := time.Now()
	frames := 0
	err := p.Run(context.Background(), testJob(), func(wire.Frame) error {
		frames++
		return eris.New("connection reset")
	})
	reason, _ := FailureOf(err)
	is.Equal(reason, wire.ReasonCallerGone)
	is.Equal(frames, 1) // no resume and no further attempt
	is.Equal(<-released, "r-1")
	is.True(time.Since(start) < time.Second)
	is.NoErr(p.Run(context.Background(), testJob(), func(wire.Frame) error { return nil }))
}

// When an engine's connection breaks in the middle of an answer, the answer is resumed at its offset, so that the caller
// gets each byte once.
func TestResume(t *testing.T) {
	is := is.New(t)
	p, e, _ := newPrompts(t)
	e.SetFault(fake.EngineFault{CutAfter: 3, MaxRequests: 1})
	text := ""
	err := p.Run(context.Background(), testJob(), func(f wire.Frame) error {
		is.Equal(f.Offset, len(text))
		text += f.Text
		return nil
	})
	is.NoErr(err)
	is.Equal(text, fake.CompletionText("prompt", 20))
}
