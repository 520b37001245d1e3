package board

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
)

// Pattern: many instances place at once on a target that names a limit, each before it knows of the others' placements. What
// they send too much is paid back: in any 4 s the target gets at most one and a half times its limit and 5 requests.
func TestRateLimitPaysBack(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 1, 1.2, 3, 10, 50} {
		is := is.New(t)
		var l rateLimit
		l.set(0, &perSecond)
		var sent []clock.Millis
		for now := clock.Millis(0); now < clock.Minute; now += 10 {
			if !l.allows(now) {
				continue
			}
			for range 1 + int(perSecond/20) + int(now/clock.Second)%3 { // unseen placements of others
				sent = append(sent, now)
				l.take(now)
			}
		}
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at-first < 4*clock.Second {
					n++
				}
			}
			is.True(n <= int(6*perSecond)+5)
		}
		is.True(float64(len(sent)) >= 0.9*60*perSecond) // the target gets what it takes
		is.True(len(sent) >= 5)                         // and a few requests if it takes none, as its answers tell when that ends
	}
}

// A target that names a limit is probed less often, within the limit.
func TestLimitedTargetProbedLess(t *testing.T) {
	is := is.New(t)
	var l rateLimit
	probes := 0
	count := func(from, until clock.Millis) int {
		probes = 0
		for now := from; now < until; now += probeInterval {
			if l.probeDue(now) {
				probes++
			}
		}
		return probes
	}
	is.Equal(count(0, 20*clock.Second), 20)
	one := 1.0
	l.set(20*clock.Second, &one)
	is.True(count(20*clock.Second, 40*clock.Second) <= 5)
}

// A limit that one instance is told holds at all of them at once, and so does its end. An answer whose request was placed
// before the limit was named does not end it.
func TestRateLimitShared(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 3, 2)
	placeOn := func(b *Board, target string) *Placement {
		t.Helper()
		for range 100 {
			p, err := b.Place(short)
			is.NoErr(err)
			if p.Target.ID == target {
				return p
			}
			p.End(Inconclusive)
		}
		t.Fatalf("nothing is placed on %s", target)
		return nil
	}
	early := placeOn(boards[0], "engine-0")
	told := placeOn(boards[0], "engine-0")
	time.Sleep(5 * time.Millisecond)
	limit := 0.5
	told.RecordRateLimit(&limit)
	early.RecordRateLimit(nil)
	knows := func(b *Board) bool {
		named := false
		b.Loop.Call(func() { named = b.targets["engine-0"].limit.named })
		return named
	}
	waitUntil(t, func() bool { return knows(boards[0]) && knows(boards[1]) && knows(boards[2]) })
	onLimited := 0
	for n := range 60 {
		p, err := boards[n%3].Place(short)
		is.NoErr(err)
		if p.Target.ID == "engine-0" {
			onLimited++
		}
		waitUntil(t, func() bool { return inFlight.Load() == 0 })
		p.End(Succeeded)
	}
	is.True(onLimited <= 2)
	boards[0].Loop.Call(func() { boards[0].targets["engine-0"].limit.tokens = 1 })
	later := placeOn(boards[0], "engine-0")
	later.RecordRateLimit(nil)
	waitUntil(t, func() bool { return !knows(boards[0]) && !knows(boards[1]) && !knows(boards[2]) })
}

// An instance that does not hear of the others' placements leaves a target with a limit to those that do, and a request that
// only limited targets could run is refused for that reason.
func TestLimitedTargetLeftToOthers(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 1)[0]
	p, err := b.Place(short)
	is.NoErr(err)
	limit := 100.0
	p.RecordRateLimit(&limit)
	b.Loop.Call(func() { b.targets["engine-0"].limit.tokens = 50 })
	_, err = b.Place(short)
	is.NoErr(err)
	b.HearsPlacements = func(string) bool { return false }
	_, err = b.Place(short)
	is.Equal(err.(*Error).Kind, Limited)
}

// waitUntil waits until a condition is met and fails the test after a second.
func waitUntil(t *testing.T, met func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatal("condition not met within 1s")
}

// Guards against: each answer without a rate limit costs the loop a function, although no target has ever named a limit.
func TestAnswersWithoutLimit(t *testing.T) {
	is := is.New(t)
	b := &Board{Self: "a", Loop: loop.New()} // the loop does not run
	b.Init()
	p := &Placement{board: b}
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for range 2000 { // more than the loop's queue holds
			p.RecordRateLimit(nil)
		}
	}()
	select {
	case <-recorded:
	case <-time.After(time.Second):
		is.Fail() // the loop's queue is full
	}
}
