package blame

import (
	"math/rand/v2"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// crash is the end of a target while it ran a request.
type crash struct {
	target string
	at     clock.Millis
}

// same reports whether two reports are about the same crash.
func (c crash) same(other crash) bool {
	return c.target == other.target && max(c.at-other.at, other.at-c.at) < sameCrashWindow
}

// suspect is a part of prompts, or a request as a whole, that targets crashed under.
type suspect struct {
	whole       bool         // a request as a whole
	crashes     []crash      // by time
	quarantined bool         // there are enough crashes
	trials      int          // requests that instances have let through though they were to be refused
	failed      int          // trials under which a target crashed; of the others nothing is known, as when they reached none
	claim       uint32       // to the latest trial; the highest one holds
	trialAt     clock.Millis // when the next one is
	asked       clock.Millis // when a request with the id last came
}

// trialWaits returns the times until the next trial, by the number of those that have failed. The first one comes soon, as a part may
// be quarantined wrongly when little is known, as after a restart of all instances; further ones are rare, as each may cost a target
// and all its requests. Nobody but its own caller misses a request as a whole.
func (s *suspect) trialWaits() []clock.Millis {
	if s.whole {
		return []clock.Millis{clock.Second, 8 * clock.Second, 10 * clock.Minute, clock.Hour}
	}
	return []clock.Millis{clock.Second, 8 * clock.Second, 64 * clock.Second, 10 * clock.Minute}
}

// waitForTrial sets when the next trial is, if so many have failed.
func (s *suspect) waitForTrial(now clock.Millis, failed int) {
	waits := s.trialWaits()
	s.trialAt = now + waits[min(failed, len(waits)-1)]
}

// startTrial begins a trial. The next one is as late as if it fails.
func (s *suspect) startTrial(now clock.Millis) {
	s.trials++
	s.claim = rand.Uint32()
	s.waitForTrial(now, s.failed+1)
}

// failTrial ends a trial whose target crashed, if there is one.
func (s *suspect) failTrial(now clock.Millis) {
	if s.quarantined && s.failed < s.trials {
		s.failed++
		s.waitForTrial(now, s.failed)
	}
}

// hear applies what another instance tells of the trials. Of two that began the same one, the highest claim holds.
func (s *suspect) hear(trial Trial, now clock.Millis) {
	switch count, known := trial.Count+trial.Failed, s.trials+s.failed; {
	case count > known:
		s.trials, s.failed, s.claim, s.trialAt = trial.Count, trial.Failed, trial.Claim, now+trial.Wait
	case count == known:
		s.claim = max(s.claim, trial.Claim)
	}
}

// crashGap returns the time between crashes that count as separate. Prompts on all targets of a host may share a part, but few
// targets have the same request.
func (s *suspect) crashGap() clock.Millis {
	if s.whole {
		return 0
	}
	return minCrashGap
}

// separateCrashes returns the crashes without the explained ones, and of those within crashGap only the first.
func (s *suspect) separateCrashes(explained []crash) []crash {
	var separate []crash
	for _, c := range s.crashes {
		if slices.ContainsFunc(explained, c.same) {
			continue
		}
		if len(separate) == 0 || c.at-separate[len(separate)-1].at >= s.crashGap() {
			separate = append(separate, c)
		}
	}
	return separate
}

// lastCrash returns the time of the latest crash.
func (s *suspect) lastCrash() clock.Millis { return s.crashes[len(s.crashes)-1].at }

// dropBefore reports whether the suspect is to be forgotten sooner than another one.
func (s *suspect) dropBefore(other *suspect) bool {
	if s.quarantined != other.quarantined {
		return !s.quarantined
	}
	return s.lastCrash() < other.lastCrash()
}

// has reports whether a crash is known for the suspect.
func (s *suspect) has(c crash) bool { return slices.ContainsFunc(s.crashes, c.same) }

// add adds a crash, and drops the oldest one if there are too many.
func (s *suspect) add(c crash) {
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b crash) int { return int(a.at - b.at) })
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
}

// disprove drops the crashes of which an answer at a time shows that the suspect did not cause them. A part is sound for a while; a
// request that was answered may become fatal at any time, so that only crashes before the answer are dropped.
func (s *suspect) disprove(answered clock.Millis) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return disproved(s.whole, c.at, answered) })
}

// disproved reports whether an answer shows that a part, or a request as a whole, did not cause a crash.
func disproved(whole bool, crashed, answered clock.Millis) bool {
	if whole {
		return crashed < answered
	}
	return crashed < answered+soundTime
}
