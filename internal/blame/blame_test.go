package blame

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// fleet is a group of trackers with one clock that hear each other at once, but for those that are cut off.
type fleet struct {
	now      clock.Millis
	trackers []*Tracker
	cut      map[int]bool
}

func newFleet(n int) *fleet {
	f := &fleet{now: clock.Hour, cut: make(map[int]bool)}
	for i := range n {
		f.trackers = append(f.trackers, f.newTracker(i))
	}
	return f
}

// newTracker returns a tracker that knows nothing yet.
func (f *fleet) newTracker(i int) *Tracker {
	send := func(r Report) {
		for n, t := range f.trackers {
			if n != i && !f.cut[n] && !f.cut[i] {
				t.Receive(r)
			}
		}
	}
	atSettle := func(clock.Millis, func()) {} // settle flushes
	return &Tracker{Now: func() clock.Millis { return f.now }, After: atSettle, Broadcast: send, Repeat: send}
}

// settle sends what is pending until nothing is.
func (f *fleet) settle() {
	for range 3 {
		for _, t := range f.trackers {
			t.flush()
		}
	}
}

// crash makes a target crash under prompts of the given instances and parts.
func (f *fleet) crash(target string, prompts map[int][]string) {
	for i, parts := range prompts {
		f.trackers[i].RecordCrash(parts, target)
	}
	f.settle()
	f.now += minCrashGap
}

// quarantines returns how many instances refuse a part.
func (f *fleet) quarantines(part string) int {
	n := 0
	for _, t := range f.trackers {
		if _, ok := t.Quarantined([]string{part}); ok {
			n++
		}
	}
	return n
}

// Guards against: a fatal part whose requests come at any instance is never noticed, as each instance sees one crash of it.
func TestCrashesAddUpOverInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	for n := range crashesToQuarantine {
		is.Equal(f.quarantines("fatal"), 0)
		f.crash(fmt.Sprint("engine", n), map[int][]string{n: {"common", "fatal"}, n + 1: {"common", fmt.Sprint("own", n)}})
		f.trackers[4].RecordAnswer([]string{"common"})
		f.settle()
	}
	is.Equal(f.quarantines("fatal"), 5)
	is.Equal(f.quarantines("common"), 0)
}

// Guards against: a part that is asked for rarely, and was on two crashing engines beside the fatal one, is refused.
func TestPartOfTwoCrashesNotQuarantined(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for n := range crashesToQuarantine {
		beside := map[int][]string{0: {"fatal"}}
		if n > 0 {
			beside[1] = []string{"rare"}
		}
		f.crash(fmt.Sprint("engine", n), beside)
	}
	is.Equal(f.quarantines("fatal"), 2)
	is.Equal(f.quarantines("rare"), 0)
	f.trackers[0].RecordAnswer([]string{"rare"})
	f.settle()
	f.now += soundTime
	f.crash("engine9", map[int][]string{1: {"rare"}})
	is.Equal(f.quarantines("rare"), 0) // the answer has ended the suspicion
}

// Guards against: after a restart of all instances, when no part is known to be sound, every part that is on the engines
// which crash is refused. Those that are also in prompts without the fatal part are answered soon.
func TestOnlyFatalPartQuarantinedAfterRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range 12 {
		prompts := map[int][]string{
			n % 3:       {"common", "fatal"},
			(n + 1) % 3: {"common", fmt.Sprint("popular", n%2)},
			(n + 2) % 3: {"other", fmt.Sprint("popular", n%4)},
		}
		f.crash(fmt.Sprint("engine", n), prompts)
	}
	for _, part := range []string{"other", "popular0", "popular1", "popular2", "popular3"} {
		is.Equal(f.quarantines(part), 0)
	}
	f.trackers[2].RecordAnswer([]string{"common", "popular0"})
	f.settle()
	is.Equal(f.quarantines("common"), 0)
	is.Equal(f.quarantines("fatal"), 3)
}

// Guards against: the loss of a host with many engines, or several reports of one crash, count as many crashes.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range 20 {
		f.trackers[n%3].RecordCrash([]string{"common"}, fmt.Sprint("engine", n))
		f.now++
	}
	f.settle()
	is.Equal(f.quarantines("common"), 0)
	f = newFleet(3)
	for n := range 3 {
		f.trackers[n].RecordCrash([]string{"common"}, "engine0")
		f.now += 2 * minCrashGap
	}
	f.settle()
	is.Equal(f.quarantines("common"), 0)
}

// Guards against: an instance that has just started, and knows no sound part, makes all others refuse one.
func TestSoundPartDefended(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.trackers[1].RecordAnswer([]string{"common"})
	for n := range 5 {
		f.crash(fmt.Sprint("engine", n), map[int][]string{0: {"common"}, 2: {"common"}})
	}
	is.Equal(f.quarantines("common"), 0)
	f.now += soundTime
	for n := range crashesToQuarantine { // a part that has become fatal is noticed later
		f.crash(fmt.Sprint("engine", 10+n), map[int][]string{0: {"common"}})
	}
	is.Equal(f.quarantines("common"), 3)
}

// Guards against: an instance that restarted, or lost the datagrams, goes on to send prompts with a quarantined part.
func TestQuarantineRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.cut[2] = true
	for n := range crashesToQuarantine {
		f.crash(fmt.Sprint("engine", n), map[int][]string{n % 2: {"fatal"}})
	}
	is.Equal(f.quarantines("fatal"), 2)
	f.cut[2] = false
	f.trackers[1] = f.newTracker(1)
	f.repeat(0)
	is.Equal(f.quarantines("fatal"), 3)
}

