package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	minActivePerZone = 2   // active instances in an availability zone, so that the loss of one leaves another there
	usualActive      = 16  // active instances, if as many have a capacity of minCapacityShare
	minCapacityShare = 0.5 // of the largest capacity: smaller instances are active only if the others do not suffice
	minNamedShare    = 0.5 // of the capacity of the active instances, which those with links to targets need for callers to use them alone
	defaultCapacity  = 1   // cores of an instance that does not tell its capacity
)

// activeKey is the key of the rendezvous hash that orders instances of equal capacity.
var activeKey = xxhash.Sum64String("active")

// capacity returns the processing power of the instance in cores.
func (m Member) capacity() float64 {
	if m.Capacity <= 0 {
		return defaultCapacity
	}
	return m.Capacity
}

// Active returns the instances that callers are to use, which together have at least the given number of cores if there
// are as many. All instances with the same view choose the same ones. The others stand by and replace those that fail.
//
// What each active instance tells the other active ones does not grow with the number of instances that stand by. The
// instances with the largest capacity come first, and the availability zones take turns.
func (v View) Active(self string, cores float64) []Member {
	ranks := rankByZone(v.Reachable(self))
	var active []Member
	largest, total := 0.0, 0.0
	for rank, members := range ranks {
		for _, m := range members {
			largest = max(largest, m.capacity())
			needed := rank < minActivePerZone || total < cores
			welcome := len(active) < usualActive && m.capacity() >= minCapacityShare*largest
			if needed || welcome {
				active = append(active, m)
				total += m.capacity()
			}
		}
	}
	return active
}

// Connected returns those instances that have links to targets.
func Connected(members []Member) []Member {
	var connected []Member
	for _, m := range members {
		if !m.Unlinked {
			connected = append(connected, m)
		}
	}
	return connected
}

// Named returns those of the active instances that callers are sent to: those that have links to targets, if they have
// minNamedShare of the capacity, else all. An unlinked instance serves through others, so that a caller there waits for a hop longer;
// that is better than a few instances that have to serve everyone.
func Named(active []Member) []Member {
	connected := Connected(active)
	if len(connected) == 0 || totalCapacity(connected) < minNamedShare*totalCapacity(active) {
		return active
	}
	return connected
}

// totalCapacity returns the capacity of some instances together.
func totalCapacity(members []Member) float64 {
	total := 0.0
	for _, m := range members {
		total += m.capacity()
	}
	return total
}

// rankByZone returns the instances by their rank within their availability zone: first the best instance of each zone, then
// the second one of each, and so on.
func rankByZone(members []Member) [][]Member {
	zones := make(map[string]int) // number of ranked instances
	var ranks [][]Member
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.capacity(), a.capacity()), cmp.Compare(score(activeKey, b.Name), score(activeKey, a.Name)))
	})
	for _, m := range members {
		rank := zones[m.Zone]
		zones[m.Zone]++
		if rank == len(ranks) {
			ranks = append(ranks, nil)
		}
		ranks[rank] = append(ranks[rank], m)
	}
	return ranks
}

// RankedWithin reports whether the named instance is among the first n of members by rendezvous hash for a key.
func RankedWithin(members []Member, name, key string, n int) bool {
	hashed := xxhash.Sum64String(key)
	own := score(hashed, name)
	higher, found := 0, false
	for _, m := range members {
		if m.Name == name {
			found = true
		} else if score(hashed, m.Name) > own {
			higher++
		}
	}
	return found && higher < n
}
