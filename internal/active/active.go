package active

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderpier/corianderpier/internal/member"
)

const (
	coresPerSlot     = 0.005 // processor cores that active instances have for each slot of the targets
	maxCellInstances = 24    // active instances that tell each other of all placements
)

// Fractions of the allowed retries that all active instances together use, and all standby instances. The rest is a margin,
// since whoever else counts the requests counts them at other moments.
const (
	activeRetryFraction  = 0.6
	standbyRetryFraction = 0.1
	// RetryFraction is the fraction that all instances together use.
	RetryFraction = activeRetryFraction + standbyRetryFraction
)

// Set is the active instances of one view; see member.View.Active. They form cells of at most maxCellInstances. Each
// cell places requests on its own part of the targets, so that what an instance is told does not grow with the fleet.
type Set struct {
	ViewVersion uint64          // of the view from which the set was chosen
	Slots       int64           // of all targets together, by which it was chosen
	Members     []member.Member // all active instances
	Standby     int             // number of live instances that are not active
	CellCount   int
	CellMembers []member.Member // of this instance's cell
	Named       []member.Member // active instances that callers are sent to
	Carriers    []member.Member // other active instances that have links to targets; if there are none, standby ones

	names    map[string]bool // of Members
	cell     int             // number of this instance's cell; zero if it stands by
	monitors []member.Member // of CellMembers, that probe targets for the cell
}

// Choose returns the active instances of a view for targets with a number of slots.
func Choose(view member.View, self string, slots int64) *Set {
	set := &Set{ViewVersion: view.Version, Slots: slots, names: make(map[string]bool)}
	set.Members = view.Active(self, coresPerSlot*float64(slots))
	set.Standby = len(view.Live()) - len(set.Members)
	for _, m := range set.Members {
		set.names[m.Name] = true
	}
	set.formCells(self)
	set.monitors = member.Connected(set.CellMembers)
	if len(set.monitors) == 0 {
		set.monitors = set.CellMembers
	}
	set.Carriers = connectedOthers(set.Members, self)
	if len(set.Carriers) == 0 {
		set.Carriers = connectedOthers(view.Reachable(self), self)
	}
	return set
}

// connectedOthers returns those instances that have links to targets, without this one.
func connectedOthers(members []member.Member, self string) []member.Member {
	return slices.DeleteFunc(member.Connected(members), func(m member.Member) bool { return m.Name == self })
}

// formCells divides the active instances into cells of consecutive ones. View.Active orders them so that the availability
// zones take turns, and a cell has instances of several zones.
func (a *Set) formCells(self string) {
	a.CellCount = max(1, (len(a.Members)+maxCellInstances-1)/maxCellInstances)
	perCell := (len(a.Members) + a.CellCount - 1) / a.CellCount
	for n, m := range a.Members {
		if m.Name == self {
			a.cell = n / max(perCell, 1)
		}
	}
	for n, m := range a.Members {
		if n/max(perCell, 1) == a.cell {
			a.CellMembers = append(a.CellMembers, m)
		}
	}
	for cell := range slices.Chunk(a.Members, max(perCell, 1)) {
		a.Named = append(a.Named, member.Named(cell)...) // callers are sent to each cell, as each has targets of its own
	}
}

// Places reports whether this instance places requests on a target as long as its cell has others.
func (a *Set) Places(target string) bool {
	return a.CellCount == 1 || int(xxhash.Sum64String(target)%uint64(a.CellCount)) == a.cell
}

// Monitors reports whether the named instance probes a target for its cell: one that has links to targets, if there is any.
func (a *Set) Monitors(name, target string) bool {
	return a.Places(target) && member.RankedWithin(a.monitors, name, "target/"+target, 1)
}

// RetryShare returns an instance's share of the retries beyond the ratio. Active instances have nearly all of them, as
// callers hardly use the others.
func (a *Set) RetryShare(name string) float64 {
	switch {
	case !a.names[name]:
		return standbyRetryFraction / float64(max(a.Standby, 1))
	case a.Standby > 0:
		return activeRetryFraction / float64(len(a.Members))
	default:
		return RetryFraction / float64(len(a.Members))
	}
}

// Contains reports whether the named instance is active.
func (a *Set) Contains(name string) bool { return a.names[name] }
