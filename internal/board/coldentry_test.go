package board

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: an entry that is zero again ends no cold time, as other instances have told of the former entry; or it ends one of
// which another instance knows by an answer.
func TestColdEntryEnds(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	boards := []*Board{newIdleBoard("entry-0"), newIdleBoard("entry-1")}
	now := start
	for i, b := range boards {
		other := boards[1-i]
		b.Broadcast = func(data []byte) {
			var p packet
			is.NoErr(cbor.Unmarshal(data, &p))
			other.applyPacket(now, p)
		}
	}
	apply := func(at, left clock.Millis) {
		now = at
		for _, b := range boards {
			applyList(b, now, coldDesk(1, left)...)
			b.flush()
		}
	}
	apply(start, 0)
	apply(start+1000, clock.Minute)
	for _, b := range boards {
		is.Equal(b.targets["plain-0"].cold.end(), start+1000+clock.Minute)
	}
	apply(start+3000, 0)
	for _, b := range boards {
		is.Equal(b.targets["plain-0"].cold.end(), start+3000)
	}
	apply(start+4000, clock.Second)
	b := boards[0]
	b.noteAnswered(start+4000, b.targets["plain-0"], ColdNotice{Named: true, Left: clock.Minute, AskedAt: start + 4000})
	apply(start+6000, 0)
	for _, b := range boards {
		is.Equal(b.targets["plain-0"].cold.end(), start+4000+clock.Minute)
	}
}
