package route

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/roster"
)

const (
	maxPriority     = 15           // higher priorities count as this one
	ejectAfter      = 3            // consecutive failures
	ejectTime       = clock.Second // doubled with each further failure
	maxEjectTime    = 30 * clock.Second
	slowStartTime   = 5 * clock.Second // while a new target takes a growing share of its slots
	reportFreshTime = clock.Second / 2 // while the backlog in a report is used unchanged
	reportMaxAge    = 2 * clock.Second // after which the requests of other instances in a report no longer count
)

// targetState is what this instance knows of one target. "Own" refers to requests that this instance sent.
type targetState struct {
	roster.Target
	report               engine.Load
	reportedAt           clock.Millis
	ownSlotsAtReport     int // len(ownSlots) when the report arrived
	ownBacklogAtReport   int // ownBacklog when the report arrived
	ownSlots             map[*Slot]bool
	ownMemory            int                  // memory of own requests, in tokens
	ownMemoryAtReport    int                  // ownMemory when the report arrived
	ownBacklog           int                  // prompt tokens of own requests that are not processed yet
	ownBacklogByPriority [maxPriority + 1]int // ownBacklog by priority
	leaving              bool
	failures             int // consecutive
	ejectedUntil         clock.Millis
	quietUntil           clock.Millis // until then it wants no requests from this instance
	addedAt              clock.Millis // when it was first listed
	slowStart            bool         // listed only after this instance had started; it gets few requests at first
	prefilling           bool         // a request has no first token yet; used by the fifo policy only
}

// accepts reports whether the target takes new requests of this kind, though it may be ejected or want none for now.
func (ts *targetState) accepts(r Request) bool {
	if r.boundTarget != "" && r.boundTarget != ts.ID {
		return false
	}
	return !ts.leaving && ts.State == roster.Live && ts.servesModel(r.Model)
}

// usable reports whether the target accepts the request and is neither ejected nor excluded by it.
func (ts *targetState) usable(now clock.Millis, r Request) bool {
	return ts.accepts(r) && now >= ts.ejectedUntil && !r.Exclude[ts.ID]
}

func (ts *targetState) servesModel(model string) bool {
	if model == "" || len(ts.Models) == 0 {
		return true
	}
	for _, m := range ts.Models {
		if m == model {
			return true
		}
	}
	return false
}

// estimateRequests estimates how many requests the target has: own ones, and those of other instances by the report.
func (ts *targetState) estimateRequests(now clock.Millis) int {
	others := max(0, ts.report.RunningRequests+ts.report.WaitingRequests-ts.ownSlotsAtReport)
	age := now - ts.reportedAt
	if age >= reportMaxAge {
		others = 0
	}
	return len(ts.ownSlots) + others
}

// othersBacklog estimates how many prompt tokens of other instances the target has not processed yet. While no new
// report comes, the reported backlog is assumed to shrink at the prefill rate.
func (ts *targetState) othersBacklog(now clock.Millis) int {
	overdue := max(0, now-ts.reportedAt-reportFreshTime)
	done := int(overdue) * ts.prefillRate() / 1000
	return max(0, ts.report.BacklogTokens-ts.ownBacklogAtReport-done)
}

// prefillRate returns how many prompt tokens the target processes in a second.
func (ts *targetState) prefillRate() int {
	if ts.report.PrefillRate > 0 {
		return ts.report.PrefillRate
	}
	return defaultPrefillRate
}

// prefillDelay estimates how long the target takes to process its backlog.
func (ts *targetState) prefillDelay(now clock.Millis) clock.Millis {
	return clock.Millis((ts.ownBacklog + ts.othersBacklog(now)) * 1000 / ts.prefillRate())
}

// backlogAhead returns the part of the own backlog that has at least the given priority.
func (ts *targetState) backlogAhead(priority int) int {
	tokens := 0
	for _, t := range ts.ownBacklogByPriority[clampPriority(priority):] {
		tokens += t
	}
	return tokens
}

func clampPriority(priority int) int { return min(max(priority, 0), maxPriority) }

// freeMemory estimates how many tokens of memory are neither in use nor waited for. memory is the configured size, for
// targets that have not reported theirs.
func (ts *targetState) freeMemory(memory int) int {
	if ts.report.MemoryTokens > 0 {
		memory = ts.report.MemoryTokens
	}
	return memory - ts.report.UsedMemoryTokens - ts.report.WantedMemoryTokens - max(0, ts.ownMemory-ts.ownMemoryAtReport)
}

// recordFailure counts a failure and ejects the target for a while after several in a row.
func (ts *targetState) recordFailure(now clock.Millis) {
	ts.failures++
	if ts.failures < ejectAfter {
		return
	}
	countEvent("target_ejected")
	pause := ejectTime << min(ts.failures-ejectAfter, 10)
	ts.ejectedUntil = now + min(pause, maxEjectTime)
}

// slotLimit returns how many requests the target takes from all instances: fewer than slots while it is new.
func (ts *targetState) slotLimit(now clock.Millis, slots int) int {
	age := now - ts.addedAt
	if !ts.slowStart || age >= slowStartTime {
		return slots
	}
	return max(1, int(clock.Millis(slots)*age/slowStartTime))
}
