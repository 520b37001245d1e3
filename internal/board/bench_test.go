package board

import (
	"testing"
)

// BenchmarkPlace measures placements on a fleet of engines in use.
func BenchmarkPlace(b *testing.B) {
	const engines = 135
	for _, c := range []struct {
		name string
		req  Requirements
	}{{"short", short}, {"medium", medium}, {"long", long}} {
		b.Run(c.name, func(b *testing.B) {
			board := newBoards(b, 1, engines)[0]
			for range 6 * engines {
				place(b, board, short).RecordFirstEvent()
			}
			for b.Loop() {
				place(b, board, c.req).End(Inconclusive)
			}
		})
	}
}
