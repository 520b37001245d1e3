package board

import (
	"math"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

const (
	failureWindow    = 4 * clock.Second // over which failures are forgotten
	ejectTime        = clock.Second     // after a failure that proves a target unreachable; doubled with each further one
	maxEjectTime     = 8 * clock.Second
	answerTimeWeight = 0.3 // of the last answer's time
)

// targetState is what this instance knows of one target.
type targetState struct {
	Target
	assignments      []*assignment
	failures         float64 // decaying
	successes        float64 // decaying
	decayedAt        clock.Millis
	ejectedUntil     clock.Millis // until
	ejections        int
	delisted         bool         // no longer listed
	missingSince     clock.Millis // since when the list lacks it, in doubt; zero if it does not
	down             bool         // it did not answer when it was asked for its state
	reportedSlowdown float64      // times as long as the model says, as the target reports
	reportedAt       clock.Millis // when it reported that
	answerTime       float64      // milliseconds that its answers take, smoothed
	lastAnswerAt     clock.Millis // when the last one came
	schedule         model.Schedule
	baseline         model.Forecast // without the request that is being placed
}

func (n *targetState) usable(now clock.Millis) bool {
	return !n.delisted && !n.Draining && now >= n.ejectedUntil
}

// slowdown returns how many times as long the engine takes as its model says.
func (n *targetState) slowdown() float64 {
	if clock.Now()-n.reportedAt > probeValidity {
		return 1
	}
	return max(n.reportedSlowdown, 1)
}

// recordAnswerTime notes how long an answer recordAnswerTime.
func (n *targetState) recordAnswerTime(t clock.Millis) {
	if clock.Now()-n.lastAnswerAt > failureWindow || n.answerTime == 0 {
		n.answerTime = float64(t)
	}
	n.answerTime += answerTimeWeight * (float64(t) - n.answerTime)
	n.lastAnswerAt = clock.Now()
}

// recentAnswerTime returns how long answers took lately, or zero if that is not known.
func (n *targetState) recentAnswerTime(now clock.Millis) float64 {
	if now-n.lastAnswerAt > failureWindow {
		return 0
	}
	return n.answerTime
}

// advance accounts for the time up to now.
func (n *targetState) advance(now clock.Millis) {
	n.schedule.Slowdown = n.slowdown()
	n.schedule.Advance(float64(now))
}

// prefillBacklog returns what is left to read, in milliseconds.
func (n *targetState) prefillBacklog() float64 {
	total := 0.0
	for _, t := range n.schedule.Tasks {
		total += max(0, t.PrefillLeft)
	}
	return total
}

// runningCount counts the requests that have or wait for a slot.
func (n *targetState) runningCount() int {
	count := 0
	for _, j := range n.assignments {
		if !j.isHelper() {
			count++
		}
	}
	return count
}

// memoryHeld is the memory of the requests, in tokens.
func (n *targetState) memoryHeld() int {
	tokens := 0
	for _, j := range n.assignments {
		tokens += j.request.memoryTokens(j.isHelper())
	}
	return tokens
}

func (n *targetState) remove(k requestKey) {
	n.assignments = slices.DeleteFunc(n.assignments, func(j *assignment) bool {
		if j.requestKey == k {
			n.schedule.Remove(j.task)
		}
		return j.requestKey == k
	})
}

func (n *targetState) decay(now clock.Millis) {
	factor := math.Exp(-float64(now-n.decayedAt) / float64(failureWindow))
	n.failures *= factor
	n.successes *= factor
	n.decayedAt = now
}

// failureRate estimates the share of requests that fail at the target.
func (n *targetState) failureRate(now clock.Millis) float64 {
	n.decay(now)
	return n.failures / (n.failures + n.successes + 2)
}

func (n *targetState) recordSuccess(now clock.Millis) {
	n.decay(now)
	n.successes++
	n.ejections, n.ejectedUntil = 0, 0
}

func (n *targetState) recordFailure(now clock.Millis, unreachable bool) {
	n.decay(now)
	n.failures++
	if !unreachable {
		return
	}
	n.ejectedUntil = now + min(ejectTime<<min(n.ejections, 10), maxEjectTime)
	n.ejections++
}
