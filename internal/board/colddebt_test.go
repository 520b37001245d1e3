package board

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: an instance that counts many placements of others on a target that it takes for cold, as it has missed that the target
// is warm, sends nothing there for minutes, and so gets no answer that would tell it.
func TestColdDebtOfOthersBounded(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	b := newColdBoard(t)
	applyList(b, now, coldDesk(1, clock.Minute)...)
	s := b.targets["plain-0"]
	for range 5000 {
		b.chargeCold(now, s, false)
	}
	ok, wait := b.coldAllows(now, s)
	is.True(!ok)
	is.True(wait <= 2*clock.Second)
	ok, _ = b.coldAllows(now+2*clock.Second, s)
	is.True(ok)
}

// Guards against: after a restart, when each engine might be cold, no long prompt is divided among engines.
func TestEnginesThatMightBeColdHelp(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	b := newColdBoard(t)
	var warm, cold Target
	warm = Target{ID: "engine-0", Service: "models", Zone: "a", Slots: 16, Born: 1}
	cold = warm
	cold.ID, cold.WarmupLeft = "engine-1", clock.Minute
	other := warm
	other.ID = "engine-2"
	applyList(b, now, warm, cold, other)
	for _, s := range b.targets {
		s.cold.limited = true // as of the last check
	}
	ranked := rankHelpers(now, long, []*targetState{b.targets["engine-1"], b.targets["engine-2"]}, 2, 0, b.targets["engine-0"])
	is.Equal(len(ranked), 1)
	is.Equal(ranked[0].ID, "engine-2")
}

// Guards against: when hundreds of targets start at once, each instance of the cell tells all others of each of them.
func TestColdEntriesToldByOne(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	told := 0
	for n := range 24 {
		b := newIdleBoard(fmt.Sprintf("entry-%d", n))
		b.Monitors = func(string) bool { return n == 0 }
		b.Broadcast = func([]byte) { told++ }
		applyList(b, now)
		applyList(b, now, coldDesk(1, clock.Second)...)
		b.broadcastCold(now, false)
		b.flush()
	}
	is.Equal(told, 1)
}
