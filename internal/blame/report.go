package blame

import (
	"context"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const maxReportEntries = 10 // of each kind in one report, so that it fits into a datagram

// Crash is a crash under a prompt with a part, as instances tell each other.
type Crash struct {
	Part   string       `cbor:"1,keyasint"`
	Target string       `cbor:"2,keyasint"`
	Age    clock.Millis `cbor:"3,keyasint,omitempty"` // since the crash
}

// Trial tells how many requests with a quarantined part were let through.
type Trial struct {
	Part  string       `cbor:"1,keyasint"`
	Count int          `cbor:"2,keyasint,omitempty"`
	Wait  clock.Millis `cbor:"3,keyasint,omitempty"` // until the next one
}

// Report is what an instance tells the others about parts of prompts.
type Report struct {
	Crashes []Crash  `cbor:"1,keyasint,omitempty"`
	Sound   []string `cbor:"2,keyasint,omitempty"` // suspected parts that were answered
	Trials  []Trial  `cbor:"3,keyasint,omitempty"`
}

// split returns reports of at most maxReportEntries entries of each kind.
func (r Report) split() []Report {
	var reports []Report
	for len(r.Crashes)+len(r.Sound)+len(r.Trials) > 0 {
		var next Report
		next.Crashes, r.Crashes = cut(r.Crashes)
		next.Sound, r.Sound = cut(r.Sound)
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

// quarantineReport returns crashes for which parts are quarantined, as many as fit into one report. The parts come in random
// order, so that each has its turn if there are many.
func (t *Tracker) quarantineReport() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	var r Report
	now := t.Now()
	for part, s := range t.suspects {
		if !s.quarantined || len(r.Crashes)+crashesToQuarantine > maxReportEntries {
			continue
		}
		separate := s.separateCrashes(nil)
		for _, c := range separate[max(0, len(separate)-crashesToQuarantine):] {
			r.Crashes = append(r.Crashes, Crash{Part: part, Target: c.target, Age: now - c.at})
		}
		r.Trials = append(r.Trials, Trial{Part: part, Count: s.trials, Wait: s.trialAt - now})
	}
	return r
}

// Receive applies the report of another instance. If it suspects a part that was answered here, the others are told.
func (t *Tracker) Receive(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for _, part := range r.Sound {
		t.markSound(part)
	}
	for _, c := range r.Crashes {
		if t.knownSound(c.Part) {
			t.pending.Sound = append(t.pending.Sound, c.Part)
			t.schedule(flushDelay)
			continue
		}
		t.addCrash(c.Part, crash{c.Target, now - c.Age})
	}
	for _, trial := range r.Trials {
		if s := t.suspects[trial.Part]; s != nil && s.quarantined && trial.Count > s.trials {
			s.trials, s.trialAt = trial.Count, now+trial.Wait
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
	for n := range pending.Trials {
		pending.Trials[n].Wait -= now
	}
	for _, r := range pending.split() {
		t.Broadcast(r)
	}
}
