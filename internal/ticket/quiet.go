package ticket

import (
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	quietLookInterval = 200 * clock.Millis(1) // between looks whether an engine wants no requests, or has answered the last renewal
	quietGrace        = 250 * clock.Millis(1) // after it was first seen to want none, for which orders may still reach it
	maxQuietOrders    = 2                     // that reach it from then on until it takes requests again
)

// quietSpell is a time in which an engine wants no requests.
type quietSpell struct {
	since  clock.Millis // when it was first seen
	until  clock.Millis
	orders int // sent since the grace
}

// quietTime returns for how long an engine wants no requests, and whether it has only just asked for that, so that orders may
// still reach it.
func (m *Manager) quietTime(l Lease) (left clock.Millis, fresh bool) {
	if m.QuietTime == nil {
		return 0, false
	}
	left = m.QuietTime(l)
	m.mu.Lock()
	defer m.mu.Unlock()
	if left <= 0 {
		delete(m.quiet, l.Target)
		return 0, false
	}
	now := clock.Now()
	spell := m.quiet[l.Target]
	if spell == nil || now > spell.until {
		spell = &quietSpell{since: now}
		if m.quiet == nil {
			m.quiet = make(map[string]*quietSpell)
		}
		m.quiet[l.Target] = spell
	}
	spell.until = max(spell.until, now+left)
	return left, now-spell.since < quietGrace
}

// takeQuietOrder counts an order to an engine if that is known to want no requests, and reports whether the engine gets no more
// than it has to bear.
func (m *Manager) takeQuietOrder(l Lease) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, spell := clock.Now(), m.quiet[l.Target]
	if spell == nil || now > spell.until || now-spell.since < quietGrace {
		return true
	}
	spell.orders++
	return spell.orders <= maxQuietOrders
}

// quietLeaseTime returns the duration of a lease that is renewed while its engine wants no requests for so long.
func (m *Manager) quietLeaseTime(quiet clock.Millis) clock.Millis {
	return max(m.leaseTime(), min(quiet+m.leaseTime(), m.maxLeaseTime()))
}

func (m *Manager) maxLeaseTime() clock.Millis {
	if m.MaxLeaseTime != nil && m.MaxLeaseTime() > 0 {
		return m.MaxLeaseTime()
	}
	return defaultMaxLease
}

// waitToRelease waits until a release may be sent to the engine. It reports false if the lease has expired by then.
func (m *Manager) waitToRelease(l Lease) bool {
	for !m.takeQuietOrder(l) {
		quiet, _ := m.quietTime(l)
		if quiet > m.maxLeaseTime() {
			return false
		}
		time.Sleep(min(quiet, quietLookInterval).Duration()) // it may start anew before the time that it named
	}
	return true
}

// quietDuration returns for how long to renew a lease whose engine wants no requests, or zero to leave it. It is renewed if it ends
// before that time is over: early, as the engine has only just asked, or else when it ends soon.
// One that has expired is left.
func (s *LeaseSet) quietDuration(n int, quiet clock.Millis, early bool) clock.Millis {
	left, interval := clock.Millis(s.expiry[n].Load())-clock.Now(), s.manager.renewInterval()
	if left <= 0 || left >= quiet+interval || !early && left >= 2*interval {
		return 0
	}
	return s.manager.quietLeaseTime(quiet)
}
