package blame

import (
	"context"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const maxReportEntries = 10 // of each kind in one report, so that it fits into a datagram

// Crash is a crash under a request with an id, as instances tell each other.
type Crash struct {
	ID     string       `cbor:"1,keyasint"`
	Target string       `cbor:"2,keyasint"`
	Age    clock.Millis `cbor:"3,keyasint,omitempty"` // since the crash
}

// Answer is an answer to a request with a suspected id.
type Answer struct {
	ID  string       `cbor:"1,keyasint"`
	Age clock.Millis `cbor:"2,keyasint,omitempty"` // since the answer
}

// Trial tells how many quarantined requests were let through.
type Trial struct {
	ID     string       `cbor:"1,keyasint"`
	Count  int          `cbor:"2,keyasint,omitempty"`
	Wait   clock.Millis `cbor:"3,keyasint,omitempty"` // until the next one
	Failed int          `cbor:"4,keyasint,omitempty"` // under which a target crashed
	Claim  uint32       `cbor:"5,keyasint,omitempty"` // to the latest one
}

// Report is what an instance tells the others about requests and parts of prompts.
type Report struct {
	Crashes []Crash  `cbor:"1,keyasint,omitempty"`
	Trials  []Trial  `cbor:"3,keyasint,omitempty"`
	Answers []Answer `cbor:"4,keyasint,omitempty"`
}

// split returns reports of at most maxReportEntries entries of each kind.
func (r Report) split() []Report {
	var reports []Report
	for len(r.Crashes)+len(r.Answers)+len(r.Trials) > 0 {
		var next Report
		next.Crashes, r.Crashes = cut(r.Crashes)
		next.Answers, r.Answers = cut(r.Answers)
		next.Trials, r.Trials = cut(r.Trials)
		reports = append(reports, next)
	}
	return reports
}

// cut divides a list into its first maxReportEntries and the rest.
func cut[T any](list []T) (first, rest []T) {
	n := min(len(list), maxReportEntries)
	return list[:n], list[n:]
}

// Run repeats what is quarantined until the context ends, so that it reaches instances that have started since, or to which
// a datagram was lost.
func (t *Tracker) Run(ctx context.Context) error {
	clock.Every(ctx, repeatInterval, func() {
		if r := t.quarantineReport(); len(r.Crashes) > 0 {
			t.Repeat(r)
		}
	})
	return nil
}

// quarantineReport returns crashes for which suspects are quarantined, as many as fit into one report. They come in random order,
// so that each has its turn if there are many.
func (t *Tracker) quarantineReport() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	var r Report
	now := t.Now()
	for id, s := range t.suspects {
		if !s.quarantined || len(r.Crashes)+crashesToQuarantine > maxReportEntries {
			continue
		}
		separate := s.separateCrashes(nil)
		for _, c := range separate[max(0, len(separate)-crashesToQuarantine):] {
			r.Crashes = append(r.Crashes, Crash{ID: id, Target: c.target, Age: now - c.at})
		}
		r.Trials = append(r.Trials, Trial{ID: id, Count: s.trials, Failed: s.failed, Claim: s.claim, Wait: s.trialAt - now})
	}
	return r
}

// Receive applies the report of another instance. If it suspects what was answered here since, the others are told.
func (t *Tracker) Receive(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for _, a := range r.Answers {
		t.markSound(a.ID, now-a.Age)
	}
	for _, c := range r.Crashes {
		if crashed := now - c.Age; !t.knownSound(c.ID, crashed) {
			t.addCrash(c.ID, crash{c.Target, crashed})
			continue
		}
		answered, _ := t.sound.get(c.ID)
		t.pending.Answers = append(t.pending.Answers, Answer{ID: c.ID, Age: answered}) // flush replaces the time by the age
		t.schedule(flushDelay)
	}
	t.reevaluate()
	for _, trial := range r.Trials {
		if s := t.suspects[trial.ID]; s != nil && s.quarantined {
			s.hear(trial, now)
		}
	}
}

// flush broadcasts the pending report.
func (t *Tracker) flush() {
	t.mu.Lock()
	pending := t.pending
	t.pending, t.scheduled = Report{}, false
	t.mu.Unlock()
	now := t.Now()
	for n := range pending.Crashes {
		pending.Crashes[n].Age = now - pending.Crashes[n].Age
	}
	for n := range pending.Answers {
		pending.Answers[n].Age = now - pending.Answers[n].Age
	}
	for n := range pending.Trials {
		pending.Trials[n].Wait -= now
	}
	for _, r := range pending.split() {
		t.Broadcast(r)
	}
}
