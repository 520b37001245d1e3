package board

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

const (
	idleBacklog  = 300 * clock.Millis(1)  // mean prefill backlog per engine up to which engine time is free
	fullBacklog  = 1500 * clock.Millis(1) // mean prefill backlog from which engine time costs maxTimePrice
	maxTimePrice = 20.0                   // value of a millisecond of engine time under full backlog, in tokens

	scarceSlots  = 0.95 // share of all slots in use from which they are scarce
	maxSlotPrice = 0.5  // price of a slot when all are in use, as a share of the value that requests get from their slots
)

// timePrice returns the value of a millisecond of engine time to other requests, in tokens; it grows with the prefill
// backlog.
func timePrice(targets []*targetState) float64 {
	total := 0.0
	for _, s := range targets {
		total += s.prefillBacklog()
	}
	mean := total / float64(len(targets))
	return maxTimePrice * min(1, max(0, mean-float64(idleBacklog))/float64(fullBacklog-idleBacklog))
}

// scarcity returns how scarce slots are: 0 while enough of them are free, and 1 when all are in use.
func scarcity(targets []*targetState) float64 {
	running, slots := 0, 0
	for _, s := range targets {
		if s.schedule.Engine.Slots <= 0 {
			return 0 // there is no limit
		}
		running += s.runningCount()
		slots += s.schedule.Engine.Slots
	}
	return above(float64(running)/float64(max(slots, 1)), scarceSlots)
}

// above returns by how much a part exceeds a limit, from 0 up to the limit to 1 for the whole.
func above(part, limit float64) float64 { return max(0, min(part, 1)-limit) / (1 - limit) }

// slotPrice returns the value of a slot for a millisecond to requests that are still to come, in tokens: nothing while slots are free,
// and a share of what the present requests get from their slots when all are in use. Then a request that would be late anyway
// leaves its slot to one that is not.
func slotPrice(targets []*targetState) float64 {
	scarce := scarcity(targets)
	if scarce == 0 {
		return 0
	}
	value, held := 0.0, 0.0
	for _, s := range targets {
		sequences, context := s.schedule.DecodingLoad()
		for _, a := range s.assignments {
			if a.isHelper() {
				continue
			}
			r := a.request
			value += r.value()
			held += slotTime(s.schedule.Engine, r.PromptTokens/(1+len(r.Helpers)), r.MaxOutputTokens, sequences, context)
		}
	}
	if held == 0 {
		return 0
	}
	return maxSlotPrice * scarce * value / held
}

// slotTime returns for how long a request holds a slot of an engine that decodes some sequences, in milliseconds.
func slotTime(e model.Engine, prompt, output, sequences, context int) float64 {
	return e.PrefillTime(prompt) + e.Passes(output)*e.DecodePassTime(sequences, context)
}

// slotCost returns the value of the slot that a request takes for as long as it holds it.
func slotCost(req Requirements, engine model.Engine, targets []*targetState, chosen choice) float64 {
	price := slotPrice(targets)
	if price == 0 {
		return 0
	}
	sequences, context := chosen.primary.schedule.DecodingLoad()
	return price * slotTime(engine, req.PromptTokens/(1+len(chosen.helpers)), req.MaxOutputTokens, sequences, context)
}

// admit returns the error for a request that would cost others more than it is worth: those that it delays, and those that are still
// to come, by the engine time and the slot that it takes.
func (b *Board) admit(now clock.Millis, req Requirements, engine model.Engine, targets []*targetState, chosen choice) error {
	cost := b.price(now, req, engine, targets, chosen)
	var refused Kind
	switch {
	case cost.total > req.value():
		refused = Costly
	case cost.total+slotCost(req, engine, targets, chosen) > req.value():
		refused = Scarce
	}
	b.recordOffer(now, req, engine, cost, refused)
	if refused != "" {
		return &Error{Op: "place", Kind: refused}
	}
	return nil
}
