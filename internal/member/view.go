package member

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an instance as seen by another one.
type State uint8

// The states; within one incarnation a higher one overrides a lower one.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// String names the state.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[s]
}

// Member describes one entry instance.
type Member struct {
	Name             string  `cbor:"1,keyasint" json:"name"`
	Zone             string  `cbor:"2,keyasint" json:"zone"`
	Addr             string  `cbor:"3,keyasint" json:"addr"` // for callers
	PeerAddr         string  `cbor:"4,keyasint" json:"peer"` // for other instances
	Incarnation      uint64  `cbor:"5,keyasint" json:"incarnation"`
	FirstIncarnation uint64  `cbor:"6,keyasint" json:"born"` // of the running process; a restarted one has a higher one
	State            State   `cbor:"7,keyasint" json:"state"`
	Capacity         float64 `cbor:"8,keyasint,omitempty" json:"capacity,omitempty"` // processing power in cores; zero if unknown
	Unlinked         bool    `cbor:"9,keyasint,omitempty" json:"unlinked,omitempty"` // it has lost its links to targets
}

// Limits on what is believed of an instance.
const (
	maxNameBytes   = 256     // of its name and of each other text
	maxIncarnation = 1 << 62 // incarnations are times in milliseconds, and can be raised far above that
	maxCapacity    = 1 << 20 // in cores
)

// valid reports whether what is said of an instance can be true, as lists from the store and from peers may have been written by
// other programs.
func (m Member) valid() bool {
	for _, text := range []string{m.Name, m.Zone, m.Addr, m.PeerAddr} {
		if len(text) > maxNameBytes {
			return false
		}
	}
	return m.Name != "" && m.State <= Dead && m.Incarnation < maxIncarnation && m.FirstIncarnation < maxIncarnation &&
		m.Capacity >= 0 && m.Capacity <= maxCapacity
}

// WithState returns a copy with another state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// WithIncarnation returns a copy with another incarnation.
func (m Member) WithIncarnation(n uint64) Member {
	m.Incarnation = n
	return m
}

// Owner returns the identity of the process as an owner of engine memory: the name and the first incarnation.
func (m Member) Owner() string { return m.Name + "/" + strconv.FormatUint(m.FirstIncarnation, 10) }

func (m Member) live() bool { return m.State == Alive || m.State == Suspect }

// overrides reports whether m is newer than old and replaces it.
func (m Member) overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.State != old.State {
		return m.State > old.State
	}
	return m.Unlinked && !old.Unlinked // an older build has passed on old without the attribute
}

// urgentAfter reports whether m tells of a suspicion, a death or the refutation of one. That an instance has joined is not urgent, as
// lists tell of it too, nor that its links have come or gone, as it tells all others itself.
func (m Member) urgentAfter(old Member) bool {
	joined := m.State == Alive && m.Incarnation == m.FirstIncarnation
	onlyLinks := m.Name == old.Name && m.State == old.State && m.Unlinked != old.Unlinked
	return !joined && !onlyLinks
}

// View is an immutable list of the known instances, sorted by name.
type View struct {
	Members []Member
	Version uint64 // raised with each change; differs between instances
}

// Live returns the instances that are neither dead nor leaving.
func (v View) Live() []Member {
	return v.filter(Member.live)
}

// Reachable returns the instances that are alive and not suspected. If self is the only one, it returns all live instances,
// since self is then more likely cut off than all others dead.
func (v View) Reachable(self string) []Member {
	alive := v.filter(func(m Member) bool { return m.State == Alive })
	if len(alive) == 1 && alive[0].Name == self {
		return v.Live()
	}
	return alive
}

// NotDead returns the instances that are not dead.
func (v View) NotDead() []Member {
	return v.filter(func(m Member) bool { return m.State != Dead })
}

// Unknown returns those of some instances that the view lacks, or knows from before a restart, but for dead ones.
func (v View) Unknown(members []Member) []Member {
	known := make(map[string]Member, len(v.Members))
	for _, m := range v.Members {
		known[m.Name] = m
	}
	var unknown []Member
	for _, m := range members {
		old, ok := known[m.Name]
		if m.State != Dead && (!ok || old.FirstIncarnation < m.FirstIncarnation) {
			unknown = append(unknown, m)
		}
	}
	return unknown
}

// HasDead reports whether the process of a member is in the view as dead.
func (v View) HasDead(process Member) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.State == Dead && m.Owner() == process.Owner() })
}

// HasOwner reports whether the process with this owner identity is in the view and not dead.
func (v View) HasOwner(owner string) bool {
	name, firstIncarnation, _ := strings.Cut(owner, "/")
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.State != Dead && m.Name == name && strconv.FormatUint(m.FirstIncarnation, 10) == firstIncarnation
	})
}

// Rank returns the live instances ordered by rendezvous hash for a key; the first is the home of the key.
func (v View) Rank(key string) []Member { return Rank(v.Live(), key) }

// RankedWithin reports whether the named instance is among the first n that Rank returns for a key.
func (v View) RankedWithin(name, key string, n int) bool { return RankedWithin(v.Live(), name, key, n) }

// Rank returns a copy of members ordered by rendezvous hash for a key.
func Rank(members []Member, key string) []Member {
	hashed := xxhash.Sum64String(key)
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(score(hashed, b.Name), score(hashed, a.Name)) })
	return ranked
}

// score returns the rendezvous weight of an instance for a key, given the hash of the key.
func score(key uint64, name string) uint64 {
	x := (key ^ bits.RotateLeft64(xxhash.Sum64String(name), 32)) * 0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

func (v View) filter(matches func(Member) bool) []Member {
	var out []Member
	for _, m := range v.Members {
		if matches(m) {
			out = append(out, m)
		}
	}
	return out
}

// memberHash returns the part of an instance in the digest: a hash of its name, incarnation and state.
func memberHash(m Member) uint64 {
	return xxhash.Sum64String(m.Name) ^ (m.Incarnation*8+uint64(m.State))*0x9e3779b97f4a7c15
}
