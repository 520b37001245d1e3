package route

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

func testConfig() config.Config {
	return config.Config{Services: []config.Service{
		{Name: "models", Kind: config.Engine, SlotsPerTarget: 4, LongPromptTokens: 50_000, LongMemoryPercent: 50, MemoryTokens: 400_000},
	}}
}

// newTestTable returns a running table with the given number of engines, and a ledger over it.
func newTestTable(t testing.TB, engines int) (*Table, *Ledger) {
	t.Helper()
	view := member.View{Members: []member.Member{{Name: "entry-0", FirstIncarnation: 1}}}
	l := loop.New()
	policy, _ := PolicyNamed("balanced")
	table := &Table{Loop: l, Policy: policy, Self: "entry-0", Config: testConfig, View: func() member.View { return view }}
	table.Init()
	ledger := &Ledger{Loop: l, Table: table, Config: testConfig, View: func() member.View { return view }}
	ledger.Holdings = func(context.Context, string) ([]engine.Holding, error) { return nil, nil }
	ledger.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = l.Run(ctx) }()
	go func() { _ = table.Run(ctx) }()
	go func() { _ = ledger.Run(ctx) }()
	table.ReplaceTargets(testRoster(engines))
	return table, ledger
}

func testRoster(engines int) roster.Roster {
	var r roster.Roster
	for i := range engines {
		r.Targets = append(r.Targets, roster.Target{ID: fmt.Sprintf("engine-%d", i), Service: "models", State: roster.Live})
	}
	return r
}

func testRequest(customer string, timeLeft clock.Millis) Request {
	return Request{ID: "r", Service: "models", Customer: customer, Weight: 1, PromptTokens: 1000, MaxOutputTokens: 10, Deadline: clock.Now() + timeLeft}
}

// A target never has more requests than slots, and a released slot is used again.
func TestSlots(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(t, 1)
	var slots []*Slot
	for range 4 {
		slot, err := table.Acquire(context.Background(), testRequest("a", 2*clock.Second))
		is.NoErr(err)
		slots = append(slots, slot)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := table.Acquire(ctx, testRequest("a", 2*clock.Second))
	is.Equal(ReasonOf(err), wire.ReasonDeadline)
	slots[0].Release(true, false)
	_, err = table.Acquire(context.Background(), testRequest("a", 2*clock.Second))
	is.NoErr(err)
}

// A request that cannot finish by its deadline is refused at once, rather than after it waited.
func TestRefusedAtArrival(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(t, 1)
	r := testRequest("a", clock.Second)
	r.MaxOutputTokens = 1000
	start := time.Now()
	_, err := table.Acquire(context.Background(), r)
	is.Equal(ReasonOf(err), wire.ReasonOverload)
	is.True(time.Since(start) < 100*time.Millisecond)
}

// A target that is marked as leaving gets no requests, even if a later list has it as live.
func TestMarkLeaving(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(t, 2)
	table.Loop.Call(func() { table.MarkLeaving("engine-0") })
	table.ReplaceTargets(testRoster(2))
	for range 4 {
		slot, err := table.Acquire(context.Background(), testRequest("a", clock.Second))
		is.NoErr(err)
		is.Equal(slot.Target.ID, "engine-1")
	}
}

// While several customers wait, the tokens served to each are in proportion to its weight, whatever the size of its
// requests.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		weights := map[string]int{"a": 1, "b": rapid.IntRange(1, 5).Draw(t, "weight")}
		sizes := map[string]int{"a": rapid.IntRange(100, 5000).Draw(t, "a"), "b": rapid.IntRange(100, 5000).Draw(t, "b")}
		for name, weight := range weights {
			for range 400 {
				q.push(&waiter{Request: Request{Customer: name, Weight: weight, PromptTokens: sizes[name]}})
			}
		}
		served := make(map[string]int)
		for range 300 {
			w := q.pop(func(*waiter) bool { return true })
			served[w.Customer] += w.PromptTokens
			if len(q.customers["a"].waiting) == 0 || len(q.customers["b"].waiting) == 0 {
				return
			}
		}
		a, b := float64(served["a"]), float64(served["b"])/float64(weights["b"])
		if diff := a - b; diff > 10_001 || diff < -10_001 {
			t.Fatalf("served %v with weights %v", served, weights)
		}
	})
}

// A prompt that is too large for one engine is divided over several or gets no memory at all, and one that is too large
// for all of them is refused.
func TestSpreadPrompt(t *testing.T) {
	is := is.New(t)
	table, ledger := newTestTable(t, 4) // 200,000 tokens for long prompts on each
	table.Loop.Call(func() {})
	reserve := func(id string, tokens int, left clock.Millis) Grant {
		g, err := ledger.Reserve(context.Background(), MemoryRequest{
			ID: id, Owner: "entry-0/1", Service: "models", Tokens: tokens, MaxOutputTokens: 1, Deadline: clock.Now() + left,
		})
		is.NoErr(err)
		return g
	}
	first := reserve("first", 500_000, clock.Second)
	is.Equal(len(first.Allocations), 3)
	total := 0
	for _, a := range first.Allocations {
		is.True(a.Tokens <= 200_000)
		total += a.Tokens
	}
	is.Equal(total, 500_000)
	is.Equal(reserve("second", 500_000, 200).Reason, wire.ReasonDeadline) // it holds no memory while it waits
	is.Equal(len(reserve("third", 200_000, clock.Second).Allocations), 1)
	is.Equal(reserve("never", 900_000, clock.Second).Reason, wire.ReasonNeverFits)
	ledger.Release("models", 0, "first")
	is.Equal(len(reserve("again", 500_000, clock.Second).Allocations), 3)
}

// A grant expires some time after its owner has gone from the view, and its memory is granted again.
func TestGrantOfDeadOwner(t *testing.T) {
	is := is.New(t)
	_, ledger := newTestTable(t, 1)
	request := MemoryRequest{ID: "a", Owner: "entry-9/1", Service: "models", Tokens: 150_000, MaxOutputTokens: 1, Deadline: clock.Now() + clock.Minute}
	first, err := ledger.Reserve(context.Background(), request)
	is.NoErr(err)
	is.Equal(len(first.Allocations), 1)
	request.ID, request.Owner, request.Deadline = "b", "entry-0/1", clock.Now()+5*clock.Second
	start := time.Now()
	second, err := ledger.Reserve(context.Background(), request)
	is.NoErr(err)
	is.Equal(len(second.Allocations), 1)
	is.True(time.Since(start) > grantGrace.Duration())
}

// A home that stops waiting before the deadline, as at its shutdown, returns an error. A refusal for the deadline would
// make the caller give up instead of trying another home.
func TestReserveCancelled(t *testing.T) {
	is := is.New(t)
	_, ledger := newTestTable(t, 1)
	request := MemoryRequest{ID: "a", Owner: "entry-0/1", Service: "models", Tokens: 200_000, MaxOutputTokens: 1, Deadline: clock.Now() + clock.Minute}
	_, err := ledger.Reserve(context.Background(), request)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	request.ID = "b"
	_, err = ledger.Reserve(ctx, request)
	is.True(err != nil)
}
