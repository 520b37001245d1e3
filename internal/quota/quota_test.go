package quota

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// testAccount is an account whose clock the test moves, and the holders that were closed for others, in order.
type testAccount struct {
	Account
	now     clock.Millis
	evicted []string
	reasons []Reason
}

func newTestAccount(most int64) *testAccount {
	a := &testAccount{}
	a.Max = most
	a.Now = func() clock.Millis { return a.now }
	return a
}

// open opens a holder of so many bytes.
func (a *testAccount) open(t *testing.T, name string, bytes int64) *Holder {
	t.Helper()
	h := a.Open(func(r Reason) { a.evicted, a.reasons = append(a.evicted, name), append(a.reasons, r) })
	if err := h.Reserve(bytes); err != nil {
		t.Fatal(err)
	}
	return h
}

// Guards against: the account is full of bodies that have stalled, and a caller that makes progress is refused for them; or the wrong one
// is closed: one that holds less, has made progress, or waits for this instance.
func TestLargestStalledClosed(t *testing.T) {
	const unit = 1 << 20
	is := is.New(t)
	a := newTestAccount(16 * unit) // of which 12 are for large holders
	served := a.open(t, "served", 4*unit)
	served.SetWaiting(false)
	a.open(t, "stalled, less", 2*unit)
	a.open(t, "stalled", 3*unit)
	a.now = 1000
	a.open(t, "lately", 3*unit)
	a.now = 1100
	asker := a.Open(nil)
	is.NoErr(asker.Reserve(unit))
	is.Equal(a.evicted, []string{"stalled"})
	is.Equal(a.reasons, []Reason{Memory})
}

// Guards against: a caller that holds more than all others has one of these closed for it.
func TestLargestAskerRefused(t *testing.T) {
	const unit = 1 << 20
	is := is.New(t)
	a := newTestAccount(16 * unit)
	other := a.open(t, "other", 5*unit)
	a.now = 1000
	asker := a.open(t, "asker", 7*unit)
	err := asker.Reserve(unit)
	is.True(Is(err))
	is.Equal(len(a.evicted), 0)
	asker.Release(7 * unit)
	is.NoErr(other.Reserve(unit))
	is.Equal(a.Used(), int64(6*unit))
}

// Guards against: large bodies leave no room for a small request.
func TestPartForSmall(t *testing.T) {
	is := is.New(t)
	a := newTestAccount(4 << 20)
	large := a.open(t, "large", 3<<20)
	large.SetWaiting(false)
	is.True(Is(large.Reserve(1)))
	small := a.open(t, "small", smallBytes)
	is.True(Is(small.Reserve(1))) // it is not small any more
	is.Equal(len(a.evicted), 0)
}

// Guards against: connections that were closed for others still hold their memory, and more and more are closed meanwhile.
func TestLeavingBounded(t *testing.T) {
	const unit = 1 << 20
	is := is.New(t)
	a := newTestAccount(16 * unit)
	var stalled []*Holder
	for range 6 {
		stalled = append(stalled, a.open(t, "stalled", 2*unit))
	}
	asker := a.open(t, "asker", unit/16)
	a.now = 1000
	granted := 0
	for asker.Reserve(unit/8) == nil && granted < 1000 {
		granted++
		asker.Release(unit / 8)
		asker = a.open(t, "asker", unit/16)
	}
	is.True(a.Used() <= 20*unit)
	for _, h := range stalled {
		h.Close()
		h.Close()
	}
	is.True(a.Used() <= 16*unit)
}

// Guards against: an answer that its caller takes is cut for others, or one that nobody reads is not.
func TestUnreadAnswerClosed(t *testing.T) {
	const unit = 1 << 20
	is := is.New(t)
	a := newTestAccount(16 * unit)
	h := a.open(t, "answer", 11*unit)
	h.SetWaiting(false)
	a.now = 1000
	h.SetWriting(true)
	asker := a.Open(nil)
	is.True(Is(asker.Reserve(2 * unit)))
	a.now += unreadTime - 1
	h.Progress()
	a.now += unreadTime - 1
	is.True(Is(asker.Reserve(2 * unit)))
	a.now++
	is.NoErr(asker.Reserve(2 * unit))
	is.Equal(a.evicted, []string{"answer"})
}

