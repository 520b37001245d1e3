package board

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// look has one board ask all engines, with answers by target.
func look(b *Board, ask func(target string) (float64, error)) {
	b.Monitors = func(string) bool { return true }
	b.Probe = func(_ context.Context, t Target) (float64, error) { return ask(t.ID) }
	b.look(context.Background())
	b.Loop.Call(b.flush)
}

// Pattern: one engine turns slow. Short questions go to the others, from all instances.
func TestSlowEngine(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 3)
	look(boards[0], func(target string) (float64, error) {
		if target == "engine-1" {
			return 8, nil
		}
		return 1, nil
	})
	settle(boards)
	for range 12 {
		is.True(place(t, boards[1], short).Target.ID != "engine-1")
		settle(boards)
	}
}

// Pattern: an engine goes silent with requests on it. Their instances are told at once, and nothing more is sent there.
func TestSilentEngine(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 3)
	p := placeOn(t, boards[1], short, "engine-0")
	other := placeOn(t, boards[1], short, "engine-1")
	settle(boards)
	look(boards[0], func(target string) (float64, error) {
		if target == p.Target.ID {
			return 0, errors.New("no answer")
		}
		return 1, nil
	})
	settle(boards)
	<-p.TargetDown()
	select {
	case <-other.TargetDown():
		t.Fatal("an engine that answers was taken for silent")
	default:
	}
	for range 6 {
		is.True(place(t, boards[1], short).Target.ID != p.Target.ID)
	}
}

// An instance that hears of no engine is cut off itself, and says nothing of them.
func TestOwnCut(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 3)
	p := place(t, boards[1], short)
	settle(boards)
	look(boards[0], func(string) (float64, error) { return 0, errors.New("no answer") })
	settle(boards)
	select {
	case <-p.TargetDown():
		t.Fatal("taken for silent")
	default:
	}
	is.True(boards[1].node(p.Target.ID).down == false)
}

// A plain target that answers much more slowly than the others gets little, until that is forgotten.
func TestSlowPlainTarget(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 0)
	b := boards[0]
	b.Loop.Call(func() {
		b.node("plain-0").took(300)
		b.node("plain-1").took(30)
		b.node("plain-2").took(30)
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
