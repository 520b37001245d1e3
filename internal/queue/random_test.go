package queue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: an entry is lost or leaves twice, more wait than may, two have a turn at once, one has its turn before another one of
// its line that comes first, or a line with entries is never due.
func TestNothingLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		q := newQueue(entries)
		debts := []float64{rapid.Float64Range(-2, 2).Draw(t, "debt"), 0, 1}
		q.Debt = func(customer string) float64 { return debts[len(customer)-1] }
		waiting := map[*Entry]bool{}
		leave := func(e *Entry) {
			if !waiting[e] {
				t.Fatal("an entry left that did not wait")
			}
			delete(waiting, e)
		}
		var turn *Entry
		now := clock.Millis(1000)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 40).Draw(t, "passed"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				e := newEntry(now, rapid.SampledFrom([]int{0, 5000, 300_000}).Draw(t, "tokens"), rapid.IntRange(-1, 3).Draw(t, "priority"),
					"abc"[:rapid.IntRange(1, 3).Draw(t, "customer")], clock.Millis(rapid.IntRange(0, 600).Draw(t, "longest")))
				displaced, err := q.Join(now, e, errCostly, clock.Millis(rapid.SampledFrom([]int{0, 0, 50}).Draw(t, "wait")))
				if displaced != nil {
					leave(displaced)
				}
				if err == nil {
					waiting[e] = true
				}
			case 3:
				q.Signal("models")
			case 4:
				if turn != nil && waiting[turn] {
					for _, e := range q.Fail(now, turn, errCostly, clock.Millis(rapid.SampledFrom([]int{0, 0, 200}).Draw(t, "wait"))) {
						leave(e)
					}
				}
				turn = nil
			case 5:
				if turn != nil && waiting[turn] {
					q.Placed(now, turn)
					leave(turn)
				}
				turn = nil
			case 6:
				for e := range waiting {
					if e.Until() <= now || rapid.Bool().Draw(t, "gone") {
						q.Leave(e)
						leave(e)
					}
				}
			}
			if turn != nil && !waiting[turn] {
				turn = nil // it has left in its turn
			}
			switch e := q.Next(now); {
			case turn == nil && e != nil:
				turn = e
				checkFirst(t, q, now, waiting, turn)
			case e != nil:
				t.Fatal("two turns at once")
			}
			checkQueue(t, q, now, waiting, turn, entries)
		}
		for _, e := range q.Close() {
			leave(e)
		}
		if len(waiting) > 0 || q.Len() > 0 {
			t.Fatal("entries are left")
		}
	})
}

// checkFirst checks that no entry of its line comes before the one whose turn it is.
func checkFirst(t *rapid.T, q *Queue, now clock.Millis, waiting map[*Entry]bool, turn *Entry) {
	for e := range waiting {
		if e.line == turn.line && q.compare(now, e, turn) < 0 {
			t.Fatal("an entry has its turn before one that comes first")
		}
	}
}

// checkQueue checks what holds after each step.
func checkQueue(t *rapid.T, q *Queue, now clock.Millis, waiting map[*Entry]bool, turn *Entry, entries int) {
	if q.Len() != len(waiting) || q.Len() > entries {
		t.Fatalf("%d entries, %d expected, %d allowed", q.Len(), len(waiting), entries)
	}
	if turn != nil {
		return
	}
	at, ok := q.NextAt()
	if ok != (len(waiting) > 0) || ok && at > now+clock.Second {
		t.Fatalf("%d entries, next try at %d, now %d", len(waiting), at, now)
	}
}

// Guards against: while there is less room than demand, an entry that could be served within its longest wait by its level is passed by
// later ones, or callers that come back at once are served more often than those that wait.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(256)
		gap := clock.Millis(rapid.IntRange(5, 60).Draw(t, "gap between room"))
		patient := rapid.IntRange(1, 20).Draw(t, "patient")
		hasty := rapid.IntRange(1, 20).Draw(t, "hasty")
		const longest = 250
		type caller struct {
			hasty  bool
			entry  *Entry
			next   clock.Millis // when it comes
			served int
		}
		callers := make([]*caller, 0, patient+hasty)
		for n := range patient + hasty {
			callers = append(callers, &caller{hasty: n >= patient, next: clock.Millis(rapid.IntRange(0, 50).Draw(t, "comes"))})
		}
		room, tokens := clock.Millis(0), 0
		for now := clock.Millis(0); now < 10*clock.Second; now++ {
			if now >= room {
				room, tokens = now+gap, min(tokens+1, 2)
				q.Signal("models")
			}
			for _, c := range callers {
				switch {
				case c.entry != nil && now >= c.entry.Until(), c.entry != nil && c.hasty && now >= c.entry.Since+40: // hasty ones break off and come anew
					q.Leave(c.entry)
					c.entry, c.next = nil, now+1
					if !c.hasty {
						c.next = now + 300
					}
				case c.entry == nil && now >= c.next && !q.Occupied(Need{Service: "models", Tokens: 5000}) && tokens > 0:
					tokens--
					c.served++
					c.next = now + 10
				case c.entry == nil && now >= c.next:
					c.entry = newEntry(now, 5000, 0, fmt.Sprint(c.hasty), longest)
					if _, err := q.Join(now, c.entry, errCostly, 0); err != nil {
						t.Fatal(err)
					}
				}
			}
			for e := q.Next(now); e != nil; e = q.Next(now) {
				if tokens == 0 {
					q.Fail(now, e, errCostly, 0)
					continue
				}
				tokens--
				q.Placed(now, e)
				for _, c := range callers {
					if c.entry == e {
						c.entry, c.next = nil, now+10
						c.served++
					}
				}
			}
		}
		servedPatient, servedHasty := 0, 0
		for _, c := range callers {
			if c.hasty {
				servedHasty += c.served
			} else {
				servedPatient += c.served
			}
		}
		if each := float64(servedPatient) / float64(patient); each < 0.9*float64(servedHasty)/float64(hasty)-2 {
			t.Fatalf("patient callers were served %.1f times each, hasty ones %.1f", each, float64(servedHasty)/float64(hasty))
		}
	})
}
