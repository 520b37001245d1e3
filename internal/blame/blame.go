package blame

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	crashesToQuarantine = 3                     // crashes without an answer in between, after which a part is quarantined
	minCrashGap         = 100 * clock.Millis(1) // crashes closer together count as one, as a host or a rack fails with all its targets
	sameCrashWindow     = clock.Second          // within which reports about one target are about the same crash
	soundTime           = clock.Minute          // after an answer, for which a part is not suspected
	firstTrialWait      = clock.Second          // after which one request with a quarantined part is let through again, see trialWait
	trialWaitFactor     = 8                     // by which the wait grows with each trial
	maxTrialWait        = 10 * clock.Minute     // between trials
	forgetAfter         = clock.Hour            // after its last crash, when a part that nobody asks for is forgotten
	maxSuspects         = 1024                  // suspected parts that are kept; those with the oldest crashes go first
	maxCrashesPerPart   = 16                    // of a part that are kept
	flushDelay          = 20 * clock.Millis(1)  // for which changes are collected for a datagram
	repeatInterval      = 500 * clock.Millis(1) // between repetitions of what is quarantined, for instances that do not know it
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

// suspect is a part of prompts that targets crashed under.
type suspect struct {
	crashes     []crash      // by time
	quarantined bool         // there are enough crashes
	trials      int          // requests with the quarantined part that instances have let through
	trialAt     clock.Millis // when the next one is
}

// trialWait returns the time until the next trial. The first one comes soon, as a part may be quarantined wrongly when little is
// known, as after a restart of all instances; further ones are rare, as each may cost a target and all its requests.
func (s *suspect) trialWait() clock.Millis {
	wait := firstTrialWait
	for range s.trials {
		wait = min(wait*trialWaitFactor, maxTrialWait)
	}
	return wait
}

// separateCrashes returns the crashes without the explained ones, and of those within minCrashGap only the first.
func (s *suspect) separateCrashes(explained []crash) []crash {
	var separate []crash
	for _, c := range s.crashes {
		if slices.ContainsFunc(explained, c.same) {
			continue
		}
		if len(separate) == 0 || c.at-separate[len(separate)-1].at >= minCrashGap {
			separate = append(separate, c)
		}
	}
	return separate
}

// lastCrash returns the time of the latest crash.
func (s *suspect) lastCrash() clock.Millis { return s.crashes[len(s.crashes)-1].at }

// has reports whether a crash is known for the part.
func (s *suspect) has(c crash) bool { return slices.ContainsFunc(s.crashes, c.same) }

// add adds a crash, and drops the oldest one if there are too many.
func (s *suspect) add(c crash) {
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b crash) int { return int(a.at - b.at) })
	if len(s.crashes) > maxCrashesPerPart {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
}

// Tracker keeps what one instance knows of fatal parts. Its methods may be called from any goroutine.
type Tracker struct {
	Now       func() clock.Millis
	After     func(delay clock.Millis, f func()) // calls a function on another goroutine after a delay
	Broadcast func(r Report)                     // sends a report to all other instances
	Repeat    func(r Report)                     // sends a report to some other instances, each time to others

	mu        sync.Mutex
	suspects  map[string]*suspect
	sound     recentParts
	pending   Report
	scheduled bool // a flush of the pending report is due
}

// Quarantined reports whether the prompt has a part that is quarantined, and when the caller may try again. From time to
// time it lets a request through on trial, and tells the other instances.
func (t *Tracker) Quarantined(parts []string) (wait clock.Millis, quarantined bool) {
	if len(parts) == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for _, part := range parts {
		if s := t.suspects[part]; s != nil && s.quarantined {
			wait = max(wait, s.trialAt-now)
		}
	}
	if wait > 0 {
		return wait, true
	}
	for _, part := range parts {
		if s := t.suspects[part]; s != nil && s.quarantined {
			t.startTrial(part, s)
		}
	}
	return 0, false
}

// startTrial records that a request with a quarantined part is let through, and tells the other instances.
func (t *Tracker) startTrial(part string, s *suspect) {
	s.trials++
	s.trialAt = t.Now() + s.trialWait()
	slog.Info("quarantined part let through on trial", "part", part, "trial", s.trials)
	t.pending.Trials = append(t.pending.Trials, Trial{Part: part, Count: s.trials, Wait: s.trialAt}) // flush replaces the time by the wait
	t.schedule(0)
}

