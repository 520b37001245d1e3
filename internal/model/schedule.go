package model

import (
	"math"
	"slices"
)

const (
	maxForecastPasses = 200  // that a forecast simulates
	epsilon           = 0.01 // milliseconds; the smallest step of the simulation, and prefill shorter than this counts as complete
	deliveryDelay     = 1.5  // milliseconds until a placed request reaches its engine
)

// Task is a prompt on an engine, or the part of one that the engine prefills as a helper for another.
type Task struct {
	PrefillLeft  float64 // remaining prefill, in milliseconds
	PrefillTotal float64 // whole prefill, in milliseconds
	PromptTokens int     // prompt tokens that are prefilled on this engine
	DecodePasses int     // passes that generating the whole answer takes
	Helper       bool    // another engine generates the answer

	arrived     float64 // time at which it was added to the schedule
	passPrefill float64 // milliseconds of its prefill that run in the current pass
	prefilledAt float64 // time at which its prefill ended; zero if unknown or already used by ObserveFirstEvent
}

// NewTask returns the task for one of several equal parts of a prompt. tokens is the length of the part, and output
// that of the answer, which this engine generates unless it is a helper.
func (e Engine) NewTask(prompt, parts, tokens, output int, helper bool) *Task {
	time := e.PartPrefillTime(prompt, parts)
	return &Task{PrefillLeft: time, PrefillTotal: time, PromptTokens: tokens, DecodePasses: output / max(e.StepsPerPass, 1), Helper: helper}
}

// decoding reports whether the engine is generating the answer to the task.
func (t *Task) decoding() bool { return t.PrefillLeft <= 0 && !t.Helper }

// Schedule simulates one engine pass by pass; all times are in milliseconds.
//
// While it decodes, an engine works in passes: a pass prefills prompts that arrived before it began, and events of its
// sequences are sent at its end. While it decodes nothing, it prefills without interruption. Parts that it prefills as
// a helper go first, the newest before older ones, then its own prompts in order of arrival. Own prompts without a slot
// wait until an answer ends.
type Schedule struct {
	Engine   Engine
	Slowdown float64 // actual duration as a multiple of what Engine predicts; values below one count as one
	Tasks    []*Task // in order of arrival; changed only by Add and Remove

	asOf      float64 // time up to which the simulation has run
	passStart float64 // of the current pass
	passEnd   float64 // of the current pass; zero if no pass is running
}

// Add adds a task at a point in time.
func (s *Schedule) Add(now float64, t *Task) {
	s.Advance(now)
	t.arrived = now
	s.Tasks = append(s.Tasks, t)
}

// Remove removes a task.
func (s *Schedule) Remove(t *Task) {
	s.Tasks = slices.DeleteFunc(s.Tasks, func(other *Task) bool { return other == t })
}

// slowdown returns the factor by which durations are multiplied.
func (s *Schedule) slowdown() float64 { return max(s.Slowdown, 1) }

// Advance runs the simulation up to now.
func (s *Schedule) Advance(now float64) {
	if s.Engine.PrefillRate <= 0 { // a plain service, or an engine whose speed is not known yet
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

// prefill runs prefill without decoding, until a task is complete or now is reached.
func (s *Schedule) prefill(now float64) {
	next := s.nextPrefill()
	if next == nil {
		s.asOf = now
		return
	}
	worked := min(next.PrefillLeft*s.slowdown(), now-s.asOf)
	next.PrefillLeft -= worked / s.slowdown()
	s.asOf += max(worked, epsilon)
	next.markIfPrefilled(s.asOf)
}

// markIfPrefilled records when a task was prefilled, if nothing of it remains.
func (t *Task) markIfPrefilled(at float64) {
	if t.PrefillLeft < epsilon {
		t.PrefillLeft, t.prefilledAt = 0, at
	}
}

// beginPass starts a pass with the tasks that have arrived.
func (s *Schedule) beginPass() {
	sequences, context := s.DecodingLoad()
	length := s.Engine.DecodePassTime(sequences, context)
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

// fitPass returns how much of a task's remaining prefill, left, fits into a pass that may prefill some more tokens, and how
// many of those tokens then remain for other tasks.
func (t *Task) fitPass(left float64, tokens int) (time float64, tokensLeft int) {
	if t.PrefillTotal <= 0 {
		return left, tokens
	}
	wanted := int(math.Ceil(left / t.PrefillTotal * float64(t.PromptTokens)))
	if wanted <= tokens {
		return left, tokens - wanted
	}
	return left * float64(tokens) / float64(wanted), 0
}

// finishPass ends the current pass at a point in time.
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

// ObserveFirstEvent corrects the simulation by the first event of a task, since events are sent at the end of a pass.
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
		// At most one pass, as the event may have been handled late, such as after this process was suspended.
		late := min(at-t.prefilledAt, s.passEnd-s.passStart)
		s.passStart += late
		s.passEnd = max(s.passEnd+late, now)
		t.prefilledAt = 0
	}
}

// MarkPrefilled records that a task is prefilled, without a time by which to correct the passes.
func (s *Schedule) MarkPrefilled(t *Task) { t.PrefillLeft, t.passPrefill = 0, 0 }

// visitPrefills calls visit for each task that has a slot and prefill remaining, in the order of prefill, until visit
// returns false.
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

// nextPrefill returns the task that is prefilled first, or nil.
func (s *Schedule) nextPrefill() *Task {
	var first *Task
	s.visitPrefills(func(t *Task) bool {
		first = t
		return false
	})
	return first
}

// decodingCount returns the number of sequences being decoded.
func (s *Schedule) decodingCount() int {
	count, _ := s.DecodingLoad()
	return count
}

// DecodingLoad returns the number of sequences being decoded and the total tokens of their prompts.
func (s *Schedule) DecodingLoad() (sequences, context int) {
	for _, t := range s.Tasks {
		if t.decoding() {
			sequences++
			context += t.PromptTokens
		}
	}
	return sequences, context
}

// Forecast is a prediction for an engine's tasks; times are relative to now.
type Forecast struct {
	PrefillEnds   []float64 // by task, time until its prefill ends; the candidate's is last, if there is one
	LongestPass   float64   // duration of the longest pass until all prefill has ended
	DecodesOthers bool      // other sequences are being decoded when the candidate's prefill ends
}

// Forecast predicts when all tasks are prefilled, together with a candidate task unless it is nil.
func (s *Schedule) Forecast(candidate *Task) Forecast {
	f := forecaster{Schedule: s, candidate: candidate}
	return f.run()
}
