package flow

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
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
	released := make(chan string, 16)
	p := newPromptsOn(t, serveEngines(t, e))
	p.ReleaseHolding = func(_, id string) { released <- id }
	return p, e, released
}

// serveEngines starts servers and returns the targets engine-0, engine-1 and so on that they are.
func serveEngines(t *testing.T, handlers ...http.Handler) []roster.Target {
	t.Helper()
	var targets []roster.Target
	for n, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addr := strings.TrimPrefix(server.URL, "http://")
		targets = append(targets, roster.Target{ID: "engine-" + strconv.Itoa(n), Service: "models", Addr: addr, State: roster.Live})
	}
	return targets
}

// newPromptsOn returns a Prompts that uses the given targets.
func newPromptsOn(t *testing.T, targets []roster.Target) *Prompts {
	t.Helper()
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
	table.ReplaceTargets(roster.Roster{Targets: targets})
	return &Prompts{
		Owner: "entry-0/1", Table: table, TargetClient: targetClient,
		Config: table.Config, View: table.View,
	}
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

// Guards against: two prompts whose memory was granted by different homes, as the home of a cell moves, each hold a part of the
// engine that the other one waits for, until their deadlines.
func TestCrossedGrants(t *testing.T) {
	const ownPart, otherPart = 400_000, 200_000 // tokens; an engine has memory for the larger part alone
	is := is.New(t)
	var tries atomic.Int32
	reserved := make(chan struct{}) // closed when both prompts have tried to reserve memory; until then, no engine gets a prompt
	hold := func(e *fake.Engine) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == engine.PathCompletions {
				<-reserved
			}
			e.ServeHTTP(w, r)
			if r.URL.Path == engine.PathReservations && tries.Add(1) == 2 {
				close(reserved)
			}
		})
	}
	engines := map[string]*fake.Engine{"engine-0": fake.NewEngine("engine-0"), "engine-1": fake.NewEngine("engine-1")}
	targets := serveEngines(t, hold(engines["engine-0"]), hold(engines["engine-1"]))
	p := newPromptsOn(t, targets)
	p.ReleaseHolding = func(addr, id string) { _ = p.TargetClient.Release(context.Background(), addr, id) }
	p.ReleaseGrant = func(member.Member, route.MemoryRequest) {}
	p.RequestGrant = func(_ context.Context, _ member.Member, r route.MemoryRequest) (route.Grant, error) {
		first, second := targets[0], targets[1]
		if strings.HasPrefix(r.ID, "b") {
			first, second = second, first
		}
		return route.Grant{ID: r.ID, Allocations: []route.Allocation{
			{Target: first.ID, Addr: first.Addr, Tokens: ownPart}, {Target: second.ID, Addr: second.Addr, Tokens: otherPart},
		}}, nil
	}
	results := make(chan error, 2)
	for _, id := range []string{"a", "b"} {
		job := testJob()
		job.ID, job.PromptTokens, job.Deadline = id, ownPart+otherPart-job.MaxOutputTokens, clock.Now()+20*clock.Second
		go func() { results <- p.Run(context.Background(), job, func(wire.Frame) error { return nil }) }()
	}
	is.NoErr(<-results)
	is.NoErr(<-results)
	for _, e := range engines {
		is.Equal(len(e.Holdings()), 0)
	}
}
