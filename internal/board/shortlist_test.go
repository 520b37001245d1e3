package board

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// engineTargets returns some engines that are cold for some time, or warm.
func engineTargets(count int, coldLeft clock.Millis) []Target {
	var targets []Target
	for n := range count {
		targets = append(targets, Target{
			ID: fmt.Sprintf("engine-%d", n), Service: "models", Zone: "a", Slots: 16, WarmupLeft: coldLeft, Born: 1,
		})
	}
	return targets
}

// nameLimits lets the engines of a board name a rate limit that leaves room for requests.
func nameLimits(b *Board, now clock.Millis) {
	perSecond := 100.0
	for _, s := range b.targets {
		s.limit.set(now, &perSecond)
	}
}

// Guards against: an instance ends by a panic when it places a long prompt and none of many engines can help, as all are cold or all
// name a rate limit (LOST).
func TestNoHelperAmongManyEngines(t *testing.T) {
	const engines = maxShortlist + 12
	for name, prepare := range map[string]func(now clock.Millis) *Board{
		"cold": func(now clock.Millis) *Board {
			b := newIdleBoard("entry-0")
			applyList(b, now, engineTargets(engines, 3*clock.Second)...)
			return b
		},
		"limited": func(now clock.Millis) *Board {
			b := newIdleBoard("entry-0")
			applyList(b, now, engineTargets(engines, 0)...)
			nameLimits(b, now)
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := clock.Now()
			b := prepare(now)
			p, err := b.place(now+clock.Second, long) // by then the rates leave room
			is.NoErr(err)
			is.Equal(len(p.Helpers), 0)
		})
	}
}
