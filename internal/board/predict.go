package board

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

// The predicted loss of a request's value.
const (
	maxLateLoss    = 0.75             // of a request's value, lost if the request misses its objective
	abandonLoss    = 0.25             // of the value, lost in addition if the caller gives up
	onTimeLoss     = 0.25             // of the value, lost if the first event just meets the objective, so that an earlier one is preferred
	extraLateLoss  = 0.01             // of the value, lost for each further multiple of the objective
	lateFrom       = 0.75             // of the objective: predictions above it begin to count as late
	lateFull       = 1.15             // of the objective: predictions above it count as certainly late
	abandonFrom    = 0.6              // of the caller's patience: predictions above it begin to count as abandoned
	abandonFull    = 0.9              // of the caller's patience: predictions above it count as certainly abandoned
	patienceFactor = 4                // multiple of the objective after which callers give up
	minPatience    = 2 * clock.Second // time for which callers wait at least

	packingLimit = 0.7 // of an engine's slots: requests with short event gaps are packed onto one engine up to this share
)

// firstEventDelay returns the time from the end of prefill to the first event. If the engine decodes other sequences,
// the first event is sent at the end of the pass in which the prefill ends, without further delay.
func (s *targetState) firstEventDelay(f model.Forecast) float64 {
	if f.DecodesOthers {
		return 0
	}
	return s.schedule.Engine.StepTime * s.slowdown()
}

// addedLongPassBlockTime returns for how long a request would keep the engine from long passes, which might exceed its
// EventGapSLO. The result is zero if a request that runs here already allows no longer gaps and the engine has room. So
// requests with short event gaps are packed onto few engines, and the others can prefill long prompts.
func (s *targetState) addedLongPassBlockTime(req Requirements) float64 {
	if req.EventGapSLO <= 0 {
		return 0
	}
	sequences, context := 1, req.PromptTokens
	hasRoom := float64(s.runningCount()) < packingLimit*float64(s.schedule.Engine.Slots)
	for _, a := range s.assignments {
		if a.isHelper() {
			continue
		}
		if hasRoom && a.request.EventGapSLO > 0 && a.request.EventGapSLO <= req.EventGapSLO {
			return 0
		}
		sequences++
		context += a.task.PromptTokens
	}
	return s.schedule.Engine.Passes(req.MaxOutputTokens) * s.schedule.Engine.DecodePassTime(sequences, context)
}

// otherLosses returns, by request, the value that the other requests on the engine lose if a candidate is added: the
// difference between the forecast with the candidate and the baseline without it.
func (s *targetState) otherLosses(now clock.Millis, after model.Forecast) map[requestKey]float64 {
	before := s.baseline
	losses := make(map[requestKey]float64)
	for i, a := range s.assignments {
		value := a.request.value()
		switch {
		case a.task.PrefillLeft > 0:
			age := float64(now - a.placedAt)
			slo := a.request.FirstEventSLO
			losses[a.requestKey] += loss(age+after.PrefillEnds[i], slo, value) - loss(age+before.PrefillEnds[i], slo, value)
		case !a.isHelper():
			losses[a.requestKey] += (lateLoss(after.LongestPass, a.request.EventGapSLO) - lateLoss(before.LongestPass, a.request.EventGapSLO)) * value
		}
	}
	return losses
}

// loss returns the value that the request loses if its first event is sent after predicted milliseconds from now.
func (r Requirements) loss(predicted float64) float64 {
	return loss(float64(r.Elapsed)+predicted, r.FirstEventSLO, r.value())
}

// loss returns the value that a request loses if its first event is sent predicted milliseconds after its arrival.
func loss(predicted float64, slo clock.Millis, value float64) float64 {
	if slo <= 0 {
		return 0
	}
	limit := float64(max(patienceFactor*slo, minPatience))
	abandoned := min(1, max(0, predicted/limit-abandonFrom)/(abandonFull-abandonFrom))
	multiples := predicted / float64(slo)
	return value * (max(lateLoss(predicted, slo), onTimeLoss*min(1, multiples)) + abandonLoss*abandoned + extraLateLoss*max(0, multiples-1))
}

// lateLoss returns the share of a request's value that is lost if something takes duration milliseconds, given its objective.
// It grows linearly between lateFrom and lateFull.
func lateLoss(duration float64, slo clock.Millis) float64 {
	if slo <= 0 {
		return 0
	}
	return maxLateLoss * min(1, max(0, duration/float64(slo)-lateFrom)/(lateFull-lateFrom))
}
