package board

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

// Guards against: some state of a fleet, small or large, ends the control loop or lets a request run on a target that must not get it
// (LOST).
func TestPlaceInAnyState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Now()
		b := newIdleBoard("entry-0")
		engine := drawEngine(t)
		b.Engine = func(service string) (model.Engine, bool) { return engine, service == "models" }
		engines := rapid.SampledFrom([]int{1, 2, maxParts, maxShortlist, maxShortlist + 1, 2 * maxShortlist}).Draw(t, "engines")
		applyList(b, now, engineTargets(engines, 0)...)
		now += clock.Second
		usual, other := drawState(t, "usual"), drawState(t, "other")
		others := rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "others")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for n := range engines {
			s := b.targets[fmt.Sprintf("engine-%d", n)]
			if random.Float64() < others {
				other(b, now, s)
				continue
			}
			usual(b, now, s)
		}
		for range rapid.IntRange(8, 24).Draw(t, "prompts") {
			p, err := b.place(now, drawPrompt(t))
			if err != nil {
				continue
			}
			for _, id := range append([]string{p.Target.ID}, p.HelperIDs()...) {
				if s := b.targets[id]; s.closed(now) {
					t.Fatalf("%s takes no requests", id)
				}
			}
			for _, h := range p.Helpers {
				if s := b.targets[h.ID]; s.limit.named || s.cold.isCold(now) || h.ID == p.Target.ID {
					t.Fatalf("%s cannot help", h.ID)
				}
			}
		}
	})
}

// drawEngine draws the capacity and speed of a service's engines, which a configuration may leave out.
func drawEngine(t *rapid.T) model.Engine {
	engine := testEngine
	if rapid.Bool().Draw(t, "unlimited") {
		engine.Slots = 0
	}
	switch rapid.IntRange(0, 3).Draw(t, "engine") {
	case 0:
		engine.Memory = 0
	case 1:
		engine.PrefillRate = 0
	case 2:
		engine = model.Engine{}
	}
	return engine
}

// drawState draws a change that brings a target into some state.
func drawState(t *rapid.T, label string) func(b *Board, now clock.Millis, s *targetState) {
	left := clock.Millis(rapid.IntRange(1, 5000).Draw(t, label+" left"))
	changes := []func(b *Board, now clock.Millis, s *targetState){
		func(*Board, clock.Millis, *targetState) {},
		func(b *Board, now clock.Millis, s *targetState) {
			b.prolongCold(now-clock.Second, s, fromEntry, left+clock.Second)
		},
		func(_ *Board, now clock.Millis, s *targetState) {
			perSecond := 100.0
			s.limit.set(now-clock.Second, &perSecond)
		},
		func(_ *Board, now clock.Millis, s *targetState) { s.ejectedUntil = now + left },
		func(_ *Board, now clock.Millis, s *targetState) { s.quietUntil = now + left },
		func(_ *Board, _ clock.Millis, s *targetState) { s.Draining = true },
		func(_ *Board, now clock.Millis, s *targetState) { s.evacuation = &evacuation{since: now} },
		func(_ *Board, now clock.Millis, s *targetState) {
			s.evacuation = &evacuation{since: now, doubtUntil: now + left}
		},
		func(b *Board, now clock.Millis, s *targetState) {
			b.addRequest(now, requestKey{"entry-1", uint64(len(b.requests))}, ActiveRequest{Target: s.ID, PromptTokens: 300_000, FirstEventSLO: 3000, Age: left})
		},
	}
	return rapid.SampledFrom(changes).Draw(t, label)
}

// drawPrompt draws a prompt, or a request without one.
func drawPrompt(t *rapid.T) Requirements {
	return Requirements{
		Service:         "models",
		PromptTokens:    rapid.SampledFrom([]int{0, 1, 4960, 45_000, 182_000, 900_000, 5_000_000, 1 << 40, math.MaxInt}).Draw(t, "tokens"),
		MaxOutputTokens: rapid.SampledFrom([]int{-1, 0, 1, 650, 500_000, math.MaxInt}).Draw(t, "output"),
		FirstEventSLO:   clock.Millis(rapid.SampledFrom([]int{0, 300, 3000}).Draw(t, "slo")),
		EventGapSLO:     clock.Millis(rapid.SampledFrom([]int{0, 250, 1000}).Draw(t, "gap")),
		Hedge:           rapid.Bool().Draw(t, "hedge"),
		Begun:           rapid.Bool().Draw(t, "begun"),
	}
}
