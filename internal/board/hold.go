package board

import (
	"cmp"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	holdShare  = 0.4                   // of its aim, for which a long prompt may wait for engines at most
	holdMargin = 0.01                  // of its value that a prompt must gain by waiting
	minHold    = 10 * clock.Millis(1)  // until the next look
	maxHold    = 100 * clock.Millis(1) // until the next look
)

// hold returns for how long a long prompt should wait before it is placed; zero to place it as chosen. Engines read the
// newest part first, so that a prompt that is sent to engines with unread ones delays those; it waits instead if it still
// has its first event in time.
func hold(need Need, nodes []*node, chosen pick) clock.Millis {
	aim := float64(need.Aim)
	if chosen.first == nil || float64(need.Elapsed) > holdShare*aim || !chosen.reads() {
		return 0
	}
	e := nodes[0].passes.Engine
	if e.ReadTime(need.Prompt) < spreadAbove*aim {
		return 0
	}
	free := slices.SortedFunc(slices.Values(nodes), func(a, b *node) int { return cmp.Compare(a.free(), b.free()) })
	most := min(maxParts, max(1, int(partShare*float64(len(nodes)))))
	best, wait := chosen.cost-holdMargin*need.value(), 0.0
	for parts := 1; parts <= most; parts++ {
		part := e.PartTime(need.Prompt, parts)
		last := nthCalm(free, parts, part)
		if last == nil {
			continue
		}
		cost := need.loss(last.free()+part) + partCost*need.value()*float64(parts-1)
		if cost < best {
			best, wait = cost, max(last.free(), float64(minHold))
		}
	}
	return min(clock.Millis(wait), maxHold)
}

// nthCalm returns the nth of the engines whose answers bear a pass that reads for some time.
func nthCalm(nodes []*node, n int, read float64) *node {
	for _, candidate := range nodes {
		if late(read, candidate.pauseAim()) > 0 {
			continue
		}
		if n--; n == 0 {
			return candidate
		}
	}
	return nil
}

// reads reports whether an engine of the choice has prompts to read.
func (p pick) reads() bool {
	return p.first.free() > 0 || slices.ContainsFunc(p.helpers, func(n *node) bool { return n.free() > 0 })
}

// free returns how long it takes until an engine has read what it has.
func (n *node) free() float64 {
	longest := 0.0
	for i, t := range n.passes.Tasks {
		if t.Left > 0 {
			longest = max(longest, n.now.Read[i])
		}
	}
	return longest
}

// pauseAim returns the shortest wanted pause of the answers that an engine writes; zero if it writes none.
func (n *node) pauseAim() clock.Millis {
	shortest := clock.Millis(0)
	for _, j := range n.jobs {
		if !j.helps() && j.work.Pause > 0 && (shortest == 0 || j.work.Pause < shortest) {
			shortest = j.work.Pause
		}
	}
	return shortest
}