// Guards against: an account without a limit refuses, or code without an account fails.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	a := newTestAccount(0)
	h := a.open(t, "any", 1<<40)
	is.NoErr(h.Reserve(1 << 40))
	var none *Account
	nobody := none.Open(nil)
	is.NoErr(nobody.Keep(1))
	is.NoErr(nobody.Adjust(1))
	nobody.Progress()
	nobody.Reset()
	nobody.Release(1)
	nobody.SetWaiting(true)
	nobody.SetWriting(true)
	nobody.Close()
	is.Equal(HolderOf(t.Context()), nobody)
}

// Guards against: what a request has held stays charged to its connection, or the connection's own part is given back with it.
func TestResetKeepsConnection(t *testing.T) {
	is := is.New(t)
	a := newTestAccount(1 << 20)
	h := a.Open(nil)
	is.NoErr(h.Keep(100))
	is.NoErr(h.Reserve(50))
	is.NoErr(h.Adjust(70))
	is.Equal(a.Used(), int64(170))
	is.NoErr(h.Adjust(20))
	is.Equal(a.Used(), int64(120))
	h.Release(1000)
	is.Equal(a.Used(), int64(100))
	is.NoErr(h.Reserve(50))
	h.Reset()
	is.Equal(a.Used(), int64(100))
	h.Close()
	is.Equal(a.Used(), int64(0))
	is.True(Is(h.Reserve(1)))
	h.Reset() // a server that shuts down closes idle connections, whose goroutines may only then record that they are idle
	is.Equal(a.Used(), int64(0))
	h.Release(1)
	is.Equal(a.Used(), int64(0))
}

// Guards against: new callers find no connection as silent ones hold all, or one in service is closed for them.
func TestGate(t *testing.T) {
	is := is.New(t)
	a := newTestAccount(0)
	g := Gate{Max: 2}
	served := a.open(t, "served", 1)
	served.SetWaiting(false)
	is.True(g.Enter(served))
	a.now = 10
	is.True(g.Enter(a.open(t, "silent", 1)))
	a.now = 20
	is.True(g.Enter(a.open(t, "new", 1)))
	is.Equal(a.evicted, []string{"silent"})
	is.Equal(a.reasons, []Reason{Files})
	served.SetWaiting(true)
	served.SetWaiting(false)
	last := a.open(t, "last", 1)
	last.SetWaiting(false)
	is.True(g.Enter(last))
	is.Equal(a.evicted, []string{"silent", "new"})
	is.True(!g.Enter(a.open(t, "refused", 1)))
	g.Leave(last)
	is.True(g.Enter(a.open(t, "later", 1)))
	free := Gate{}
	for range 100 {
		is.True(free.Enter(a.open(t, "any", 1)))
	}
}

// Guards against: for some order of calls the account holds more than it may, differs from what the holders have, or closes one that
// waits for this instance.
func TestAccountProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 1 << 20
		a := newTestAccount(most)
		var open []*Holder
		serving := make(map[*Holder]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			a.now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "pause"))
			if len(open) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				var h *Holder
				h = a.Open(func(Reason) {
					if serving[h] {
						t.Fatal("closed while it waits for this instance")
					}
				})
				open = append(open, h)
			}
			h := open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")]
			n := int64(rapid.IntRange(1, most/4).Draw(t, "bytes"))
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			case 0, 1:
				before := h.held
				if err := h.Reserve(n); (err == nil) != (h.held == before+n) {
					t.Fatalf("reserved %d of %d: %v", h.held-before, n, err)
				}
			case 2:
				h.Release(n)
			case 3:
				serving[h] = !serving[h]
				h.SetWaiting(!serving[h])
			case 4:
				h.Reset()
				serving[h] = false
			case 5:
				_ = h.Keep(n / 8)
			default:
				h.Close()
			}
			var used, leaving int64
			for _, h := range open {
				if h.held < h.kept || h.ended && h.held != 0 {
					t.Fatalf("a holder has %d bytes", h.held)
				}
				if h.evicted {
					leaving += h.held
				} else {
					used += h.held
				}
			}
			if used != a.used || leaving != a.leaving || used > most || used+leaving > most+most/leavingPart {
				t.Fatalf("account has %d and %d, holders have %d and %d", a.used, a.leaving, used, leaving)
			}
		}
	})
}
