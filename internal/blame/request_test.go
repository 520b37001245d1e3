package blame

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	fatalRequest    = "=fatal" // ids of requests as a whole, whose first character no id of a part has
	soundRequest    = "=sound"
	graceAfterThird = 3 * clock.Second // the platform's bound for the instances to act on the third crash
	allowedAfter    = 3                // times that a fatal request may reach targets after that
)

// crashRequest makes a target crash under requests of the given instances a moment after the last crash.
func (f *fleet) crashRequest(target string, requests map[int][]string) {
	f.now += clock.Millis(1)
	for i, ids := range requests {
		f.trackers[i].RecordCrash(ids, target)
	}
	f.settle()
}

// Guards against: the three crashes of a fatal request's attempts, or of copies of it at several instances, count as one, as they
// come within 100 ms.
func TestRequestCrashesInQuickSuccession(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range crashesToQuarantine {
		is.Equal(f.quarantines(fatalRequest), 0)
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{n: {fatalRequest}})
	}
	is.Equal(f.quarantines(fatalRequest), 3)
	f = newFleet(3)
	for range crashesToQuarantine { // one crash, which several instances report
		f.crashRequest("target", map[int][]string{0: {fatalRequest}, 1: {fatalRequest}, 2: {fatalRequest}})
	}
	is.Equal(f.quarantines(fatalRequest), 0)
}

// Guards against: a request that was answered is never suspected when it becomes fatal, for as long as its callers send it again.
func TestRequestFatalAfterAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.trackers[1].RecordAnswer([]string{fatalRequest})
	for n := range 2 {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{0: {fatalRequest}})
	}
	f.now++
	f.trackers[2].RecordAnswer([]string{fatalRequest}) // the crashes were those of others
	f.settle()
	for n := range crashesToQuarantine {
		is.Equal(f.quarantines(fatalRequest), 0)
		f.crashRequest(fmt.Sprint("target", 3+n), map[int][]string{n: {fatalRequest}})
	}
	is.Equal(f.quarantines(fatalRequest), 3)
}

// Guards against: trials and late evidence together let a fatal request reach targets more than three times in the hour after its
// third crash and the grace.
func TestFatalRequestRarelyTried(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range crashesToQuarantine {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{n: {fatalRequest}})
	}
	f.now += graceAfterThird
	let := 0
	for n := range 60 * 60 {
		f.now += clock.Second
		if f.letThrough(fatalRequest) > 0 {
			let++
			f.crashRequest(fmt.Sprint("trial", n), map[int][]string{n % 3: {fatalRequest}})
		}
	}
	is.True(let <= allowedAfter)
	f.trackers[1] = f.newTracker(1)
	f.repeat(0)
	f.now += 5 * clock.Minute
	is.Equal(f.letThrough(fatalRequest), 0) // an instance that has restarted, or slept, knows of the trials
}

// Guards against: a request that is on a crashing target beside the fatal one each time, as where few targets serve many, is
// refused for long. It is refused until its first trial at the most.
func TestRequestBesideFatalClearedSoon(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range crashesToQuarantine {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{0: {fatalRequest}, 1: {soundRequest, "part"}})
	}
	is.Equal(f.quarantines(fatalRequest), 3)
	f.crashRequest("target4", map[int][]string{2: {fatalRequest}}) // a copy on its way; its four crashes explain the others
	is.Equal(f.quarantines(fatalRequest), 3)
	is.Equal(f.quarantines(soundRequest), 0)
	is.Equal(f.quarantines("part"), 0)
	f = newFleet(3)
	for n := range crashesToQuarantine {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{0: {fatalRequest}, 1: {soundRequest}})
	}
	f.now += clock.Second
	_, quarantined := f.trackers[1].Quarantined([]string{soundRequest})
	is.True(!quarantined)
	f.trackers[1].RecordAnswer([]string{soundRequest})
	f.settle()
	is.Equal(f.quarantines(soundRequest), 0)
}

// Guards against: a request that is asked for all the time, and mostly answered, is refused because crashing targets broke many of it.
func TestAnswersBetweenCrashesClearRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range 20 {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{0: {soundRequest}, 1: {soundRequest}})
		f.crashRequest(fmt.Sprint("second", n), map[int][]string{2: {soundRequest}})
		is.Equal(f.quarantines(soundRequest), 0)
		f.now++
		f.trackers[n%3].RecordAnswer([]string{soundRequest})
		f.settle()
	}
}

// Guards against: an instance that has lost the datagrams of an answer goes on to refuse, or makes others refuse again.
func TestRequestAnsweredDefended(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range crashesToQuarantine {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{0: {soundRequest}})
	}
	f.cut[2] = true
	f.now++
	f.trackers[0].RecordAnswer([]string{soundRequest})
	f.settle()
	is.Equal(f.quarantines(soundRequest), 1)
	f.cut[2] = false
	f.repeat(2)
	f.settle()
	is.Equal(f.quarantines(soundRequest), 0)
}

