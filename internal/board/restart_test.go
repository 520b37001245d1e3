package board

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against: an instance that has started again leases memory under the ids of its former process, whose prompt still runs, so
// that two requests use one lease (LIMIT).
func TestLeaseIDsAfterRestart(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 100 {
		b := newBoards(t, 1, 4)[0] // each time of the same name
		p, err := b.Place(long)
		is.NoErr(err)
		id := p.LeaseID(0)
		is.True(!seen[id])
		seen[id] = true
		is.True(id != p.LeaseID(1))
	}
}

// Guards against: the others take the first requests of an instance that has started again for those of its former process, which they
// still count, and do not count them.
func TestPlacementsAfterRestart(t *testing.T) {
	is := is.New(t)
	receiver := newBoards(t, 2, 4)[1]
	for start := 1; start <= 3; start++ {
		b := newBoards(t, 1, 4)[0]
		b.Broadcast = receiver.Receive
		_, err := b.Place(short)
		is.NoErr(err)
		known := 0
		receiver.Loop.Call(func() { known = len(receiver.requests) })
		is.Equal(known, start)
	}
}
