package route

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/roster"
)

const (
	maxPriority   = 15
	ejectAfter    = 3            // failures in a row
	ejectTime     = clock.Second // doubled with each further failure
	maxEjectTime  = 30 * clock.Second
	slowStartTime = 5 * clock.Second // for which a new target gets a growing share
	reportTime    = clock.Second / 2 // for which a report stands as it is
	reportDecay   = 2 * clock.Second // after which a report of others' streams no longer counts
)

// node is what this instance knows of one target.
type node struct {
	roster.Target
	report   engine.Load
	reported clock.Millis
	ownThen  int // own requests when the report came
	backThen int // own unprocessed prompt tokens when the report came
	own      map[*Slot]bool
	held     int                  // tokens of memory of own requests
	heldThen int                  // the same when the report came
	backlog  int                  // own unprocessed prompt tokens
	ranked   [maxPriority + 1]int // the same, by priority
	leaving  bool
	failures int
	ejected  clock.Millis // until
	since    clock.Millis // of its appearance
	fresh    bool         // appeared after this instance started
	busy     bool         // a request of the FIFO baseline has no first token yet
}

// offered reports whether the target takes new work of this kind at all.
func (n *node) offered(r Request) bool {
	if r.only != "" && r.only != n.ID {
		return false
	}
	return !n.leaving && n.State == roster.Live && n.serves(r.Model)
}

// usable reports whether the target is offered, not ejected and not excluded.
func (n *node) usable(now clock.Millis, r Request) bool {
	return n.offered(r) && now >= n.ejected && !r.Exclude[n.ID]
}

func (n *node) serves(model string) bool {
	if model == "" || len(n.Models) == 0 {
		return true
	}
	for _, m := range n.Models {
		if m == model {
			return true
		}
	}
	return false
}

// requests estimates how many requests the target has: own ones and, from the report, those of other instances.
func (n *node) requests(now clock.Millis) int {
	others := max(0, n.report.Running+n.report.Waiting-n.ownThen)
	age := now - n.reported
	if age >= reportDecay {
		others = 0
	}
	return len(n.own) + others
}

// others estimates the unprocessed prompt tokens of other instances.
func (n *node) others(now clock.Millis) int {
	idle := max(0, now-n.reported-reportTime) // for which no report came, so that it is taken to be processed
	done := int(idle) * n.rate() / 1000
	return max(0, n.report.Backlog-n.backThen-done)
}

func (n *node) rate() int {
	if n.report.Prefill > 0 {
		return n.report.Prefill
	}
	return defaultPrefill
}

// delay estimates how long the prompts take that the target has not processed.
func (n *node) delay(now clock.Millis) clock.Millis {
	return clock.Millis((n.backlog + n.others(now)) * 1000 / n.rate())
}

// ahead returns the own unprocessed prompt tokens of at least a priority.
func (n *node) ahead(priority int) int {
	tokens := 0
	for _, t := range n.ranked[rank(priority):] {
		tokens += t
	}
	return tokens
}

func rank(priority int) int { return min(max(priority, 0), maxPriority) }

// room estimates the memory in tokens that nobody uses or waits for.
func (n *node) room(memory int) int {
	if n.report.Memory > 0 {
		memory = n.report.Memory
	}
	return memory - n.report.Used - n.report.Wanted - max(0, n.held-n.heldThen)
}

func (n *node) failed(now clock.Millis) {
	n.failures++
	if n.failures < ejectAfter {
		return
	}
	count("target_ejected")
	pause := ejectTime << min(n.failures-ejectAfter, 10)
	n.ejected = now + min(pause, maxEjectTime)
}

// slots is how many requests the target takes from all instances, less at its start.
func (n *node) slots(now clock.Millis, slots int) int {
	age := now - n.since
	if !n.fresh || age >= slowStartTime {
		return slots
	}
	return max(1, int(clock.Millis(slots)*age/slowStartTime))
}
