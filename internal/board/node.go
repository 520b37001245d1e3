package board

import (
	"math"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

const (
	faultWindow  = 4 * clock.Second // over which failures are forgotten
	ejectTime    = clock.Second     // after a failure that proves a target unreachable; doubled with each further one
	maxEjectTime = 8 * clock.Second
	answerWeight = 0.3 // of the last answer's time
)

// node is what this instance knows of one target.
type node struct {
	Target
	jobs     []*job
	faults   float64 // decaying
	good     float64 // decaying
	decayed  clock.Millis
	ejected  clock.Millis // until
	ejects   int
	gone     bool         // no longer listed
	missing  clock.Millis // since when the list lacks it, in doubt; zero if it does not
	down     bool         // it did not answer when it was asked for its state
	pace     float64      // times as long as the model says, as the target reports
	paced    clock.Millis // when it reported that
	answer   float64      // milliseconds that its answers take, smoothed
	answered clock.Millis // when the last one came
	passes   model.Schedule
	before   model.Forecast // without the request that is being placed
}

func (n *node) usable(now clock.Millis) bool { return !n.gone && !n.Draining && now >= n.ejected }

// slowness returns how many times as long the engine takes as its model says.
func (n *node) slowness() float64 {
	if clock.Now()-n.paced > reportValid {
		return 1
	}
	return max(n.pace, 1)
}

// took notes how long an answer took.
func (n *node) took(t clock.Millis) {
	if clock.Now()-n.answered > faultWindow || n.answer == 0 {
		n.answer = float64(t)
	}
	n.answer += answerWeight * (float64(t) - n.answer)
	n.answered = clock.Now()
}

// usual returns how long answers took lately, or zero if that is not known.
func (n *node) usual(now clock.Millis) float64 {
	if now-n.answered > faultWindow {
		return 0
	}
	return n.answer
}

// advance accounts for the time up to now.
func (n *node) advance(now clock.Millis) {
	n.passes.Slowdown = n.slowness()
	n.passes.Advance(float64(now))
}

// backlog returns what is left to read, in milliseconds.
func (n *node) backlog() float64 {
	total := 0.0
	for _, t := range n.passes.Tasks {
		total += max(0, t.PrefillLeft)
	}
	return total
}

// running counts the requests that have or wait for a slot.
func (n *node) running() int {
	count := 0
	for _, j := range n.jobs {
		if !j.helps() {
			count++
		}
	}
	return count
}

// held is the memory of the requests, in tokens.
func (n *node) held() int {
	tokens := 0
	for _, j := range n.jobs {
		tokens += j.work.memory(j.helps())
	}
	return tokens
}

func (n *node) remove(k key) {
	n.jobs = slices.DeleteFunc(n.jobs, func(j *job) bool {
		if j.key == k {
			n.passes.Remove(j.task)
		}
		return j.key == k
	})
}

func (n *node) decay(now clock.Millis) {
	factor := math.Exp(-float64(now-n.decayed) / float64(faultWindow))
	n.faults *= factor
	n.good *= factor
	n.decayed = now
}

// risk estimates the share of requests that fail at the target.
func (n *node) risk(now clock.Millis) float64 {
	n.decay(now)
	return n.faults / (n.faults + n.good + 2)
}

func (n *node) succeeded(now clock.Millis) {
	n.decay(now)
	n.good++
	n.ejects, n.ejected = 0, 0
}

func (n *node) failed(now clock.Millis, unreachable bool) {
	n.decay(now)
	n.faults++
	if !unreachable {
		return
	}
	n.ejected = now + min(ejectTime<<min(n.ejects, 10), maxEjectTime)
	n.ejects++
}
