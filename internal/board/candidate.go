package board

import "github.com/corianderpier/corianderpier/internal/clock"

const (
	extraPartCost = 0.003 // of the request's value, per additional engine, since later prompts find fewer free engines
	longPassPrice = 1.0   // value of an engine's availability for long passes for a millisecond, in tokens
)

// candidate is an engine's possible part in a request, with its cost.
type candidate struct {
	*targetState
	cost         float64
	startCost    float64                // part of the cost, see choice.startCost
	prefillEnd   float64                // milliseconds until its part is prefilled
	firstEvent   float64                // milliseconds until the first event, if this part is the last to be prefilled
	lossToOthers map[requestKey]float64 // value that each other request on the engine loses
}

// evaluate predicts the cost of having the engine prefill one of several equal parts: the value that the request and others
// lose by delay, by the risk of a failure, and on a primary by keeping the engine from long passes. An engine that has just started
// costs as much more as a first event loses that just meets its objective.
func (s *targetState) evaluate(now clock.Millis, req Requirements, parts int, helper bool) candidate {
	c := candidate{targetState: s}
	task := s.schedule.Engine.NewTask(req.PromptTokens, parts, req.PromptTokens/parts, req.MaxOutputTokens, helper)
	after := s.schedule.Forecast(task)
	c.prefillEnd = after.PrefillEnds[len(after.PrefillEnds)-1]
	c.firstEvent = c.prefillEnd + s.firstEventDelay(after)
	c.lossToOthers = s.otherLosses(now, after)
	c.startCost = onTimeLoss * s.cold.startWeight(now) * req.value() / float64(parts)
	c.cost = req.loss(c.firstEvent) + s.failureRate(now)*req.value() + c.startCost
	if !helper {
		c.cost += longPassPrice * s.addedLongPassBlockTime(req)
	}
	for _, lost := range c.lossToOthers {
		c.cost += lost
	}
	return c
}

// combine returns the choice of several engines and its total cost. A request that several of them delay counts once, with
// its largest loss, and so does the request itself, whose first event follows the last part.
func (primary *candidate) combine(req Requirements, chosen []candidate) choice {
	total := choice{primary: primary.targetState}
	losses := make(map[requestKey]float64)
	for i, c := range chosen {
		if i > 0 {
			total.helpers = append(total.helpers, c.targetState)
		}
		total.firstEvent = max(total.firstEvent, c.prefillEnd)
		total.startCost += c.startCost
		total.cost += c.cost - req.loss(c.firstEvent)
		for k, lost := range c.lossToOthers {
			total.cost -= lost
			losses[k] = max(losses[k], lost)
		}
	}
	for _, lost := range losses {
		total.othersLoss += lost
	}
	total.cost += total.othersLoss
	total.firstEvent += primary.firstEvent - primary.prefillEnd
	total.cost += req.loss(total.firstEvent) + extraPartCost*req.value()*float64(len(chosen)-1)
	return total
}
