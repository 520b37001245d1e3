package board

import "github.com/corianderpier/corianderpier/internal/clock"

const (
	cellInterval = 100 * clock.Millis(1) // between looks at which instances are active
	cellMemory   = 10 * clock.Second     // for which an instance counts as active, so that views which miss some do not raise the sum of the rates
	unknownCell  = 24                    // instances assumed until this one has joined: the most that a cell has, active.maxCellInstances
)

// cell is what this instance knows of the instances with which it shares the rates of cold targets. The zero value is a cell of
// which nothing is known; see Board.Cell.
type cell struct {
	noOthers bool                    // there are no others
	seen     map[string]clock.Millis // when each was last active, by name
	joinedAt clock.Millis            // when this instance had joined the others; zero before
	synced   bool                    // another instance has sent all that it knows of cold targets
	notedAt  clock.Millis            // when it was last looked which are active
}

// note records which instances of the cell are active now, and whether this one has joined the others.
func (c *cell) note(now clock.Millis, members []string, joined bool) {
	if c.seen == nil {
		c.seen = make(map[string]clock.Millis)
	}
	for _, name := range members {
		c.seen[name] = now
	}
	for name, at := range c.seen {
		if now-at > cellMemory {
			delete(c.seen, name)
		}
	}
	if joined && c.joinedAt == 0 {
		c.joinedAt = now
	}
}

// size returns the number of instances that were active lately, at least one.
func (c *cell) size(now clock.Millis) int {
	n := 1
	switch {
	case c.noOthers:
		return n
	case c.joinedAt == 0:
		n = unknownCell
	}
	active := 0
	for _, at := range c.seen {
		if now-at <= cellMemory {
			active++
		}
	}
	return max(n, active)
}

// settled reports whether this instance has joined long enough ago for the others to count it.
func (c *cell) settled(now clock.Millis) bool {
	return c.noOthers || c.joinedAt > 0 && now >= c.joinedAt+coldSettleTime
}

// uncertain reports whether targets may be cold without this instance having been told.
func (c *cell) uncertain(now clock.Millis) bool {
	return !c.settled(now) && (c.joinedAt == 0 || !c.synced)
}

// noteCell records the instances of the cell that are active now, unless it has just done so.
func (b *Board) noteCell(now clock.Millis) {
	if b.Cell == nil {
		b.cell.noOthers = true
		return
	}
	if now-b.cell.notedAt < cellInterval {
		return
	}
	b.cell.notedAt = now
	members, joined := b.Cell()
	b.cell.note(now, members, joined)
	if b.cell.uncertain(now) {
		b.anyLimited.Store(true) // until the next updateCold
	}
}
