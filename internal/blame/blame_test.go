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
	atSettle := func(time.Duration, func()) {} // settle flushes
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
	f.now += clock.Second
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
func TestBystanderNotBlamed(t *testing.T) {
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

// repeat makes an instance repeat what it has quarantined.
func (f *fleet) repeat(instance int) {
	for _, r := range f.trackers[instance].quarantineReport().split() {
		f.trackers[instance].Repeat(r)
	}
}

// Guards against: a quarantine that nothing ends. Each instance lets one request through after trialInterval; its answer
// ends the quarantine everywhere, a crash renews it.
func TestTrial(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range crashesToQuarantine {
		f.crash(fmt.Sprint("engine", n), map[int][]string{0: {"part"}})
	}
	wait, _ := f.trackers[1].Quarantined([]string{"part"})
	is.True(wait > trialInterval-2*clock.Second && wait <= trialInterval)
	f.now += trialInterval
	_, quarantined := f.trackers[1].Quarantined([]string{"part"})
	is.True(!quarantined) // the trial
	f.crash("engine9", map[int][]string{1: {"part"}})
	is.Equal(f.quarantines("part"), 3)
	f.now += trialInterval
	_, quarantined = f.trackers[1].Quarantined([]string{"part"})
	is.True(!quarantined)
	f.trackers[1].RecordAnswer([]string{"part"})
	f.settle()
	is.Equal(f.quarantines("part"), 0)
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
	for n := range 3 * maxRecentParts {
		tracker.RecordAnswer([]string{fmt.Sprint("sound", n)})
	}
	is.True(len(tracker.sound.current)+len(tracker.sound.previous) <= 2*maxRecentParts)
	for n := range 3 * maxCrashesPerPart {
		f.crash(fmt.Sprint("engine", n), map[int][]string{0: {"fatal"}})
	}
	is.Equal(len(tracker.suspects["fatal"].crashes), maxCrashesPerPart)
	f.now += forgetAfter
	tracker.quarantineReport()
	is.Equal(len(tracker.suspects), 0)
}

// A change goes out by itself within a short time, and a report fits into a datagram.
func TestFlush(t *testing.T) {
	is := is.New(t)
	sent := make(chan Report, 10)
	tracker := &Tracker{Now: clock.Now, Broadcast: func(r Report) { sent <- r }}
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
