package board

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// plain is a request to a plain service.
var plain = Requirements{Service: "desk", FirstEventSLO: 300}

// Guards against: only the instance that has heard a target say that it leaves avoids it.
func TestLeavingToldToOthers(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 2)
	p := placeOn(t, boards[0], short, "engine-0")
	p.RecordNotice(Notice{Leaving: true})
	boards[0].Loop.Call(func() {})
	waitDelivered(boards)
	for _, b := range boards {
		for range 6 {
			p := place(t, b, short)
			is.Equal(p.Target.ID, "engine-1")
			p.End(Succeeded)
		}
	}
	p.End(Succeeded) // the answer that is under way is not affected
}

// Guards against: an engine that leaves, as its answer or another instance says, or that wants no requests, prefills parts of
// prompts or is probed.
func TestClosedEngineHelpsNobody(t *testing.T) {
	for name, c := range map[string]struct {
		notice Notice
		closed []bool // whether it is closed to each instance
	}{
		"leaving": {Notice{Leaving: true}, []bool{true, true}},
		"quiet":   {Notice{Quiet: clock.Minute}, []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			boards := newBoards(t, 2, 4)
			p := placeOn(t, boards[0], short, "engine-0")
			p.RecordNotice(c.notice)
			p.End(Succeeded)
			boards[0].Loop.Call(func() {})
			waitDelivered(boards)
			for n, b := range boards {
				b.Loop.Call(func() { b.Broadcast = func([]byte) {} }) // its requests do not concern the other instance
				used, helpers := false, 0
				for range 20 {
					p := place(t, b, long)
					helpers += len(p.Helpers)
					used = used || p.Target.ID == "engine-0" || p.FindHelper("engine-0") != ""
					p.End(Succeeded)
				}
				is.True(helpers > 0)
				is.Equal(used, !c.closed[n])
				var probed atomic.Bool
				probe(b, func(target string) (float64, error) {
					if target == "engine-0" {
						probed.Store(true)
					}
					return 1, nil
				})
				is.Equal(probed.Load(), !c.closed[n])
				is.Equal(b.Closed("engine-0"), c.closed[n])
			}
		})
	}
}

// Guards against: a target that wants no requests from one instance gets none from the others either, or a part of a prompt or
// a probe from the one.
func TestQuietOfOneInstance(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 2)
	p := placeOn(t, boards[0], short, "engine-0")
	p.RecordNotice(Notice{Quiet: clock.Minute})
	p.End(Failed)
	boards[0].Loop.Call(func() {})
	waitDelivered(boards)
	for range 6 {
		p := place(t, boards[0], long)
		is.Equal(p.Target.ID, "engine-1")
		is.Equal(len(p.Helpers), 0)
		p.End(Succeeded)
	}
	var probed atomic.Bool
	probe(boards[0], func(target string) (float64, error) {
		if target == "engine-0" {
			probed.Store(true)
		}
		return 1, nil
	})
	is.True(!probed.Load())
	placeOn(t, boards[1], short, "engine-0")
}

// Guards against: a request waits, or is told nothing, when all targets want none for a while.
func TestQuietOfAll(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 0)[0]
	for n, id := range []string{"plain-0", "plain-1", "plain-2"} {
		p := placeOn(t, b, plain, id)
		p.RecordNotice(Notice{Quiet: clock.Minute + clock.Millis(n)*clock.Second})
		p.End(Failed)
	}
	_, err := b.Place(plain)
	var e *Error
	is.True(eris.As(err, &e))
	is.Equal(e.Kind, Quiet)
	is.True(e.Wait > 50*clock.Second && e.Wait <= clock.Minute) // that of the first
}

// Guards against: a notice of an earlier start of a target, which arrives late, closes the new one.
func TestNoticeOfEarlierStart(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 0)[0]
	old := Target{ID: "one", Service: "desk", Slots: 6, Born: 1}
	b.ReplaceTargets([]Target{old}, ListTrust{})
	p := place(t, b, plain)
	fresh := old
	fresh.Born = 2
	b.ReplaceTargets([]Target{fresh}, ListTrust{})
	p.RecordNotice(Notice{Leaving: true, Quiet: clock.Minute})
	is.Equal(place(t, b, plain).Target.ID, "one")
}

// Guards against: a target that started anew, or moved, is left alone since it wanted no requests before, or one whose entry is
// listed once more is not.
func TestQuietUntilNextStart(t *testing.T) {
	old := Target{ID: "one", Service: "desk", Slots: 6, Addr: "10.0.0.1:1", Born: 1}
	reborn, moved := old, old
	reborn.Born, moved.Addr = 2, "10.0.0.2:1"
	for name, listed := range map[string]Target{"same start": old, "started anew": reborn, "moved": moved} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBoards(t, 1, 0)[0]
			b.ReplaceTargets([]Target{old}, ListTrust{})
			p := place(t, b, plain)
			p.RecordNotice(Notice{Quiet: clock.Minute})
			p.End(Failed)
			b.ReplaceTargets([]Target{listed}, ListTrust{})
			_, err := b.Place(plain)
			is.Equal(err == nil, listed != old)
			is.Equal(b.ServiceQuietTime("desk") > 0, listed == old)
		})
	}
}

// Guards against: an instance that has started since a target left believes an older list which names it, or does not use the
// next start of the target.
func TestDoubtToldToOthers(t *testing.T) {
	listed := Target{ID: "one", Service: "desk", Slots: 6, Born: 1}
	for name, born := range map[string]clock.Millis{"same start": 1, "started anew": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			boards := newBoards(t, 2, 0)
			knows, fresh := boards[0], boards[1]
			knows.ReplaceTargets([]Target{listed}, ListTrust{})
			knows.ReplaceTargets(nil, ListTrust{})
			knows.ReplaceTargets([]Target{listed}, ListTrust{DoubtUntil: clock.Now() + clock.Minute})
			known := listed
			known.Born = born
			fresh.ReplaceTargets([]Target{known}, ListTrust{})
			knows.Loop.Call(knows.rebroadcastAndExpire)
			waitDelivered(boards)
			fresh.ReplaceTargets([]Target{known}, ListTrust{}) // a further version of the list
			_, err := fresh.Place(plain)
			is.Equal(err == nil, born != listed.Born)
		})
	}
}

// Guards against: a target that has left is used again as an outdated list names it, or one that started anew under its id is
// not used.
func TestLeftTargetListedAgain(t *testing.T) {
	ready := Target{ID: "one", Service: "desk", Slots: 6, Born: 1}
	draining := ready
	draining.Draining = true
	reborn := ready
	reborn.Born = 2
	doubt := ListTrust{DoubtUntil: clock.Now() + clock.Minute}
	for _, c := range []struct {
		name   string
		left   []Target // the list that says that the target leaves
		listed Target
		trust  ListTrust
		placed bool
	}{
		{"removed, list in doubt", nil, ready, doubt, false},
		{"draining, list in doubt", []Target{draining}, ready, doubt, false},
		{"draining, list not in doubt", []Target{draining}, ready, ListTrust{}, true},
		{"started anew", nil, reborn, doubt, true},
		{"doubt over", nil, ready, ListTrust{DoubtUntil: clock.Now()}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBoards(t, 1, 0)[0]
			b.ReplaceTargets([]Target{ready}, ListTrust{})
			b.ReplaceTargets(c.left, ListTrust{})
			b.ReplaceTargets([]Target{c.listed}, c.trust)
			_, err := b.Place(Requirements{ID: "r", Service: "desk", FirstEventSLO: 300, Deadline: clock.Now() + clock.Second})
			is.Equal(err == nil, c.placed)
		})
	}
}