// RecordAnswer records that a target has answered a prompt with these parts, so that none of them is fatal.
func (t *Tracker) RecordAnswer(parts []string) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if t.markSound(part) {
			t.pending.Sound = append(t.pending.Sound, part)
			t.schedule(flushDelay)
		}
	}
}

// RecordCrash records that a target ended the connection of a prompt with these parts before it had answered.
func (t *Tracker) RecordCrash(parts []string, target string) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for _, part := range parts {
		if t.addCrash(part, crash{target, now}) {
			t.pending.Crashes = append(t.pending.Crashes, Crash{Part: part, Target: target, Age: now}) // flush replaces the time by the age
			t.schedule(flushDelay)
		}
	}
}

// markSound records that a part is sound. It reports whether the part was suspected.
func (t *Tracker) markSound(part string) bool {
	t.sound.add(part, t.Now())
	s := t.suspects[part]
	if s == nil {
		return false
	}
	delete(t.suspects, part)
	if s.quarantined {
		slog.Info("part no longer quarantined", "part", part, "reason", "answered")
	}
	t.reevaluate()
	return true
}

// knownSound reports whether a part was answered within soundTime.
func (t *Tracker) knownSound(part string) bool {
	at, ok := t.sound.get(part)
	return ok && t.Now()-at < soundTime
}

// addCrash adds a crash to a part, unless the part is known to be sound. It reports whether that is news.
func (t *Tracker) addCrash(part string, c crash) bool {
	if t.knownSound(part) {
		return false
	}
	s := t.suspects[part]
	if s != nil && s.has(c) {
		return false
	}
	if s == nil {
		s = &suspect{}
		if t.suspects == nil {
			t.suspects = make(map[string]*suspect)
		}
		t.makeRoom()
		t.suspects[part] = s
	}
	s.add(c)
	t.reevaluate()
	return true
}

// reevaluate decides anew which parts are quarantined. The part with the most crashes goes first and explains these, so that they
// do not count against parts whose requests were only on the same targets.
func (t *Tracker) reevaluate() {
	var parts []string
	counts := make(map[string]int)
	for part, s := range t.suspects {
		if counts[part] = len(s.separateCrashes(nil)); counts[part] >= crashesToQuarantine {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b string) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	var explained []crash
	for _, part := range parts {
		s := t.suspects[part]
		if len(s.separateCrashes(explained)) < crashesToQuarantine {
			t.release(part, s)
			continue
		}
		explained = append(explained, s.crashes...)
		t.quarantine(part, s)
	}
}

// quarantine quarantines a part.
func (t *Tracker) quarantine(part string, s *suspect) {
	if s.quarantined {
		return
	}
	s.quarantined = true
	s.trialAt = t.Now() + s.trialWait()
	metrics.GetOrCreateCounter(`pier_blame_quarantined_total`).Inc()
	slog.Info("part quarantined", "part", part, "crashes", len(s.crashes), "target", s.crashes[len(s.crashes)-1].target)
}

// release ends the quarantine of a part whose crashes another part explains.
func (t *Tracker) release(part string, s *suspect) {
	if s.quarantined {
		s.quarantined = false
		slog.Info("part no longer quarantined", "part", part, "reason", "explained")
	}
}

// makeRoom drops the suspect with the oldest crash if there are too many.
func (t *Tracker) makeRoom() {
	if len(t.suspects) < maxSuspects {
		return
	}
	oldest := ""
	for part, s := range t.suspects {
		if oldest == "" || s.lastCrash() < t.suspects[oldest].lastCrash() {
			oldest = part
		}
	}
	delete(t.suspects, oldest)
}

// expire forgets the parts whose last crash is long ago.
func (t *Tracker) expire() {
	now := t.Now()
	for part, s := range t.suspects {
		if now-s.lastCrash() >= forgetAfter {
			delete(t.suspects, part)
		}
	}
}

// schedule makes the pending report go out after a delay.
func (t *Tracker) schedule(delay clock.Millis) {
	if t.scheduled && delay > 0 {
		return
	}
	t.scheduled = true
	t.After(delay, t.flush)
}
