package board

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

// How the value of a request is lost.
const (
	maxLateLoss    = 0.75 // of a request's value that is lost when it is late
	abandonLoss    = 0.25 // that is lost in addition when the caller gives up
	onTimeLoss     = 0.25 // of the value when the first event takes all of its aim, so that of two in time the sooner is chosen
	extraLateLoss  = 0.01 // the same for each further aim
	lateFrom       = 0.75 // of an aim: predictions above it begin to count as late
	lateFull       = 1.15 // of an aim: predictions above it count as late for certain
	abandonFrom    = 0.6  // of a caller's patience: predictions above it begin to count as lost
	abandonFull    = 0.9  // of a caller's patience: predictions above it count as lost for certain
	patienceFactor = 4    // aims after which callers give up
	minPatience    = 2 * clock.Second

	packingLimit = 0.7 // of an engine's slots that are filled before another engine is taken for answers with short pauses
)

// firstEventDelay returns how long it takes from the end of reading until the first event. Beside answers it comes with the end
// of the pass that reads.
func (n *targetState) firstEventDelay(f model.Forecast) float64 {
	if f.DecodesOthers {
		return 0
	}
	return n.schedule.Engine.StepTime * n.slowdown()
}

// longPassBlockTime returns for how long an answer keeps an engine from long passes that could have them without it. Answers
// with short pauses are better kept together, so that other engines can read long prompts.
func (n *targetState) longPassBlockTime(need Requirements) float64 {
	if need.EventGapSLO <= 0 {
		return 0
	}
	writers, context := 1, need.PromptTokens
	room := float64(n.runningCount()) < packingLimit*float64(n.schedule.Engine.Slots)
	for _, j := range n.assignments {
		if j.isHelper() {
			continue
		}
		if room && j.request.Pause > 0 && j.request.Pause <= need.EventGapSLO {
			return 0
		}
		writers++
		context += j.task.PromptTokens
	}
	passes := float64(need.MaxOutputTokens) / float64(max(n.schedule.Engine.StepsPerPass, 1))
	return passes * n.schedule.Engine.DecodePassTime(writers, context)
}

// otherLosses returns the value that others on an engine lose, by work, when it goes as forecast with a further task and not as
// before.
func (n *targetState) otherLosses(now clock.Millis, after model.Forecast) map[requestKey]float64 {
	before := n.baseline
	delayed := make(map[requestKey]float64)
	for i, j := range n.assignments {
		value := j.request.value()
		switch {
		case j.task.PrefillLeft > 0:
			age := float64(now - j.placedAt)
			delayed[j.requestKey] += loss(age+after.PrefillEnds[i], j.request.Aim, value) - loss(age+before.PrefillEnds[i], j.request.Aim, value)
		case !j.isHelper():
			delayed[j.requestKey] += (lateLoss(after.LongestPass, j.request.Pause) - lateLoss(before.LongestPass, j.request.Pause)) * value
		}
	}
	return delayed
}

func (n Requirements) loss(predicted float64) float64 {
	return loss(float64(n.Elapsed)+predicted, n.FirstEventSLO, n.value())
}

// loss is the value lost when the first event comes after some milliseconds.
func loss(predicted float64, aim clock.Millis, value float64) float64 {
	if aim <= 0 {
		return 0
	}
	limit := float64(max(patienceFactor*aim, minPatience))
	gone := min(1, max(0, predicted/limit-abandonFrom)/(abandonFull-abandonFrom))
	aims := predicted / float64(aim)
	return value * (max(lateLoss(predicted, aim), onTimeLoss*min(1, aims)) + abandonLoss*gone + extraLateLoss*max(0, aims-1))
}

// lateLoss is the share of value lost when something takes some milliseconds, against what is wanted.
func lateLoss(took float64, wanted clock.Millis) float64 {
	if wanted <= 0 {
		return 0
	}
	return maxLateLoss * min(1, max(0, took/float64(wanted)-lateFrom)/(lateFull-lateFrom))
}
