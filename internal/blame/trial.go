package blame

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	returnSpread = clock.Second          // over which refused callers return
	claimTime    = 100 * clock.Millis(1) // for which a trial waits for the claims of other instances to it
)

// Quarantined reports whether a request is to be refused, as it or a part of its prompt is quarantined, and when the caller may try
// again. From time to time it lets a request through on trial; it waits then for claimTime, as other instances may do the same. Of
// the ids, that of the request as a whole comes first.
func (t *Tracker) Quarantined(ids []string) (wait clock.Millis, quarantined bool) {
	if wait := t.untilTrial(ids); wait > 0 {
		return wait + rand.N(returnSpread), true
	}
	claims := t.startTrials(ids)
	if len(claims) == 0 {
		return 0, false
	}
	time.Sleep(claimTime.Duration())
	if t.holds(claims) {
		for _, c := range claims {
			slog.Info("quarantined "+kindOf(c.id)+" let through on trial", kindOf(c.id), c.id, "trial", c.trial)
		}
		return 0, false
	}
	return max(t.untilTrial(ids), 0) + rand.N(returnSpread), true
}

// Suspected reports whether a request or a part of its prompt is quarantined. Unlike Quarantined, it lets nothing through on trial and
// does not wait.
func (t *Tracker) Suspected(ids []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool { return t.suspects[id] != nil && t.suspects[id].quarantined })
}

// untilTrial returns the time until a request may be let through, zero if it may now.
func (t *Tracker) untilTrial(ids []string) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, wait := t.Now(), clock.Millis(0)
	for _, id := range ids {
		if s := t.suspects[id]; s != nil && s.quarantined {
			wait, s.asked = max(wait, s.trialAt-now), now
		}
	}
	return wait
}

// claim is an instance's claim to a trial.
type claim struct {
	id     string
	trial  int
	number uint32
}

// startTrials begins the trials for which a request is let through, and returns its claims to them. One that is quarantined as a
// whole tells nothing of its parts, which other requests show to be sound.
func (t *Tracker) startTrials(ids []string) []claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var claims []claim
	for _, id := range ids {
		s := t.suspects[id]
		if s == nil || !s.quarantined {
			continue
		}
		s.startTrial(now)
		claims = append(claims, claim{id, s.trials, s.claim})
		trial := Trial{ID: id, Count: s.trials, Failed: s.failed, Claim: s.claim, Wait: s.trialAt} // flush replaces the time by the wait
		t.pending.Trials = append(t.pending.Trials, trial)
		t.schedule(0)
		if s.whole {
			break
		}
	}
	return claims
}

// holds reports whether no other instance has a better claim to a trial.
func (t *Tracker) holds(claims []claim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range claims {
		if s := t.suspects[c.id]; s != nil && s.quarantined && s.claim != c.number {
			return false
		}
	}
	return true
}
