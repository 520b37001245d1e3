package model

import (
	"math"
	"slices"
)

const (
	maxForecastPasses = 200  // that a forecast looks ahead
	epsilon           = 0.01 // milliseconds that count as none
	deliveryTime      = 1.5  // milliseconds until a request has come to its engine
)

// Task is a prompt on an engine, or the part of one that the engine reads for another.
type Task struct {
	PrefillLeft  float64 // milliseconds of reading that are left
	PrefillTotal float64 // milliseconds of reading in all
	PromptTokens int     // prompt tokens that are read here
	DecodePasses int     // that its answer takes in all
	Helper       bool    // the answer is written elsewhere

	arrived     float64 // when the schedule was given it
	passPrefill float64 // milliseconds that the current pass reads
	prefilledAt float64 // when it was read
}

// NewTask returns the task of one of several equal parts of a prompt, whose answer has some tokens if it is written here.
func (e Engine) NewTask(prompt, parts, tokens, output int, helper bool) *Task {
	time := e.PartPrefillTime(prompt, parts)
	return &Task{PrefillLeft: time, PrefillTotal: time, PromptTokens: tokens, DecodePasses: output / max(e.StepsPerPass, 1), Helper: helper}
}

// decoding reports whether the engine decoding an answer to the task.
func (t *Task) decoding() bool { return t.PrefillLeft <= 0 && !t.Helper }

// Schedule follows one engine through its passes; all times are in milliseconds.
//
// While it writes, an engine works in passes: what came before a pass is read in it, and its answers advance at its end.
// While it writes nothing, it reads on without pause. It reads helpers' parts first, the newest of them before all, then
// its own prompts as they came. Own prompts that have no slot wait until an answer ends.
type Schedule struct {
	Engine   Engine
	Slowdown float64 // times as long as the engine says; zero is taken as one
	Tasks    []*Task // in the order in which they came; to be changed by Add and Remove

	asOf      float64 // up to which the schedule is accounted for
	passStart float64 // of the current pass
	passEnd   float64 // of the current pass; zero outside of passes
}

// Add gives the engine a task.
func (s *Schedule) Add(now float64, t *Task) {
	s.Advance(now)
	t.arrived = now
	s.Tasks = append(s.Tasks, t)
}

// Remove takes a task off the engine.
func (s *Schedule) Remove(t *Task) {
	s.Tasks = slices.DeleteFunc(s.Tasks, func(other *Task) bool { return other == t })
}

func (s *Schedule) slowdown() float64 { return max(s.Slowdown, 1) }

// Advance accounts for the time up to now.
func (s *Schedule) Advance(now float64) {
	if s.Engine.PrefillRate <= 0 { // a plain service, or not known yet
		s.asOf = now
		return
	}
	for s.asOf < now {
		switch {
		case s.passEnd > now:
			s.asOf = now
		case s.passEnd > 0:
			s.finishPass(s.passEnd)
		case s.decodingCount() > 0:
			s.beginPass()
		default:
			s.prefill(now)
		}
	}
}

// prefill reads without answers, until a prompt is prefill or the time is up.
func (s *Schedule) prefill(now float64) {
	head := s.nextPrefill()
	if head == nil {
		s.asOf = now
		return
	}
	spent := min(head.PrefillLeft*s.slowdown(), now-s.asOf)
	head.PrefillLeft -= spent / s.slowdown()
	s.asOf += max(spent, epsilon)
	head.markIfPrefilled(s.asOf)
}

// markIfPrefilled notes when a task is read, if nothing of it is left.
func (t *Task) markIfPrefilled(at float64) {
	if t.PrefillLeft < epsilon {
		t.PrefillLeft, t.prefilledAt = 0, at
	}
}

