package board

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: an answer that ends a cold time early is not believed, as it seems older than the word of other instances, which
// repeat each second what they have learned before.
func TestColdEndedWhileRepeated(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	now := start
	var boards []*Board
	for n := range unknownCell {
		b := newIdleBoard(fmt.Sprintf("entry-%d", n))
		b.Broadcast = func(data []byte) {
			var p packet
			is.NoErr(cbor.Unmarshal(data, &p))
			for _, other := range boards {
				if other != b {
					other.applyPacket(now, p)
				}
			}
		}
		boards = append(boards, b)
	}
	for _, b := range boards {
		applyList(b, now, coldDesk(1, 0)...)
	}
	for _, b := range boards {
		b.noteAnswered(now, b.targets["plain-0"], ColdNotice{Named: true, Left: clock.Minute, AskedAt: now})
		b.flush()
	}
	for ; now < start+3*clock.Second; now++ {
		if n := int(now-start) % 1000 / 40; int(now-start)%40 == 0 && n < len(boards) {
			boards[n].broadcastCold(now, false)
		}
	}
	first := boards[0]
	first.noteAnswered(now, first.targets["plain-0"], ColdNotice{Named: true, AskedAt: now - 200})
	first.flush()
	for _, b := range boards {
		is.Equal(b.targets["plain-0"].cold.end(), now)
	}
}

// Guards against: an answer ends a cold time of which another instance has told after the request was sent, or an odd age makes the word
// of another instance one of the future.
func TestColdNotEndedByOlderAnswer(t *testing.T) {
	for _, age := range []clock.Millis{0, 50, -5, -clock.Hour} {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			is := is.New(t)
			start := clock.Now()
			b := newColdBoard(t, coldDesk(1, 0)...)
			s := b.targets["plain-0"]
			b.applyTargetCold(start, TargetCold{Target: "plain-0", Born: 1, Left: clock.Minute, Age: age})
			b.noteAnswered(start+10, s, ColdNotice{Named: true, AskedAt: start - 60})
			is.Equal(s.cold.end(), start+clock.Minute)
			b.noteAnswered(start+20, s, ColdNotice{Named: true, AskedAt: start + 1})
			is.Equal(s.cold.end(), start+20)
		})
	}
}
