package board

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/model"
)

// probe has a board probe all engines once and broadcast the results; probeTarget returns the slowdown of a target.
func probe(b *Board, probeTarget func(target string) (float64, error)) {
	b.Monitors = func(string) bool { return true }
	b.Probe = func(_ context.Context, t Target) (Report, error) {
		slowdown, err := probeTarget(t.ID)
		return Report{Slowdown: slowdown}, err
	}
	b.probeTargets(context.Background())
	b.Loop.Call(b.flush)
}

// Pattern: one engine becomes slow. All instances place short prompts on the others.
func TestSlowEngine(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 3)
	probe(boards[0], func(target string) (float64, error) {
		if target == "engine-1" {
			return 8, nil
		}
		return 1, nil
	})
	waitDelivered(boards)
	for range 12 {
		is.True(place(t, boards[1], short).Target.ID != "engine-1")
		waitDelivered(boards)
	}
}

// Pattern: an engine stops answering while it has requests. They are notified at once, and nothing more is placed on it.
func TestUnresponsiveEngine(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 3)
	p := placeOn(t, boards[1], short, "engine-0")
	other := placeOn(t, boards[1], short, "engine-1")
	waitDelivered(boards)
	probe(boards[0], func(target string) (float64, error) {
		if target == p.Target.ID {
			return 0, errors.New("no answer")
		}
		return 1, nil
	})
	waitDelivered(boards)
	<-p.TargetDown()
	select {
	case <-other.TargetDown():
		t.Fatal("an engine that answers was reported as down")
	default:
	}
	for range 6 {
		is.True(place(t, boards[1], short).Target.ID != p.Target.ID)
	}
}

// An instance whose probes all fail is itself isolated, and does not report the engines as down.
func TestIsolatedProber(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 3)
	p := place(t, boards[1], short)
	waitDelivered(boards)
	probe(boards[0], func(string) (float64, error) { return 0, errors.New("no answer") })
	waitDelivered(boards)
	select {
	case <-p.TargetDown():
		t.Fatal("an engine was reported as down by an isolated instance")
	default:
	}
	is.True(boards[1].target(p.Target.ID).down == false)
}

// A plain target that answers much more slowly than the others gets few requests.
func TestSlowPlainTarget(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 0)
	b := boards[0]
	b.Loop.Call(func() {
		b.target("plain-0").recordAnswerTime(300)
		b.target("plain-1").recordAnswerTime(30)
		b.target("plain-2").recordAnswerTime(30)
	})
	count := 0
	for range 6 {
		p := place(t, b, Requirements{Service: "desk"})
		if p.Target.ID == "plain-0" {
			count++
		}
	}
	is.True(count <= 1)
}

// Guards against: an instance that hears of its engines before it has a configuration does not probe them.
func TestProbesOfEnginesListedFirst(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 2)[0]
	engine := b.Engine
	b.Loop.Call(func() { b.Engine = func(string) (model.Engine, bool) { return model.Engine{}, false } })
	b.ReplaceTargets([]Target{{ID: "early", Service: "models", Slots: 16}}, ListTrust{})
	b.Loop.Call(func() { b.Engine = engine })
	probed := false
	probe(b, func(target string) (float64, error) {
		probed = probed || target == "early"
		return 1, nil
	})
	is.True(probed)
}