// beginPass starts a pass with what is there.
func (s *Schedule) beginPass() {
	writers, context := s.decodingLoad()
	length := s.Engine.DecodePassTime(writers, context)
	tokens := s.Engine.MaxPassTokens()
	s.visitPrefills(func(t *Task) bool {
		if t.arrived > s.asOf {
			return true
		}
		t.passPrefill, tokens = t.fitPass(t.PrefillLeft, tokens)
		length += t.passPrefill
		return tokens > 0
	})
	s.passStart, s.passEnd = s.asOf, s.asOf+max(length*s.slowdown(), epsilon)
}

// fitPass returns how much of a task a pass has room for, and the tokens that are left then.
func (t *Task) fitPass(left float64, tokens int) (time float64, rest int) {
	if t.PrefillTotal <= 0 {
		return left, tokens
	}
	wanted := int(math.Ceil(left / t.PrefillTotal * float64(t.PromptTokens)))
	if wanted <= tokens {
		return left, tokens - wanted
	}
	return left * float64(tokens) / float64(wanted), 0
}

// finishPass ends the current pass.
func (s *Schedule) finishPass(at float64) {
	for _, t := range s.Tasks {
		if t.passPrefill > 0 {
			t.PrefillLeft -= t.passPrefill
			t.passPrefill = 0
			t.markIfPrefilled(at)
		}
	}
	s.asOf, s.passStart, s.passEnd = at, 0, 0
}

// ObserveFirstEvent notes that the first event of a task came at a point in time, at which a pass has ended.
func (s *Schedule) ObserveFirstEvent(t *Task, at float64) {
	now := s.asOf
	switch {
	case t.passPrefill > 0:
		s.finishPass(at)
		t.PrefillLeft, t.prefilledAt = 0, at
		s.Advance(now)
	case t.PrefillLeft > 0:
		t.PrefillLeft, t.prefilledAt = 0, at
	case t.prefilledAt > 0 && s.passEnd > 0:
		late := min(at-t.prefilledAt, s.passEnd-s.passStart) // news may have waited, as while this process was frozen
		s.passStart += late
		s.passEnd = max(s.passEnd+late, now)
		t.prefilledAt = 0
	}
}

// MarkPrefilled notes that a task is read, which says nothing of the passes.
func (s *Schedule) MarkPrefilled(t *Task) { t.PrefillLeft, t.passPrefill = 0, 0 }

// visitPrefills calls a function with what is to be read and has a slot, in the order in which it is read, until it returns false.
func (s *Schedule) visitPrefills(visit func(*Task) bool) {
	for i := len(s.Tasks) - 1; i >= 0; i-- {
		if t := s.Tasks[i]; t.Helper && t.PrefillLeft > 0 && !visit(t) {
			return
		}
	}
	free := s.Engine.slots()
	for _, t := range s.Tasks {
		if t.Helper {
			continue
		}
		if free--; free < 0 || t.PrefillLeft > 0 && !visit(t) {
			return
		}
	}
}

// nextPrefill returns the task that is read first.
func (s *Schedule) nextPrefill() *Task {
	var first *Task
	s.visitPrefills(func(t *Task) bool {
		first = t
		return false
	})
	return first
}

func (s *Schedule) decodingCount() int {
	count, _ := s.decodingLoad()
	return count
}

// decodingLoad counts the answers that are being written, and the tokens of their prompts.
func (s *Schedule) decodingLoad() (writers, context int) {
	for _, t := range s.Tasks {
		if t.decoding() {
			writers++
			context += t.PromptTokens
		}
	}
	return writers, context
}

// Forecast is what is to come of an engine's tasks, from now on.
type Forecast struct {
	PrefillEnds   []float64 // until each task is read; the last is that of a further one, if there is one
	LongestPass   float64   // the longest pass until then
	DecodesOthers bool      // the engine writes other answers by the time at which the further task is read
}

// Forecast looks ahead until all tasks are read, with a further one if it is not nil.
func (s *Schedule) Forecast(candidate *Task) Forecast {
	f := forecaster{Schedule: s, candidate: candidate}
	return f.run()
}
