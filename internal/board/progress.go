package board

import (
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// add counts a work at its targets.
func (b *Board) add(now clock.Millis, k key, w Work) {
	parts := 1 + len(w.Helpers)
	targets := append([]string{w.Target}, w.Helpers...)
	b.works[k] = &known{targets: targets, heard: now}
	for i, id := range targets {
		n := b.node(id)
		n.advance(now)
		tokens := w.Prompt / parts
		if i == 0 {
			tokens = w.Prompt - (parts-1)*tokens
		}
		task := n.passes.Engine.NewTask(w.Prompt, parts, tokens, w.Output, i > 0)
		task.PrefillLeft = max(0, task.PrefillLeft-float64(w.Age))
		if w.Begun {
			task.PrefillLeft = 0
		}
		n.passes.Add(float64(now), task)
		n.jobs = append(n.jobs, &job{key: k, work: w, placed: now - w.Age, task: task})
	}
}

// begun notes that the first event of a work came at a point in time, so that its prompt is read.
func (b *Board) begun(k key, at clock.Millis) {
	w := b.works[k]
	if w == nil {
		return
	}
	now := clock.Now()
	for _, id := range w.targets {
		n := b.nodes[id]
		if n == nil {
			continue
		}
		for _, j := range n.jobs {
			if j.key != k || j.work.Begun {
				continue
			}
			n.advance(now)
			if len(w.targets) == 1 && at > 0 {
				n.passes.ObserveFirstEvent(j.task, float64(at))
			} else {
				n.passes.MarkPrefilled(j.task)
			}
			j.work.Begun = true
		}
		if n.helps(k) && !n.keeps(k) {
			n.remove(k)
		}
	}
}

func (n *node) helps(k key) bool {
	return slices.ContainsFunc(n.jobs, func(j *job) bool { return j.key == k && j.helps() })
}

// keeps reports whether the target keeps memory of a work that it helped to read.
func (n *node) keeps(k key) bool {
	return slices.ContainsFunc(n.jobs, func(j *job) bool { return j.key == k && j.work.Split })
}

// ended takes a work off its targets.
func (b *Board) ended(k key) {
	w := b.works[k]
	if w == nil {
		return
	}
	delete(b.works, k)
	for _, id := range w.targets {
		n := b.nodes[id]
		if n == nil {
			continue
		}
		n.remove(k)
		if n.gone && len(n.jobs) == 0 {
			delete(b.nodes, id)
		}
	}
}

// refresh notes that a work is still in progress; it reports whether the work is known.
func (b *Board) refresh(now clock.Millis, k key) bool {
	w := b.works[k]
	if w == nil {
		return false
	}
	w.heard = now
	return true
}
