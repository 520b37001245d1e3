package board

import (
	"math"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

const (
	failureWindow    = 4 * clock.Second // time constant of the decay of failure and success counts
	ejectTime        = clock.Second     // after a target was unreachable; doubled for each consecutive time
	maxEjectTime     = 8 * clock.Second // of one ejection
	answerTimeWeight = 0.3              // weight of the latest value in the moving average of answer times
)

// targetState is what this instance knows of one target.
type targetState struct {
	Target
	assignments      []*assignment
	failures         float64      // decayed as of decayedAt
	successes        float64      // decayed as of decayedAt
	decayedAt        clock.Millis // when the counts were last decayed
	ejectedUntil     clock.Millis // until when requests are placed here only if there are no other targets
	ejections        int          // consecutive ejections
	delisted         bool         // not listed, or not listed any more
	missingUntil     clock.Millis // until when it is used although the list, which is incomplete, lacks it; zero if it is listed
	doubtedUntil     clock.Millis // until when its entry in the list is not believed, see noteListed
	evacuation       *evacuation  // of its zone; nil if there is none
	leaving          bool         // it has said that it takes no more requests, see closeLeaving
	quietUntil       clock.Millis // until when it wants no requests from this instance
	down             bool         // it did not answer the last probe
	reportedSlowdown float64      // from the last answered probe, see ProbeResult.Slowdown
	reportedAt       clock.Millis // when that probe was answered
	answerTime       float64      // moving average of the time to a complete answer, milliseconds
	lastAnswerAt     clock.Millis // when the last answer was complete
	limit            rateLimit
	cold             coldState
	schedule         model.Schedule
	baseline         model.Forecast // forecast without the request that is being placed
}

// usable reports whether a request may be placed on the target.
func (s *targetState) usable(now clock.Millis) bool {
	return !s.closed(now) && now >= s.ejectedUntil
}

// closed reports whether the target takes no new requests.
func (s *targetState) closed(now clock.Millis) bool {
	return s.left(now) || now < s.quietUntil || s.evacuation.inForce()
}

// left reports whether the target has left, or is leaving, as far as is known.
func (s *targetState) left(now clock.Millis) bool {
	missing := s.missingUntil > 0 && now >= s.missingUntil
	return s.delisted || s.Draining || s.leaving || missing || now < s.doubtedUntil
}

// onlyQuiet reports whether the target takes no new requests only since it wants none for a while.
func (s *targetState) onlyQuiet(now clock.Millis) bool {
	return !s.left(now) && !s.evacuation.inForce() && now < s.quietUntil
}

// onlyEvacuated reports whether the target takes no new requests since its zone is evacuated, and may take some when that ends.
func (s *targetState) onlyEvacuated(now clock.Millis) bool {
	return !s.left(now) && s.evacuation.inForce()
}

// slowdown returns the slowdown that the target reported lately, or 1.
func (s *targetState) slowdown() float64 {
	if clock.Now()-s.reportedAt > probeValidity {
		return 1
	}
	return max(s.reportedSlowdown, 1)
}

// recordAnswerTime adds the duration of an answer to the moving average, which starts anew if no answer came lately.
func (s *targetState) recordAnswerTime(t clock.Millis) {
	if clock.Now()-s.lastAnswerAt > failureWindow || s.answerTime == 0 {
		s.answerTime = float64(t)
	}
	s.answerTime += answerTimeWeight * (float64(t) - s.answerTime)
	s.lastAnswerAt = clock.Now()
}

// recentAnswerTime returns the average time to a complete answer, or zero if no answer came lately.
func (s *targetState) recentAnswerTime(now clock.Millis) float64 {
	if now-s.lastAnswerAt > failureWindow {
		return 0
	}
	return s.answerTime
}

// advance runs the engine's schedule up to now.
func (s *targetState) advance(now clock.Millis) {
	s.schedule.Slowdown = s.slowdown()
	s.schedule.Advance(float64(now))
}

// prefillBacklog returns the remaining prefill of all requests, in milliseconds.
func (s *targetState) prefillBacklog() float64 {
	total := 0.0
	for _, t := range s.schedule.Tasks {
		total += max(0, t.PrefillLeft)
	}
	return total
}

// runningCount returns the number of requests that occupy a slot or wait for one. Prefill for other targets, as a helper,
// does not count.
func (s *targetState) runningCount() int {
	count := 0
	for _, a := range s.assignments {
		if !a.isHelper() {
			count++
		}
	}
	return count
}

// memoryHeld returns the memory that the target's requests hold, in tokens.
func (s *targetState) memoryHeld() int {
	tokens := 0
	for _, a := range s.assignments {
		tokens += a.request.memoryTokens(a.isHelper())
	}
	return tokens
}

// remove removes a request, or its part, from the target.
func (s *targetState) remove(k requestKey) {
	s.assignments = slices.DeleteFunc(s.assignments, func(a *assignment) bool {
		if a.requestKey == k {
			s.schedule.Remove(a.task)
		}
		return a.requestKey == k
	})
}

// decay lets the counts of failures and successes decay up to now.
func (s *targetState) decay(now clock.Millis) {
	factor := math.Exp(-float64(now-s.decayedAt) / float64(failureWindow))
	s.failures *= factor
	s.successes *= factor
	s.decayedAt = now
}

// failureRate estimates the share of requests that fail at the target, with a prior of two successes.
func (s *targetState) failureRate(now clock.Millis) float64 {
	s.decay(now)
	return s.failures / (s.failures + s.successes + 2)
}

// recordSuccess counts a success and ends an ejection.
func (s *targetState) recordSuccess(now clock.Millis) {
	s.decay(now)
	s.successes++
	s.ejections, s.ejectedUntil = 0, 0
}

// recordFailure counts a failure, and ejects the target if it was unreachable. Requests that were under way at an ejection do not
// prolong it.
func (s *targetState) recordFailure(now clock.Millis, unreachable bool) {
	s.decay(now)
	s.failures++
	if !unreachable || now < s.ejectedUntil {
		return
	}
	s.ejectedUntil = now + min(ejectTime<<min(s.ejections, 10), maxEjectTime)
	s.ejections++
}
