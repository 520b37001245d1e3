package board

import (
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// sendAll asks for some placements, over some time, whether they may be sent, and returns when those were that may.
func sendAll(b *Board, from, until clock.Millis, waiting []*Placement) []clock.Millis {
	var sent []clock.Millis
	for now := from; now < until; now++ {
		if len(waiting) == 0 {
			break
		}
		if b.maySend(now, waiting[0]) {
			sent = append(sent, now)
		}
		waiting = waiting[1:]
	}
	return sent
}

// Pattern: a target becomes cold, or starts again and is cold, while many requests to it wait for a dial or a carrier. They are not
// sent together once the connections are open.
func TestColdWhileWaiting(t *testing.T) {
	for name, makeCold := range map[string]func(b *Board, now clock.Millis){
		"answer": func(b *Board, now clock.Millis) {
			b.noteAnswered(now, b.targets["plain-0"], ColdNotice{Named: true, Left: 10 * clock.Second, AskedAt: now})
		},
		"start": func(b *Board, now clock.Millis) {
			again := coldDesk(1, 10*clock.Second)
			again[0].Born = 2
			applyList(b, now, again...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := clock.Now()
			b := newColdBoard(t, coldDesk(1, 0)...)
			var waiting []*Placement
			for range 500 {
				p, err := b.place(start, plain)
				is.NoErr(err)
				waiting = append(waiting, p)
			}
			is.True(b.maySend(start+1, waiting[0])) // the target is warm
			makeCold(b, start+2)
			is.True(b.anyLimited.Load()) // or MaySend does not ask
			sent := sendAll(b, start+2, start+2+clock.Second, waiting)
			is.True(len(sent) > 0)
			is.True(len(sent) <= mostPerSecond)
		})
	}
}

// Pattern: requests that were placed on a cold target over seconds, each within its rate, wait for a carrier and are sent together.
func TestColdSentTogether(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	b := newColdBoard(t, coldDesk(1, clock.Minute)...)
	var waiting []*Placement
	now := start
	for ; len(waiting) < 4*mostPerSecond; now += 5 {
		if p, err := b.place(now, plain); err == nil {
			waiting = append(waiting, p)
		}
	}
	sent := sendAll(b, now+coldSendDelay, now+coldSendDelay+clock.Second, waiting)
	is.True(len(sent) <= mostPerSecond)
}

// Guards against: a request that is sent right after its placement is withheld, or takes a second token.
func TestColdSentAtOnce(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	b := newColdBoard(t, coldDesk(1, clock.Minute)...)
	count := 0
	for now := start; now < start+4*clock.Second; now += 5 {
		if p, err := b.place(now, plain); err == nil {
			count++
			is.True(b.maySend(now+4, p))
		}
	}
	is.True(count >= 4*testColdRate/2)
}

// Guards against: a late request to a cold target is sent by an instance that does not hear the placements there, or to a target that
// is warm is withheld.
func TestColdSendUnheard(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	b := newColdBoard(t, coldDesk(1, 0)...)
	p, err := b.place(start, plain)
	is.NoErr(err)
	is.True(b.maySend(start+10*clock.Second, p))
	b.noteCold(start, b.targets["plain-0"], clock.Minute)
	b.HearsPlacements = func(string) bool { return false }
	is.True(!b.maySend(start+20*clock.Second, p))
	b.HearsPlacements = nil
	is.True(b.maySend(start+30*clock.Second, p))
	b.delist("plain-0", b.targets["plain-0"])
	b.removeRequest(requestKey{b.Self, p.number})
	is.True(b.maySend(start+30*clock.Second, p)) // nothing is known of the target any more
}

// Guards against: an instance whose connections all take longer than the token of a placement covers sends nothing to a cold target, as
// each request needs a second token.
func TestColdSentSlowly(t *testing.T) {
	is := is.New(t)
	const dial = coldSendDelay + 50
	start := clock.Now()
	b := newColdBoard(t, coldDesk(1, clock.Minute)...)
	type dialing struct {
		p      *Placement
		openAt clock.Millis
	}
	var dials []dialing
	var sent []clock.Millis
	placed := 0
	for now := start; now < start+5*clock.Second; now++ {
		if p, err := b.place(now, plain); err == nil {
			placed++
			dials = append(dials, dialing{p, now + dial})
		}
		for len(dials) > 0 && dials[0].openAt <= now {
			if b.maySend(now, dials[0].p) {
				sent = append(sent, now)
			}
			dials = dials[1:]
		}
	}
	is.True(len(sent) >= placed/2)
	is.True(mostWithinSecond(sent) <= mostPerSecond)
}
