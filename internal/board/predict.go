package board

import (
	"github.com/corianderpier/corianderpier/internal/clock"
)

// How the value of a request is lost.
const (
	lateShare   = 0.75 // of a request's value that is lost when it is late
	lostShare   = 0.25 // that is lost in addition when the caller gives up
	slopeShare  = 0.1  // of the value when the first event takes all of its aim, so that of two in time the sooner is chosen
	lateSlope   = 0.01 // the same for each further aim
	soonEdge    = 0.75 // of an aim: predictions above it begin to count as late
	lateEdge    = 1.15 // of an aim: predictions above it count as late for certain
	goneFrom    = 0.6  // of a caller's patience: predictions above it begin to count as lost
	goneFor     = 0.9  // of a caller's patience: predictions above it count as lost for certain
	patience    = 4    // aims after which callers give up
	minPatience = 2 * clock.Second
)

// predictRead returns how long it takes until one of several parts of a further prompt is read, in milliseconds. A helper's
// part is read before all that waits, and takes no slot.
func (n *node) predictRead(part float64, tokens, parts int, helper bool) float64 {
	writers, context, backlog, unread := n.load()
	e := n.engine
	if helper {
		backlog, unread = 0, 0
	}
	total := backlog + part
	if over := n.running() - n.slots(); over >= 0 && !helper {
		total += float64(over+1) * n.slotTime(writers, context)
	}
	if writers == 0 {
		return total * n.slowness()
	}
	// The latest of several engines counts, each of which is in the middle of a pass.
	current := e.PassTime(writers, context, backlog, unread) * float64(parts) / float64(parts+1)
	passes := 0.0
	if most := e.PassTokens(); most > 0 {
		passes = float64((unread + tokens) / most)
	}
	return (current + total + passes*e.WriteTime(writers, context)) * n.slowness()
}

// predictWrite returns how long it takes from the end of reading until the first event. Where other engines read as well,
// the first one is in the middle of a pass by then.
func (n *node) predictWrite(tokens, parts int) float64 {
	writers, context, _, _ := n.load()
	if writers == 0 {
		return n.engine.StepTime * n.slowness()
	}
	write := n.engine.WriteTime(writers+1, context+tokens)
	if parts > 1 {
		write += n.engine.WriteTime(writers, context) / 2
	}
	return write * n.slowness()
}

func (n *node) slots() int {
	if n.engine.Slots > 0 {
		return n.engine.Slots
	}
	return max(n.Slots, 1)
}

// slotTime estimates how long it takes until an answer ends when all slots are taken.
func (n *node) slotTime(writers, context int) float64 {
	left := 0.0
	for _, j := range n.jobs {
		if !j.helper {
			left += float64(j.work.Output) / float64(max(n.engine.Stride, 1))
		}
	}
	passes := left / 2 / float64(max(n.running(), 1))
	return passes * n.engine.WriteTime(max(writers, 1), context) / float64(n.slots())
}

// harm returns the value that others on an engine lose when it reads a further part, by work.
func (n *node) harm(now clock.Millis, part float64, tokens int, helper bool) map[key]float64 {
	writers, context, backlog, unread := n.load()
	before := n.engine.PassTime(writers, context, backlog, unread) * n.slowness()
	after := n.engine.PassTime(writers, context, backlog+part, unread+tokens) * n.slowness()
	delayed := make(map[key]float64)
	for _, j := range n.jobs {
		if j.reading <= 0 && !j.helper {
			delayed[j.key] = (late(after, j.work.Pause) - late(before, j.work.Pause)) * j.work.value()
		}
	}
	if !helper {
		return delayed
	}
	done := 0.0
	for _, j := range n.unread() {
		done += j.reading
		at := float64(now-j.placed) + done*n.slowness()
		lost := loss(at+part*n.slowness(), j.work.Aim, j.work.value()) - loss(at, j.work.Aim, j.work.value())
		delayed[j.key] = lost
	}
	return delayed
}

func (n Need) loss(predicted float64) float64 {
	return loss(float64(n.Elapsed)+predicted, n.Aim, n.value())
}

// loss is the value lost when the first event comes after some milliseconds.
func loss(predicted float64, aim clock.Millis, value float64) float64 {
	if aim <= 0 {
		return 0
	}
	limit := float64(max(patience*aim, minPatience))
	gone := min(1, max(0, predicted/limit-goneFrom)/(goneFor-goneFrom))
	aims := predicted / float64(aim)
	return value * (late(predicted, aim) + lostShare*gone + slopeShare*min(1, aims) + lateSlope*max(0, aims-1))
}

// late is the share of value lost when something takes some milliseconds, against what is wanted.
func late(took float64, wanted clock.Millis) float64 {
	if wanted <= 0 {
		return 0
	}
	return lateShare * min(1, max(0, took/float64(wanted)-soonEdge)/(lateEdge-soonEdge))
}
