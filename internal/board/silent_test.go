package board

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: a target that was silent for a second is left out for eight, as several requests did not reach it meanwhile.
func TestUnreachableAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 0)[0]
	var placed []*Placement
	for range 8 {
		placed = append(placed, placeOn(t, b, Requirements{Service: "desk"}, "plain-0"))
	}
	for _, p := range placed {
		p.End(Unreachable)
	}
	time.Sleep(ejectTime.Duration() + 200*time.Millisecond)
	b.Loop.Call(func() { is.True(b.targets["plain-0"].usable(clock.Now())) })
}
