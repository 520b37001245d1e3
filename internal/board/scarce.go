package board

import "github.com/corianderpier/corianderpier/internal/model"

const (
	scarceSlots  = 0.95 // share of all slots in use from which they are scarce
	maxSlotPrice = 0.5  // price of a slot when all are in use, as a share of the value that requests get from their slots
)

// scarcity returns how scarce slots are: 0 while enough of them are free, and 1 when all are in use.
func scarcity(targets []*targetState) float64 {
	running, slots := 0, 0
	for _, s := range targets {
		running += s.runningCount()
		slots += s.schedule.Engine.Slots
	}
	used := float64(running) / float64(max(slots, 1))
	return min(1, max(0, used-scarceSlots)/(1-scarceSlots))
}

// slotPrice returns the value of a slot for a millisecond to requests that are still to come, in tokens: nothing while slots are free,
// and a share of what the present requests get from their slots when all are in use. Then a request that would be late anyway
// leaves its slot to one that is not.
func (b *Board) slotPrice(service string, targets []*targetState) float64 {
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
			held += slotTime(s.schedule.Engine, r.PromptTokens/(1+len(r.Helpers)), b.expectedOutput(service, r.MaxOutputTokens), sequences, context)
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

// capacityCost returns the value that requests which are still to come lose by the engine time and the slot that a request takes, in
// tokens.
func (b *Board) capacityCost(req Requirements, engine model.Engine, targets []*targetState, chosen choice) float64 {
	sequences, context := chosen.primary.schedule.DecodingLoad()
	slot := slotTime(engine, req.PromptTokens/(1+len(chosen.helpers)), req.output(), sequences, context)
	return timePrice(targets)*engine.PrefillTime(req.PromptTokens) + b.slotPrice(req.Service, targets)*slot
}
