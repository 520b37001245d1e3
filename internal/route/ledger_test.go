package route

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

func testMemoryRequest(tokens int) MemoryRequest {
	return MemoryRequest{ID: "long", Owner: "entry-0/1", Service: "models", Tokens: tokens, MaxOutputTokens: 100, Deadline: clock.Now() + 5*clock.Second}
}

// A home that has just started has no list of targets. It must not refuse a prompt as too large for them, but wait for
// the list and grant then.
func TestLedgerBeforeTargetList(t *testing.T) {
	is := is.New(t)
	table, ledger := newTestTable(t, 0)
	granted := make(chan Grant, 1)
	go func() {
		g, err := ledger.Reserve(context.Background(), testMemoryRequest(100_000))
		if err != nil {
			t.Error(err)
		}
		granted <- g
	}()
	time.Sleep(50 * time.Millisecond)
	table.ReplaceTargets(testRoster(2))
	g := <-granted
	is.Equal(g.Reason, wire.Reason(""))
	is.Equal(len(g.Allocations), 1)
}

// Engines that are ejected for a while count when a prompt is compared with the memory of all engines: it waits for them
// instead of being refused.
func TestLedgerWithEjectedEngines(t *testing.T) {
	is := is.New(t)
	table, ledger := newTestTable(t, 2)
	table.Loop.Call(func() {
		for _, ts := range table.targets {
			ts.ejectedUntil = clock.Now() + 300*clock.Millis(1)
		}
	})
	g, err := ledger.Reserve(context.Background(), testMemoryRequest(100_000))
	is.NoErr(err)
	is.Equal(g.Reason, wire.Reason(""))
}

// A prompt that is larger than the memory of all engines together is refused at once, not at its deadline.
func TestLedgerNeverFits(t *testing.T) {
	is := is.New(t)
	_, ledger := newTestTable(t, 2)
	start := clock.Now()
	g, err := ledger.Reserve(context.Background(), testMemoryRequest(500_000))
	is.NoErr(err)
	is.Equal(g.Reason, wire.ReasonNeverFits)
	is.True(clock.Now()-start < clock.Second)
}
