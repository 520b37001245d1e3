package board

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

// How the value of a request is lost.
const (
	lateShare   = 0.75 // of a request's value that is lost when it is late
	lostShare   = 0.25 // that is lost in addition when the caller gives up
	slopeShare  = 0.25 // of the value when the first event takes all of its aim, so that of two in time the sooner is chosen
	lateSlope   = 0.01 // the same for each further aim
	soonEdge    = 0.75 // of an aim: predictions above it begin to count as late
	lateEdge    = 1.15 // of an aim: predictions above it count as late for certain
	goneFrom    = 0.6  // of a caller's patience: predictions above it begin to count as lost
	goneFor     = 0.9  // of a caller's patience: predictions above it count as lost for certain
	patience    = 4    // aims after which callers give up
	minPatience = 2 * clock.Second

	packShare = 0.7 // of an engine's slots that are filled before another engine is taken for answers with short pauses
)

// firstEvent returns how long it takes from the end of reading until the first event. Beside answers it comes with the end
// of the pass that reads.
func (n *node) firstEvent(f model.Forecast) float64 {
	if f.Writes {
		return 0
	}
	return n.passes.Engine.StepTime * n.slowness()
}

// shortPassTime returns for how long an answer keeps an engine from long passes that could have them without it. Answers
// with short pauses are better kept together, so that other engines can read long prompts.
func (n *node) shortPassTime(need Requirements) float64 {
	if need.EventGapSLO <= 0 {
		return 0
	}
	writers, context := 1, need.PromptTokens
	room := float64(n.running()) < packShare*float64(n.passes.Engine.Slots)
	for _, j := range n.jobs {
		if j.helps() {
			continue
		}
		if room && j.work.Pause > 0 && j.work.Pause <= need.EventGapSLO {
			return 0
		}
		writers++
		context += j.task.Tokens
	}
	passes := float64(need.Output) / float64(max(n.passes.Engine.StepsPerPass, 1))
	return passes * n.passes.Engine.WriteTime(writers, context)
}

// harm returns the value that others on an engine lose, by work, when it goes as forecast with a further task and not as
// before.
func (n *node) harm(now clock.Millis, after model.Forecast) map[key]float64 {
	before := n.before
	delayed := make(map[key]float64)
	for i, j := range n.jobs {
		value := j.work.value()
		switch {
		case j.task.Left > 0:
			age := float64(now - j.placed)
			delayed[j.key] += loss(age+after.Read[i], j.work.Aim, value) - loss(age+before.Read[i], j.work.Aim, value)
		case !j.helps():
			delayed[j.key] += (late(after.Longest, j.work.Pause) - late(before.Longest, j.work.Pause)) * value
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
	limit := float64(max(patience*aim, minPatience))
	gone := min(1, max(0, predicted/limit-goneFrom)/(goneFor-goneFrom))
	aims := predicted / float64(aim)
	return value * (max(late(predicted, aim), slopeShare*min(1, aims)) + lostShare*gone + lateSlope*max(0, aims-1))
}

// late is the share of value lost when something takes some milliseconds, against what is wanted.
func late(took float64, wanted clock.Millis) float64 {
	if wanted <= 0 {
		return 0
	}
	return lateShare * min(1, max(0, took/float64(wanted)-soonEdge)/(lateEdge-soonEdge))
}
