package blame

import (
	"cmp"
	"encoding/base64"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const requestMark = "=" // with which the ids of requests as a whole begin

const (
	crashesToQuarantine = 3                     // crashes without an answer in between, after which a suspect is quarantined
	minCrashGap         = 100 * clock.Millis(1) // crashes closer together count as one, as a host or a rack fails with all its targets
	sameCrashWindow     = clock.Second          // within which reports about one target are about the same crash
	soundTime           = clock.Minute          // after an answer, for which a part is not suspected
	forgetAfter         = clock.Hour            // after its last crash or refusal, when a suspect is forgotten
	maxSuspects         = 1024                  // that are kept; of those that are not quarantined the ones with the oldest crashes go first
	maxCrashes          = 16                    // of a suspect that are kept
	flushDelay          = 20 * clock.Millis(1)  // for which changes are collected for a datagram
	repeatInterval      = 500 * clock.Millis(1) // between repetitions of what is quarantined, for instances that do not know it
)

// Request returns the id of a request as a whole, by a fingerprint that is the same whenever its caller sends it again.
func Request(fingerprint []byte) string {
	return requestMark + base64.RawURLEncoding.EncodeToString(fingerprint)
}

// IsRequest reports whether an id is that of a request as a whole, and not of a part of a prompt.
func IsRequest(id string) bool { return strings.HasPrefix(id, requestMark) }

// Tracker keeps what one instance knows of fatal requests and parts of prompts, each of which has an id. Its methods may be called
// from any goroutine.
type Tracker struct {
	Now       func() clock.Millis
	After     func(delay clock.Millis, f func()) // calls a function on another goroutine after a delay
	Broadcast func(r Report)                     // sends a report to all other instances
	Repeat    func(r Report)                     // sends a report to some other instances, each time to others

	mu        sync.Mutex
	suspects  map[string]*suspect
	sound     recentAnswers
	pending   Report
	scheduled bool // a flush of the pending report is due
}

// RecordAnswer records that a target has answered a request, so that neither it nor a part of its prompt is fatal.
func (t *Tracker) RecordAnswer(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, suspected := t.Now(), false
	for _, id := range ids {
		if t.markSound(id, now) {
			suspected = true
			t.pending.Answers = append(t.pending.Answers, Answer{ID: id, Age: now}) // flush replaces the time by the age
			t.schedule(flushDelay)
		}
	}
	if suspected {
		t.reevaluate()
	}
}

// RecordCrash records that a target ended the connection of a request before it had answered.
func (t *Tracker) RecordCrash(ids []string, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for _, id := range ids {
		if t.addCrash(id, crash{target, now}) {
			t.pending.Crashes = append(t.pending.Crashes, Crash{ID: id, Target: target, Age: now}) // flush replaces the time by the age
			t.schedule(flushDelay)
		}
	}
	t.reevaluate()
}

// markSound records an answer to a request with an id. It reports whether the id was suspected. Of requests as a whole, which are
// many, only the answers to those that were suspected are remembered.
func (t *Tracker) markSound(id string, answered clock.Millis) bool {
	s := t.suspects[id]
	if s != nil || !IsRequest(id) {
		t.sound.add(id, answered)
	}
	if s == nil {
		return false
	}
	s.disprove(answered)
	if s.quarantined && len(s.crashes) < crashesToQuarantine {
		s.quarantined = false
		slog.Info(kindOf(id)+" no longer quarantined", kindOf(id), id, "reason", "answered")
	}
	if len(s.crashes) == 0 {
		delete(t.suspects, id)
	}
	return true
}

// knownSound reports whether an answer shows that a crash was not caused by what has the id.
func (t *Tracker) knownSound(id string, crashed clock.Millis) bool {
	answered, ok := t.sound.get(id)
	return ok && disproved(IsRequest(id), crashed, answered)
}

// addCrash adds a crash to a suspect, unless it is known to be sound. It reports whether that is news.
func (t *Tracker) addCrash(id string, c crash) bool {
	if t.knownSound(id, c.at) {
		return false
	}
	s := t.suspects[id]
	if s != nil && s.has(c) {
		return false
	}
	if s == nil {
		s = &suspect{whole: IsRequest(id)}
		if t.suspects == nil {
			t.suspects = make(map[string]*suspect)
		}
		t.makeRoom()
		t.suspects[id] = s
	}
	s.add(c)
	s.failTrial(t.Now())
	return true
}

// candidate is a suspect with enough crashes to be quarantined.
type candidate struct {
	id      string
	crashes int
	*suspect
}

// compare orders candidates by what they explain, see reevaluate.
func (c candidate) compare(other candidate) int {
	switch {
	case c.crashes != other.crashes:
		return cmp.Compare(other.crashes, c.crashes)
	case c.whole != other.whole && c.whole:
		return -1
	case c.whole != other.whole:
		return 1
	default:
		return cmp.Compare(c.id, other.id)
	}
}

// reevaluate decides anew what is quarantined, after all ids of a crash or an answer are recorded. The candidate with the most
// crashes goes first and explains these, so that they do not count against those that were only on the same targets. Of those with
// as many, a part explains another one, since refusing a part costs many callers; a request explains nothing, as it and a part of
// its prompt cannot be told apart.
func (t *Tracker) reevaluate() {
	var explained, tied []crash
	var last candidate
	for _, c := range t.candidates() {
		if c.crashes != last.crashes {
			explained, tied = append(explained, tied...), nil
		}
		last = c
		if len(c.separateCrashes(explained)) < crashesToQuarantine {
			t.release(c.id, c.suspect)
			continue
		}
		if c.whole {
			tied = append(tied, c.suspect.crashes...)
		} else {
			explained = append(explained, c.suspect.crashes...)
		}
		t.quarantine(c.id, c.suspect)
	}
}

// candidates returns the suspects with enough crashes in order.
func (t *Tracker) candidates() []candidate {
	var candidates []candidate
	for id, s := range t.suspects {
		if len(s.crashes) < crashesToQuarantine {
			continue
		}
		if n := len(s.separateCrashes(nil)); n >= crashesToQuarantine {
			candidates = append(candidates, candidate{id, n, s})
		}
	}
	slices.SortFunc(candidates, candidate.compare)
	return candidates
}

// quarantine quarantines a suspect.
func (t *Tracker) quarantine(id string, s *suspect) {
	if s.quarantined {
		return
	}
	s.quarantined = true
	s.waitForTrial(t.Now(), s.failed)
	if s.whole {
		metrics.GetOrCreateCounter(`pier_blame_quarantined_requests_total`).Inc()
	} else {
		metrics.GetOrCreateCounter(`pier_blame_quarantined_total`).Inc()
	}
	slog.Info(kindOf(id)+" quarantined", kindOf(id), id, "crashes", len(s.crashes), "target", s.crashes[len(s.crashes)-1].target)
}

// release ends the quarantine of a suspect whose crashes another one explains.
func (t *Tracker) release(id string, s *suspect) {
	if s.quarantined {
		s.quarantined = false
		slog.Info(kindOf(id)+" no longer quarantined", kindOf(id), id, "reason", "explained")
	}
}

// kindOf returns what an id stands for, as it is named in the log.
func kindOf(id string) string {
	if IsRequest(id) {
		return "print"
	}
	return "part"
}

// makeRoom drops a suspect if there are too many: one that is not quarantined if there is any, and of those the one with the oldest
// last crash.
func (t *Tracker) makeRoom() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var first *suspect
	dropped := ""
	for id, s := range t.suspects {
		if first == nil || s.dropBefore(first) {
			first, dropped = s, id
		}
	}
	delete(t.suspects, dropped)
}

// expire forgets the suspects whose last crash and request are long ago.
func (t *Tracker) expire() {
	now := t.Now()
	for id, s := range t.suspects {
		if now-max(s.lastCrash(), s.asked) >= forgetAfter {
			delete(t.suspects, id)
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