// Guards against: a flood of suspects makes an instance forget a request that is quarantined, and has crashed nothing since.
func TestQuarantineOutlastsSuspects(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for n := range crashesToQuarantine {
		f.now += minCrashGap
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{0: {fatalRequest}})
	}
	for n := range 2 * maxSuspects {
		f.crashRequest("other", map[int][]string{0: {fmt.Sprint("=", n)}})
	}
	suspects := f.trackers[0].suspects
	is.True(len(suspects) <= maxSuspects)
	is.True(suspects[fatalRequest] != nil && suspects[fatalRequest].quarantined)
}

// What is repeated makes an instance that has restarted refuse a fatal request, also one whose crashes came at once.
func TestRequestQuarantineRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for n := range crashesToQuarantine {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{0: {fatalRequest}})
	}
	f.trackers[1] = f.newTracker(1)
	f.repeat(0)
	is.Equal(f.quarantines(fatalRequest), 2)
}

// Guards against: a trial that reached no target, as where all of them are down, makes the next one as rare as if it had failed again.
func TestTrialWithoutOutcome(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range crashesToQuarantine {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{0: {soundRequest}})
	}
	f.now += clock.Second
	for range 5 {
		is.Equal(f.letThrough(soundRequest), 1)
		is.Equal(f.letThrough(soundRequest), 0)
		f.now += 8 * clock.Second
	}
}

// Sound requests, which are many, cost neither memory nor datagrams.
func TestSoundRequestsNotKept(t *testing.T) {
	is := is.New(t)
	tracker := newFleet(1).trackers[0]
	for n := range 100 {
		tracker.RecordAnswer([]string{fmt.Sprint("=", n)})
	}
	is.Equal(len(tracker.sound.current)+len(tracker.sound.previous), 0)
	is.Equal(len(tracker.pending.Answers), 0)
}

// Guards against: all callers of a fatal request, refused until the same moment, return then to several instances, which let one
// through each.
func TestRefusedCallersReturnApart(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for n := range crashesToQuarantine {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{0: {fatalRequest}})
	}
	waits := make(map[clock.Millis]bool)
	for range 100 {
		wait, quarantined := f.trackers[0].Quarantined([]string{fatalRequest})
		is.True(quarantined)
		is.True(wait >= clock.Second && wait < 2*clock.Second)
		waits[wait/100] = true
	}
	is.True(len(waits) > 5)
}

// Guards against: a fatal part is noticed late, as the first three crashes were those of one request with it, which is blamed instead.
func TestFatalPartNotHiddenByRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range crashesToQuarantine {
		f.crash(fmt.Sprint("target", n), map[int][]string{n: {fatalRequest, "fatal"}})
	}
	is.Equal(f.quarantines("fatal"), 3)
	is.Equal(f.quarantines(fatalRequest), 3)
}

// Guards against: the trial of a fatal request makes a sound part of its prompt, which cannot be told apart from it, refused for long.
func TestTrialOfRequestLeavesPart(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range crashesToQuarantine {
		f.crash(fmt.Sprint("target", n), map[int][]string{n: {fatalRequest, "sound"}})
	}
	f.now += clock.Second
	_, quarantined := f.trackers[0].Quarantined([]string{fatalRequest, "sound"})
	is.True(!quarantined)
	f.crash("target4", map[int][]string{0: {fatalRequest, "sound"}})
	is.Equal(f.quarantines(fatalRequest), 3)
	_, quarantined = f.trackers[1].Quarantined([]string{"=other", "sound"})
	is.True(!quarantined)
	f.trackers[1].RecordAnswer([]string{"=other", "sound"})
	f.settle()
	is.Equal(f.quarantines("sound"), 0)
	is.Equal(f.quarantines(fatalRequest), 3)
}

// Guards against: instances to which copies of a fatal request come at the same moment let one through each, as none has heard of
// the others' trials.
func TestOneInstanceHoldsTrial(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range crashesToQuarantine {
		f.crashRequest(fmt.Sprint("target", n), map[int][]string{n: {fatalRequest}})
	}
	f.now += 2 * clock.Second
	let := make(chan bool, len(f.trackers))
	for _, tracker := range f.trackers {
		go func() {
			_, quarantined := tracker.Quarantined([]string{fatalRequest})
			let <- !quarantined
		}()
	}
	time.Sleep(claimTime.Duration() / 2)
	f.settle()
	passed := 0
	for range f.trackers {
		if <-let {
			passed++
		}
	}
	is.Equal(passed, 1)
}

// Guards against: the late report of an earlier answer hides a later one, so that a crash between them counts.
func TestLatestAnswerKept(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	tracker := f.trackers[0]
	f.crashRequest("target", map[int][]string{0: {soundRequest}})
	crashed := f.now
	f.now += clock.Second
	tracker.RecordAnswer([]string{soundRequest})
	tracker.Receive(Report{Crashes: []Crash{{ID: soundRequest, Target: "second", Age: -1}}}) // makes it a suspect again
	tracker.Receive(Report{Answers: []Answer{{ID: soundRequest, Age: f.now - crashed + 1}}})
	tracker.Receive(Report{Crashes: []Crash{{ID: soundRequest, Target: "third", Age: f.now - crashed}}})
	is.Equal(len(tracker.suspects[soundRequest].crashes), 1)
}