// What is repeated fits into one datagram, and each of many quarantined parts has its turn.
func TestRepetitionBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.cut[1] = true
	for n := range 20 {
		f.quarantineAtOnce(fmt.Sprint("part", n, "-"))
		f.now += sameCrashWindow
	}
	f.cut[1] = false
	for range 200 {
		is.True(len(f.trackers[0].quarantineReport().Crashes) <= maxReportEntries)
		f.repeat(0)
	}
	is.Equal(len(f.trackers[1].suspects), 20)
}

// repeat makes an instance repeat what it has quarantined.
func (f *fleet) repeat(instance int) {
	f.trackers[instance].Repeat(f.trackers[instance].quarantineReport())
}

// soundServedAgain is the time after the crashes within which the platform wants sound prompts to be served again.
const soundServedAgain = 6 * clock.Second

// Guards against: a part that was quarantined wrongly, as when all instances had just restarted, is refused for long. One request
// is let through soon; its answer ends the quarantine everywhere.
func TestTrialEndsQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.quarantineAtOnce("part")
	is.Equal(f.quarantines("part"), 3)
	f.now += soundServedAgain
	is.Equal(f.letThrough("part"), 1)
	f.trackers[0].RecordAnswer([]string{"part"})
	f.settle()
	is.Equal(f.quarantines("part"), 0)
}

// quarantineAtOnce makes targets crash under a part until it is quarantined, at the latest moment.
func (f *fleet) quarantineAtOnce(part string) {
	for n := range crashesToQuarantine {
		f.now += minCrashGap
		f.trackers[0].RecordCrash([]string{part}, fmt.Sprint(part, n))
		f.settle()
	}
}

// A prompt with two quarantined parts is let through only when both may be tried, so that no trial is spent on a refusal.
func TestTrialOfTwoParts(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.quarantineAtOnce("first")
	f.now += clock.Second / 2
	f.quarantineAtOnce("second")
	f.now += clock.Second / 2
	wait, quarantined := f.trackers[0].Quarantined([]string{"first", "second"})
	is.True(quarantined && wait > 0)
	f.now += wait
	is.Equal(f.trackers[0].suspects["first"].trials, 0)
	_, quarantined = f.trackers[0].Quarantined([]string{"first", "second"})
	is.True(!quarantined)
	is.Equal(f.trackers[0].suspects["first"].trials, 1)
}

// Guards against: trials crash one engine after the other. At most three requests with a fatal part reach engines in the
// four minutes after it is quarantined.
func TestTrialsRare(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.quarantineAtOnce("fatal")
	let := 0
	for n := 0; n < 4*60; n++ {
		f.now += clock.Second
		if f.letThrough("fatal") > 0 {
			let++
			f.trackers[n%3].RecordCrash([]string{"fatal"}, fmt.Sprint("trial", n))
			f.settle()
		}
	}
	is.Equal(let, 3)
	f.trackers[1] = f.newTracker(1)
	f.repeat(0)
	f.now += clock.Second
	is.Equal(f.letThrough("fatal"), 0) // an instance that has restarted knows of the trials
}

// letThrough returns how many of the instances, asked one after the other, let a request with a part through.
func (f *fleet) letThrough(part string) int {
	n := 0
	for _, t := range f.trackers {
		if _, quarantined := t.Quarantined([]string{part}); !quarantined {
			n++
		}
		f.settle()
	}
	return n
}

// The state is bounded, and what is old is forgotten.
func TestStateBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	tracker := f.trackers[0]
	for n := range 3 * maxSuspects {
		tracker.RecordCrash([]string{fmt.Sprint("part", n)}, "engine")
		tracker.pending = Report{}
		f.now++
	}
	is.True(len(tracker.suspects) <= maxSuspects)
	for n := range 3 * maxRecentAnswers {
		tracker.RecordAnswer([]string{fmt.Sprint("sound", n)})
	}
	is.True(len(tracker.sound.current)+len(tracker.sound.previous) <= 2*maxRecentAnswers)
	for n := range 3 * maxCrashes {
		f.crash(fmt.Sprint("engine", n), map[int][]string{0: {"fatal"}})
	}
	is.Equal(len(tracker.suspects["fatal"].crashes), maxCrashes)
	f.now += forgetAfter
	tracker.quarantineReport()
	is.Equal(len(tracker.suspects), 0)
}

// A change goes out by itself within a short time, and a report fits into a datagram.
func TestFlush(t *testing.T) {
	is := is.New(t)
	sent := make(chan Report, 10)
	later := func(delay clock.Millis, f func()) { time.AfterFunc(delay.Duration(), f) }
	tracker := &Tracker{Now: clock.Now, After: later, Broadcast: func(r Report) { sent <- r }}
	var parts []string
	for n := range 2*maxReportEntries + 1 {
		parts = append(parts, fmt.Sprint("part", n))
	}
	tracker.RecordCrash(parts, "engine")
	for total := 0; total < len(parts); {
		select {
		case r := <-sent:
			is.True(len(r.Crashes) <= maxReportEntries)
			total += len(r.Crashes)
		case <-time.After(time.Second):
			t.Fatal("report not sent")
		}
	}
}
