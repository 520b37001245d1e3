package route

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/roster"
)

const (
	maxPriority     = 15
	ejectAfter      = 3            // failures in a row
	ejectTime       = clock.Second // doubled with each further failure
	maxEjectTime    = 30 * clock.Second
	slowStartTime   = 5 * clock.Second // for which a new target gets a growing share
	reportFreshTime = clock.Second / 2 // for which a report stands as it is
	reportMaxAge    = 2 * clock.Second // after which a report of others' streams no longer counts
)

// targetState is what this instance knows of one target.
type targetState struct {
	roster.Target
	report            engine.Load
	reportedAt        clock.Millis
	ownAtReport       int // own requests when the report came
	backlogAtReport   int // own unprocessed prompt tokens when the report came
	ownSlots          map[*Slot]bool
	ownMemory         int                  // tokens of memory of own requests
	memoryAtReport    int                  // the same when the report came
	backlog           int                  // own unprocessed prompt tokens
	backlogByPriority [maxPriority + 1]int // the same, by priority
	leaving           bool
	failures          int
	ejectedUntil      clock.Millis // until
	addedAt           clock.Millis // of its appearance
	slowStart         bool         // appeared after this instance started
	prefilling        bool         // a request of the FIFO baseline has no first token yet
}

// accepts reports whether the target takes new work of this kind at all.
func (ts *targetState) accepts(r Request) bool {
	if r.boundTarget != "" && r.boundTarget != ts.ID {
		return false
	}
	return !ts.leaving && ts.State == roster.Live && ts.serves(r.Model)
}

// usable reports whether the target is offered, not ejected and not excluded.
func (ts *targetState) usable(now clock.Millis, r Request) bool {
	return ts.accepts(r) && now >= ts.ejectedUntil && !r.Exclude[ts.ID]
}

func (ts *targetState) serves(model string) bool {
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

// estimateRequests estimates how many estimateRequests the target has: own ones and, from the report, those of other instances.
func (ts *targetState) estimateRequests(now clock.Millis) int {
	others := max(0, ts.report.RunningRequests+ts.report.WaitingRequests-ts.ownAtReport)
	age := now - ts.reportedAt
	if age >= reportMaxAge {
		others = 0
	}
	return len(ts.ownSlots) + others
}

// othersBacklog estimates the unprocessed prompt tokens of other instances.
func (ts *targetState) othersBacklog(now clock.Millis) int {
	idle := max(0, now-ts.reportedAt-reportFreshTime) // for which no report came, so that it is taken to be processed
	done := int(idle) * ts.prefillRate() / 1000
	return max(0, ts.report.BacklogTokens-ts.backlogAtReport-done)
}

func (ts *targetState) prefillRate() int {
	if ts.report.PrefillRate > 0 {
		return ts.report.PrefillRate
	}
	return defaultPrefill
}

// prefillDelay estimates how long the prompts take that the target has not processed.
func (ts *targetState) prefillDelay(now clock.Millis) clock.Millis {
	return clock.Millis((ts.backlog + ts.othersBacklog(now)) * 1000 / ts.prefillRate())
}

// backlogAhead returns the own unprocessed prompt tokens of at least a priority.
func (ts *targetState) backlogAhead(priority int) int {
	tokens := 0
	for _, t := range ts.backlogByPriority[clampPriority(priority):] {
		tokens += t
	}
	return tokens
}

func clampPriority(priority int) int { return min(max(priority, 0), maxPriority) }

// freeMemory estimates the memory in tokens that nobody uses or waits for.
func (ts *targetState) freeMemory(memory int) int {
	if ts.report.MemoryTokens > 0 {
		memory = ts.report.MemoryTokens
	}
	return memory - ts.report.UsedMemoryTokens - ts.report.WantedMemoryTokens - max(0, ts.ownMemory-ts.memoryAtReport)
}

func (ts *targetState) recordFailure(now clock.Millis) {
	ts.failures++
	if ts.failures < ejectAfter {
		return
	}
	countEvent("target_ejected")
	pause := ejectTime << min(ts.failures-ejectAfter, 10)
	ts.ejectedUntil = now + min(pause, maxEjectTime)
}

// slotLimit is how many requests the target takes from all instances, less at its start.
func (ts *targetState) slotLimit(now clock.Millis, slots int) int {
	age := now - ts.addedAt
	if !ts.slowStart || age >= slowStartTime {
		return slots
	}
	return max(1, int(clock.Millis(slots)*age/slowStartTime))
}
