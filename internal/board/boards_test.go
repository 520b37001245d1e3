package board

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/model"
)

var testEngine = model.Engine{
	Slots: 16, Memory: 405_000, StepTime: 1.31, SequenceTime: 0.000917, ContextTime: 0.00213,
	PrefillRate: 154, AttentionTime: 0.162, ChunkTokens: 2048, StepsPerPass: 34,
}

// The classes of prompts in the users' specification.
var (
	short  = Requirements{Service: "models", PromptTokens: 4960, MaxOutputTokens: 1300, FirstEventSLO: 300, EventGapSLO: 250}
	medium = Requirements{Service: "models", PromptTokens: 45_000, MaxOutputTokens: 780, FirstEventSLO: 1500, EventGapSLO: 600}
	long   = Requirements{Service: "models", PromptTokens: 182_000, MaxOutputTokens: 650, FirstEventSLO: 3000, EventGapSLO: 1000}
)

// testEngines is the model of the engines of the service models; other services are plain.
func testEngines(service string) (model.Engine, bool) { return testEngine, service == "models" }

// inFlight counts datagrams that are sent and not yet with the loop of their receiver.
var inFlight atomic.Int64

// newBoards returns the boards of several instances that share targets; each broadcast reaches all others.
func newBoards(t testing.TB, instances, engines int) []*Board {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	boards := make([]*Board, instances)
	for i := range boards {
		boards[i] = &Board{
			Self: fmt.Sprintf("entry-%d", i), Zone: "a", Loop: loop.New(),
			Engine: testEngines,
		}
		boards[i].Broadcast = func(data []byte) {
			for j, other := range boards {
				if j != i {
					inFlight.Add(1)
					go func() {
						defer inFlight.Add(-1)
						other.Receive(data)
					}()
				}
			}
		}
		boards[i].Init()
	}
	var targets []Target
	for i := range engines {
		targets = append(targets, Target{ID: fmt.Sprintf("engine-%d", i), Service: "models", Zone: "a", Slots: 16})
	}
	for i := range 3 {
		targets = append(targets, Target{ID: fmt.Sprintf("plain-%d", i), Service: "desk", Zone: string(rune('a' + i)), Slots: 6})
	}
	for _, b := range boards {
		go func() { _ = b.Loop.Run(ctx) }()
		b.ReplaceTargets(targets, ListTrust{})
	}
	return boards
}

// place places a request with a deadline in 10 s, and fails the test if that is refused.
func place(t testing.TB, b *Board, r Requirements) *Placement {
	t.Helper()
	r.Deadline = clock.Now() + 10*clock.Second
	p, err := b.Place(r)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// placeOn places a request on a given engine, by excluding all others.
func placeOn(t *testing.T, b *Board, r Requirements, target string) *Placement {
	t.Helper()
	r.Exclude = make(map[string]bool)
	b.Loop.Call(func() {
		for id := range b.targets {
			r.Exclude[id] = id != target
		}
	})
	p := place(t, b, r)
	if p.Target.ID != target {
		t.Fatalf("placed on %s, want %s", p.Target.ID, target)
	}
	return p
}

// waitDelivered waits until the datagrams that were sent have arrived and the boards have applied them.
func waitDelivered(boards []*Board) {
	time.Sleep(20 * time.Millisecond)
	for inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	for _, b := range boards {
		b.Loop.Call(func() {})
	}
}
