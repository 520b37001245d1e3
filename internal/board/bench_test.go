package board

import (
	"fmt"
	"testing"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/share"
)

// BenchmarkPlace measures placements on a fleet of engines in use.
func BenchmarkPlace(b *testing.B) {
	for _, c := range []struct {
		name string
		req  Requirements
	}{{"short", short}, {"medium", medium}, {"long", long}} {
		b.Run(c.name, func(b *testing.B) {
			board := newBusyBoard(b)
			for b.Loop() {
				place(b, board, c.req).End(Inconclusive)
			}
		})
	}
}

// BenchmarkPlaceWithShares measures the same while 350 customers have shares.
func BenchmarkPlaceWithShares(b *testing.B) {
	const customers = 350
	board := newBusyBoard(b)
	weights := make(map[share.Customer]share.Weight)
	for i := range customers {
		c := share.CustomerOf(fmt.Sprint("customer-", i))
		weights[c] = 1
		board.Loop.Call(func() { board.ledger("models").Record(clock.Now(), 0, c, 1, 1e5) })
	}
	board.Loop.Call(func() { board.Weights = func() map[share.Customer]share.Weight { return weights } })
	req := short
	req.Customer = "customer-0"
	for b.Loop() {
		place(b, board, req).End(Inconclusive)
	}
}

// newBusyBoard returns a board of a fleet of engines in use.
func newBusyBoard(b *testing.B) *Board {
	b.Helper()
	const engines = 135
	board := newBoards(b, 1, engines)[0]
	for range 6 * engines {
		place(b, board, short).RecordFirstEvent()
	}
	return board
}
