package board

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/share"
)

// fillSlots places short prompts that have begun to be answered until one is refused, and returns the placements.
func fillSlots(t *testing.T, b *Board, most int) ([]*Placement, error) {
	t.Helper()
	var placed []*Placement
	for range most {
		p, err := b.Place(short)
		if err != nil {
			return placed, err
		}
		p.RecordFirstEvent()
		placed = append(placed, p)
	}
	return placed, nil
}

// Pattern: for seconds, more short prompts arrive than there are slots for. Those that would be late are refused at once, so that the
// others are not: with a queue at the engines, nearly all would be a little late. Guards against refusals while slots are free.
func TestCrestBeyondSlots(t *testing.T) {
	is := is.New(t)
	const engines = 4
	b := newBoards(t, 1, engines)[0]
	placed, err := fillSlots(t, b, 3*engines*testEngine.Slots)
	var e *Error
	is.True(eris.As(err, &e))
	is.Equal(e.Kind, Scarce)
	is.True(len(placed) >= engines*testEngine.Slots) // nothing is refused while there is a free slot
	for _, p := range placed {
		is.True(p.PredictedFirstEvent <= short.FirstEventSLO*115/100)
	}
	for _, p := range placed[:testEngine.Slots] {
		p.End(Succeeded)
	}
	p, err := b.Place(short)
	is.NoErr(err) // an answer has ended, and its slot is free
	is.True(p.PredictedFirstEvent < short.FirstEventSLO)
}

// Slots have no price while some are free, also beside a long backlog of prefill. Guards against refusals for want of slots that are
// there.
func TestFreeSlotsCostNothing(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 4)[0]
	_, err := fillSlots(t, b, 2*testEngine.Slots)
	is.NoErr(err)
	var price float64
	b.Loop.Call(func() {
		targets, _ := b.eligibleTargets(clock.Now(), short, anyCell)
		price = slotPrice(targets)
	})
	is.Equal(price, 0.0)
}

// Guards against: engines without a limit of requests count as full as soon as one runs, so that what is late is refused there.
func TestNoSlotLimitIsNotScarce(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 1)[0]
	_, err := fillSlots(t, b, 2)
	is.NoErr(err)
	b.Loop.Call(func() {
		targets, _ := b.eligibleTargets(clock.Now(), short, anyCell)
		targets[0].schedule.Engine.Slots = 0
		is.Equal(scarcity(targets), 0.0)
	})
}

// Guards against: a request that is refused for want of slots counts as placed in its customer's share, so that one that is refused
// each time does not count as starved.
func TestScarceCountsAsRefused(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 2)
	weighted(boards, "importer", "desk")
	b := boards[0]
	b.Loop.Call(func() {
		now := clock.Now()
		for range 10 {
			req := short
			req.Customer = "importer"
			b.recordOffer(now, req, testEngine, admission{}, "")
			req.Customer = "desk"
			b.recordOffer(now, req, testEngine, admission{}, Scarce)
		}
		is.True(b.ledger(short.Service).Starved(share.CustomerOf("desk")))
		is.True(!b.ledger(short.Service).Starved(share.CustomerOf("importer")))
	})
}
