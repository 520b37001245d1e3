package board

import (
	"testing"

	"github.com/matryer/is"
)

// Pattern: a prompt arrives that is more than twice what one engine's memory holds. It is split, and each engine keeps
// its part until the answer ends.
func TestMillionTokens(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 16)
	for range 8 {
		place(t, boards[0], short).RecordFirstEvent()
	}
	p := place(t, boards[0], Requirements{Service: "models", PromptTokens: 900_000, MaxOutputTokens: 600, FirstEventSLO: 3000, EventGapSLO: 1000})
	is.True(p.HelperMemory > 0)
	is.True(p.HelperMemory*(1+len(p.Helpers)) >= 900_000-len(p.Helpers))
	is.True(p.HelperMemory <= testEngine.Memory)
	is.True(1+len(p.Helpers) <= 12) // a quarter of the engines stays free for short prompts
	waitDelivered(boards)
	p.RecordFirstEvent()
	boards[0].Loop.Call(boards[0].flush)
	waitDelivered(boards)
	for _, b := range boards {
		held := 0
		b.Loop.Call(func() {
			for _, s := range b.targets {
				held += s.memoryHeld()
			}
		})
		is.True(held >= 900_000) // the parts stay in memory while the answer is generated
	}
	p.End(Succeeded)
	boards[0].Loop.Call(func() { is.True(boards[0].target(p.Target.ID).memoryHeld() < 100_000) })
	_, err := boards[0].Place(Requirements{Service: "models", PromptTokens: 8_000_000, MaxOutputTokens: 1, FirstEventSLO: 3000})
	is.True(err != nil) // more than all engines together hold
}

// Guards against: two instances that do not hear of each other split prompts over the same engines, and each prompt holds the
// memory that the other one waits for, until their deadlines.
func TestSplitPromptsWaitInOneOrder(t *testing.T) {
	is := is.New(t)
	req := Requirements{Service: "models", PromptTokens: 900_000, MaxOutputTokens: 600, FirstEventSLO: 3000, EventGapSLO: 1000}
	for range 20 {
		for _, b := range newBoards(t, 1, 16) {
			p := place(t, b, req)
			is.True(p.HelperMemory > 0)
			for _, h := range p.Helpers {
				is.True(h.ID < p.Target.ID)
			}
		}
	}
}
