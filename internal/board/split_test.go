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
	is.True(p.PartMemory > 0)
	is.True(p.PartMemory*(1+len(p.Helpers)) >= 900_000-len(p.Helpers))
	is.True(p.PartMemory <= testEngine.Memory)
	is.Equal(len(p.Leased()), 1+len(p.Helpers)) // no part waits for memory
	is.Equal(p.Leased()[0].ID, p.Target.ID)
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
