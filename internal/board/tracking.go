package board

import (
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// addRequest counts a work at its targets.
func (b *Board) addRequest(now clock.Millis, k requestKey, w ActiveRequest) {
	parts := 1 + len(w.Helpers)
	targets := append([]string{w.Target}, w.Helpers...)
	b.requests[k] = &knownRequest{targets: targets, lastHeard: now}
	for i, id := range targets {
		n := b.target(id)
		n.advance(now)
		tokens := w.PromptTokens / parts
		if i == 0 {
			tokens = w.PromptTokens - (parts-1)*tokens
		}
		task := n.schedule.Engine.NewTask(w.PromptTokens, parts, tokens, w.MaxOutputTokens, i > 0)
		task.PrefillLeft = max(0, task.PrefillLeft-float64(w.Age))
		if w.FirstEventSeen {
			task.PrefillLeft = 0
		}
		n.schedule.Add(float64(now), task)
		n.assignments = append(n.assignments, &assignment{requestKey: k, request: w, placedAt: now - w.Age, task: task})
	}
}

// recordFirstEvent notes that the first event of a work came at a point in time, so that its prompt is read.
func (b *Board) recordFirstEvent(k requestKey, at clock.Millis) {
	w := b.requests[k]
	if w == nil {
		return
	}
	now := clock.Now()
	for _, id := range w.targets {
		n := b.targets[id]
		if n == nil {
			continue
		}
		for _, j := range n.assignments {
			if j.requestKey != k || j.request.FirstEventSeen {
				continue
			}
			n.advance(now)
			if len(w.targets) == 1 && at > 0 {
				n.schedule.ObserveFirstEvent(j.task, float64(at))
			} else {
				n.schedule.MarkPrefilled(j.task)
			}
			j.request.FirstEventSeen = true
		}
		if n.isHelperOf(k) && !n.keepsMemoryOf(k) {
			n.remove(k)
		}
	}
}

func (n *targetState) isHelperOf(k requestKey) bool {
	return slices.ContainsFunc(n.assignments, func(j *assignment) bool { return j.requestKey == k && j.isHelper() })
}

// keepsMemoryOf reports whether the target keepsMemoryOf memory of a work that it helped to read.
func (n *targetState) keepsMemoryOf(k requestKey) bool {
	return slices.ContainsFunc(n.assignments, func(j *assignment) bool { return j.requestKey == k && j.request.SplitMemory })
}

// removeRequest takes a work off its targets.
func (b *Board) removeRequest(k requestKey) {
	w := b.requests[k]
	if w == nil {
		return
	}
	delete(b.requests, k)
	for _, id := range w.targets {
		n := b.targets[id]
		if n == nil {
			continue
		}
		n.remove(k)
		if n.delisted && len(n.assignments) == 0 {
			delete(b.targets, id)
		}
	}
}

// refresh notes that a work is still in progress; it reports whether the work is known.
func (b *Board) refresh(now clock.Millis, k requestKey) bool {
	w := b.requests[k]
	if w == nil {
		return false
	}
	w.lastHeard = now
	return true
}
