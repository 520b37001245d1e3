package board

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: a service without a cold rate loses helpers, hedges or new placements because an entry or an answer of its targets
// names a cold time.
func TestServiceNeverCold(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	b := newIdleBoard("entry-0")
	b.Cold = func(string) ColdRate { return ColdRate{} }
	targets := coldDesk(2, 0)
	targets[0].WarmupLeft = clock.Minute
	for n := range 18 {
		targets = append(targets, Target{ID: fmt.Sprintf("engine-%d", n), Service: "models", Zone: "a", Slots: 16, WarmupLeft: clock.Minute, Born: 1})
	}
	applyList(b, now, targets...)
	perTarget := make(map[string]int)
	for range 12 {
		p, err := b.place(now, plain)
		is.NoErr(err)
		perTarget[p.Target.ID]++
	}
	is.Equal(perTarget["plain-0"], 6)
	hedge := plain
	hedge.Hedge = true
	for range 4 {
		p, err := b.place(now, hedge)
		is.NoErr(err)
		perTarget[p.Target.ID]++
	}
	is.Equal(perTarget["plain-0"], 8)
	huge := Requirements{Service: "models", PromptTokens: 900_000, MaxOutputTokens: 600, FirstEventSLO: 3000, EventGapSLO: 1000}
	p, err := b.place(now, huge)
	is.NoErr(err)
	is.True(len(p.Helpers) > 0)
	is.True(!b.targets["plain-0"].cold.announced)
}
