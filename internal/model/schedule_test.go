package model

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSchedule returns the schedule of an engine that has been decoding some sequences since time 0.
func newSchedule(sequences int) *Schedule {
	s := &Schedule{Engine: testEngine}
	for range sequences {
		t := testEngine.NewTask(5000, 1, 5000, 1300, false)
		t.PrefillLeft = 0
		s.Add(0, t)
	}
	return s
}

// expectNear fails the test if a time differs from the expected one by more than 2 ms.
func expectNear(t *testing.T, got, want float64) {
	t.Helper()
	if got < want-2 || got > want+2 {
		t.Errorf("got %.1f ms, want %.1f ms", got, want)
	}
}

// A prompt that arrives during a pass is prefilled in the next one, together with all others that arrived by then.
func TestSchedulePasses(t *testing.T) {
	s := newSchedule(2)
	pass := testEngine.DecodePassTime(2, 10_000)
	first, second := testEngine.NewTask(5000, 1, 5000, 1300, false), testEngine.NewTask(10_000, 1, 10_000, 1300, false)
	s.Add(10, first)
	s.Add(20, second)
	prefill := first.PrefillTotal + second.PrefillTotal
	expectNear(t, s.Forecast(nil).PrefillEnds[3], pass-20+pass+prefill)
	s.Advance(pass + pass + prefill - 1)
	is.New(t).True(first.PrefillLeft > 0)
	s.Advance(pass + pass + prefill + 1)
	is.New(t).Equal(first.PrefillLeft+second.PrefillLeft, 0.0)
}

// An engine that decodes nothing prefills parts for other engines first, the newest before older ones, then its own
// prompts in order of arrival.
func TestScheduleOrder(t *testing.T) {
	s := &Schedule{Engine: testEngine}
	own, old, recent := testEngine.NewTask(50_000, 1, 50_000, 1300, false), testEngine.NewTask(60_000, 2, 30_000, 1300, true), testEngine.NewTask(80_000, 4, 20_000, 1300, true)
	s.Add(0, own)
	s.Add(100, old)
	s.Add(120, recent)
	ends := s.Forecast(nil).PrefillEnds
	expectNear(t, ends[2], recent.PrefillTotal)
	expectNear(t, ends[1], recent.PrefillTotal+old.PrefillTotal-20)
	expectNear(t, ends[0], own.PrefillTotal-100+recent.PrefillTotal+old.PrefillTotal-20)
}

// While an engine decodes, a long prompt is prefilled over several passes, each with as many tokens as it may have.
func TestScheduleLong(t *testing.T) {
	is := is.New(t)
	s := newSchedule(1)
	f := s.Forecast(testEngine.NewTask(182_000, 1, 182_000, 1300, false))
	expectNear(t, f.PrefillEnds[1], 4*testEngine.DecodePassTime(1, 5000)+testEngine.PrefillTime(182_000)) // the current pass and three with prefill
	is.True(f.LongestPass > 1400 && f.LongestPass < 1600)
	is.True(f.DecodesOthers)
}

// If all slots are taken, a prompt is prefilled once an answer has ended; only the average rate of that is known.
func TestScheduleSlots(t *testing.T) {
	s := newSchedule(16)
	for _, task := range s.Tasks {
		task.DecodePasses = 32 // of 16 sequences one ends in two passes on average
	}
	pass := testEngine.DecodePassTime(16, 80_000)
	first, second := testEngine.NewTask(5000, 1, 5000, 1300, false), testEngine.NewTask(5000, 1, 5000, 1300, false)
	s.Add(10, first)
	s.Add(20, second)
	s.Advance(pass / 2)
	ends := s.Forecast(nil).PrefillEnds
	expectNear(t, ends[16], 2.5*pass+first.PrefillTotal)
	expectNear(t, ends[17], 5.5*pass+first.PrefillTotal+second.PrefillTotal) // with the longer answer to first, fewer end per pass
	s.Remove(s.Tasks[0])
	expectNear(t, s.Forecast(nil).PrefillEnds[15], 1.5*pass+first.PrefillTotal)
}

// A first event shows when a pass really ended, earlier or later than the simulation had it.
func TestScheduleFirstEvent(t *testing.T) {
	s := newSchedule(1)
	pass := testEngine.DecodePassTime(1, 5000)
	task := testEngine.NewTask(5000, 1, 5000, 1300, false)
	s.Add(10, task)
	ends := 2*pass + task.PrefillTotal
	s.Advance(ends + 30)
	s.ObserveFirstEvent(task, ends+20)
	expectNear(t, s.Forecast(testEngine.NewTask(0, 1, 0, 1300, false)).PrefillEnds[2], 0) // nothing to prefill
	expectNear(t, s.Forecast(testEngine.NewTask(1540, 1, 1540, 1300, false)).PrefillEnds[2], pass-10+pass+10)

	sooner := testEngine.NewTask(5000, 1, 5000, 1300, false)
	s.Add(ends+40, sooner)
	s.Advance(ends + 20 + pass + 40)
	s.ObserveFirstEvent(sooner, ends+20+pass+30)
	expectNear(t, s.Forecast(testEngine.NewTask(1540, 1, 1540, 1300, false)).PrefillEnds[3], pass-10+pass+10)
}

// A first event that is handled seconds late, as after a suspension of the process, moves a pass by at most its length.
func TestScheduleLateFirstEvent(t *testing.T) {
	s := newSchedule(1)
	pass := testEngine.DecodePassTime(1, 5000)
	task := testEngine.NewTask(5000, 1, 5000, 1300, false)
	s.Add(10, task)
	s.Advance(2*pass + task.PrefillTotal + 10)
	s.ObserveFirstEvent(task, 5000)
	is.New(t).True(s.Forecast(testEngine.NewTask(1540, 1, 1540, 1300, false)).PrefillEnds[2] < 4*pass)
}

// While an engine's speed is unknown there are no passes, and that time is not simulated afterwards: simulating the time
// since 1970 pass by pass would block the control loop.
func TestScheduleUnknownEngine(t *testing.T) {
	s := &Schedule{}
	s.Add(1e12, Engine{}.NewTask(0, 1, 0, 1300, false))
	s.Engine = testEngine
	started := time.Now()
	s.Advance(1e12 + 100)
	is.New(t).True(time.Since(started) < time.Second)
}

func BenchmarkForecast(b *testing.B) {
	s := newSchedule(12)
	for i := range 8 {
		s.Add(10, testEngine.NewTask(5000*(1+i%3), 1+i%2, 5000, 1300, i%2 == 1))
	}
	s.Add(10, testEngine.NewTask(182_000, 1, 182_000, 1300, false))
	for b.Loop() {
		s.Forecast(testEngine.NewTask(45_000, 1, 45_000, 1300, false))
	}
}
