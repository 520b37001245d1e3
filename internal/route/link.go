package route

import (
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/roster"
)

// Accepts reports whether this instance knows a target at an address and would send it a request of its own now; for control, whether it
// knows one.
func (t *Table) Accepts(addr string, control bool) bool {
	accepts := false
	t.Loop.Call(func() {
		now := clock.Now()
		for _, ts := range t.targets {
			accepts = accepts || ts.Addr == addr && (control || ts.open(now))
		}
	})
	return accepts
}

// Addrs returns the addresses of the targets that take requests, as far as this instance knows.
func (t *Table) Addrs() []string {
	var addrs []string
	t.Loop.Call(func() {
		now := clock.Now()
		for _, ts := range t.targets {
			if ts.open(now) && !slices.Contains(addrs, ts.Addr) {
				addrs = append(addrs, ts.Addr)
			}
		}
	})
	return addrs
}

// open reports whether the target takes requests, though it may be ejected for now.
func (ts *targetState) open(now clock.Millis) bool {
	return !ts.leaving && ts.State == roster.Live && !ts.quiet(now)
}

// ForgetFailures takes all targets to be sound. This instance has links again, and failures may tell of these alone.
func (t *Table) ForgetFailures() {
	t.Loop.Post(func() {
		for _, ts := range t.targets {
			ts.failures, ts.ejectedUntil = 0, 0
		}
		t.dispatch()
	})
}
