package model

import (
	"math"
	"slices"
)

const (
	maxPasses = 200  // that a forecast looks ahead
	tiny      = 0.01 // milliseconds that count as none
	reachTime = 1.5  // milliseconds until a request has come to its engine
)

// Task is a prompt on an engine, or the part of one that the engine reads for another.
type Task struct {
	Left   float64 // milliseconds of reading that are left
	Total  float64 // milliseconds of reading in all
	Tokens int     // prompt tokens that are read here
	Passes int     // that its answer takes in all
	Helper bool    // the answer is written elsewhere

	came  float64 // when the schedule was given it
	taken float64 // milliseconds that the current pass reads
	ended float64 // when it was read
}

// NewTask returns the task of one of several equal parts of a prompt, whose answer has some tokens if it is written here.
func (e Engine) NewTask(prompt, parts, tokens, output int, helper bool) *Task {
	time := e.PartTime(prompt, parts)
	return &Task{Left: time, Total: time, Tokens: tokens, Passes: output / max(e.StepsPerPass, 1), Helper: helper}
}

// writes reports whether the engine writes an answer to the task.
func (t *Task) writes() bool { return t.Left <= 0 && !t.Helper }

// Schedule follows one engine through its passes; all times are in milliseconds.
//
// While it writes, an engine works in passes: what came before a pass is read in it, and its answers advance at its end.
// While it writes nothing, it reads on without pause. It reads helpers' parts first, the newest of them before all, then
// its own prompts as they came. Own prompts that have no slot wait until an answer ends.
type Schedule struct {
	Engine Engine
	Slow   float64 // times as long as the engine says; zero is taken as one
	Tasks  []*Task // in the order in which they came; to be changed by Add and Remove

	at    float64 // up to which the schedule is accounted for
	start float64 // of the current pass
	end   float64 // of the current pass; zero outside of passes
}

// Add gives the engine a task.
func (s *Schedule) Add(now float64, t *Task) {
	s.Advance(now)
	t.came = now
	s.Tasks = append(s.Tasks, t)
}

// Remove takes a task off the engine.
func (s *Schedule) Remove(t *Task) {
	s.Tasks = slices.DeleteFunc(s.Tasks, func(other *Task) bool { return other == t })
}

func (s *Schedule) slow() float64 { return max(s.Slow, 1) }

// Advance accounts for the time up to now.
func (s *Schedule) Advance(now float64) {
	if s.Engine.PrefillRate <= 0 { // a plain service, or not known yet
		s.at = now
		return
	}
	for s.at < now {
		switch {
		case s.end > now:
			s.at = now
		case s.end > 0:
			s.finish(s.end)
		case s.writers() > 0:
			s.begin()
		default:
			s.read(now)
		}
	}
}

// read reads without answers, until a prompt is read or the time is up.
func (s *Schedule) read(now float64) {
	head := s.head()
	if head == nil {
		s.at = now
		return
	}
	spent := min(head.Left*s.slow(), now-s.at)
	head.Left -= spent / s.slow()
	s.at += max(spent, tiny)
	head.end(s.at)
}

// end notes when a task is read, if nothing of it is left.
func (t *Task) end(at float64) {
	if t.Left < tiny {
		t.Left, t.ended = 0, at
	}
}

// begin starts a pass with what is there.
func (s *Schedule) begin() {
	writers, context := s.writing()
	length := s.Engine.WriteTime(writers, context)
	tokens := s.Engine.PassTokens()
	s.each(func(t *Task) bool {
		if t.came > s.at {
			return true
		}
		t.taken, tokens = t.fit(t.Left, tokens)
		length += t.taken
		return tokens > 0
	})
	s.start, s.end = s.at, s.at+max(length*s.slow(), tiny)
}

// fit returns how much of a task a pass has room for, and the tokens that are left then.
func (t *Task) fit(left float64, tokens int) (time float64, rest int) {
	if t.Total <= 0 {
		return left, tokens
	}
	wanted := int(math.Ceil(left / t.Total * float64(t.Tokens)))
	if wanted <= tokens {
		return left, tokens - wanted
	}
	return left * float64(tokens) / float64(wanted), 0
}

// finish ends the current pass.
func (s *Schedule) finish(at float64) {
	for _, t := range s.Tasks {
		if t.taken > 0 {
			t.Left -= t.taken
			t.taken = 0
			t.end(at)
		}
	}
	s.at, s.start, s.end = at, 0, 0
}

// Seen notes that the first event of a task came at a point in time, at which a pass has ended.
func (s *Schedule) Seen(t *Task, at float64) {
	now := s.at
	switch {
	case t.taken > 0:
		s.finish(at)
		t.Left, t.ended = 0, at
		s.Advance(now)
	case t.Left > 0:
		t.Left, t.ended = 0, at
	case t.ended > 0 && s.end > 0:
		late := min(at-t.ended, s.end-s.start) // news may have waited, as while this process was frozen
		s.start += late
		s.end = max(s.end+late, now)
		t.ended = 0
	}
}

// Done notes that a task is read, which says nothing of the passes.
func (s *Schedule) Done(t *Task) { t.Left, t.taken = 0, 0 }

// each calls a function with what is to be read and has a slot, in the order in which it is read, until it returns false.
func (s *Schedule) each(visit func(*Task) bool) {
	for i := len(s.Tasks) - 1; i >= 0; i-- {
		if t := s.Tasks[i]; t.Helper && t.Left > 0 && !visit(t) {
			return
		}
	}
	free := s.Engine.slots()
	for _, t := range s.Tasks {
		if t.Helper {
			continue
		}
		if free--; free < 0 || t.Left > 0 && !visit(t) {
			return
		}
	}
}

// head returns the task that is read first.
func (s *Schedule) head() *Task {
	var first *Task
	s.each(func(t *Task) bool {
		first = t
		return false
	})
	return first
}

func (s *Schedule) writers() int {
	count, _ := s.writing()
	return count
}

// writing counts the answers that are being written, and the tokens of their prompts.
func (s *Schedule) writing() (writers, context int) {
	for _, t := range s.Tasks {
		if t.writes() {
			writers++
			context += t.Tokens
		}
	}
	return writers, context
}

// Forecast is what is to come of an engine's tasks, from now on.
type Forecast struct {
	Read    []float64 // until each task is read; the last is that of a further one, if there is one
	Longest float64   // the longest pass until then
	Writes  bool      // the engine writes other answers by the time at which the further task is read
}

// Forecast looks ahead until all tasks are read, with a further one if it is not nil.
func (s *Schedule) Forecast(further *Task) Forecast {
	f := outlook{Schedule: s, further: further}
	return f.run()
}
