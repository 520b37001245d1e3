package member

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of an instance.
type State uint8

// The states, in the order in which they override one another within one incarnation.
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

// Member is what is known of one entry instance.
type Member struct {
	Name             string `cbor:"1,keyasint" json:"name"`
	Zone             string `cbor:"2,keyasint" json:"zone"`
	Addr             string `cbor:"3,keyasint" json:"addr"` // for callers
	PeerAddr         string `cbor:"4,keyasint" json:"peer"` // for other instances
	Incarnation      uint64 `cbor:"5,keyasint" json:"incarnation"`
	FirstIncarnation uint64 `cbor:"6,keyasint" json:"born"` // first incarnation of the process
	State            State  `cbor:"7,keyasint" json:"state"`
}

// WithState returns a copy in another state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// WithIncarnation returns a copy under another incarnation.
func (m Member) WithIncarnation(n uint64) Member {
	m.Incarnation = n
	return m
}

// Owner identifies the process: the instance and its first incarnation.
func (m Member) Owner() string { return m.Name + "/" + strconv.FormatUint(m.FirstIncarnation, 10) }

func (m Member) live() bool { return m.State == Alive || m.State == Suspect }

// newer reports whether m overrides what is known in old.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// View is an immutable list of the known instances, sorted by name.
type View struct {
	Members []Member
	Version uint64 // changes with the list, on this instance
}

// Live returns the instances that are neither dead nor leaving.
func (v View) Live() []Member {
	return v.filter(Member.live)
}

// Reachable returns the instances that are alive and not suspected, or those that live if all others are suspected.
func (v View) Reachable(self string) []Member {
	sure := v.filter(func(m Member) bool { return m.State == Alive })
	if len(sure) == 1 && sure[0].Name == self {
		return v.Live()
	}
	return sure
}

// NotDead returns the instances that are not dead.
func (v View) NotDead() []Member {
	return v.filter(func(m Member) bool { return m.State != Dead })
}

// HasOwner reports whether the process with this owner identity is not known to be gone.
func (v View) HasOwner(owner string) bool {
	name, born, _ := strings.Cut(owner, "/")
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.State != Dead && m.Name == name && strconv.FormatUint(m.FirstIncarnation, 10) == born
	})
}

// Rank orders the live instances by rendezvous hash for a key; the first is its home.
func (v View) Rank(key string) []Member { return Rank(v.Live(), key) }

// RankedWithin reports whether the named instance is among the first n of the rank for a key.
func (v View) RankedWithin(name, key string, n int) bool {
	hashed := xxhash.Sum64String(key)
	own := score(hashed, name)
	higher, found := 0, false
	for _, m := range v.Members {
		if !m.live() {
			continue
		}
		if m.Name == name {
			found = true
		} else if score(hashed, m.Name) > own {
			higher++
		}
	}
	return found && higher < n
}

// Rank orders instances by rendezvous hash for a key.
func Rank(members []Member, key string) []Member {
	hashed := xxhash.Sum64String(key)
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(score(hashed, b.Name), score(hashed, a.Name)) })
	return ranked
}

// score mixes the hash of a key with that of a name.
func score(key uint64, name string) uint64 {
	x := (key ^ bits.RotateLeft64(xxhash.Sum64String(name), 32)) * 0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

func (v View) filter(keep func(Member) bool) []Member {
	var out []Member
	for _, m := range v.Members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

func hash(m Member) uint64 {
	return xxhash.Sum64String(m.Name) ^ (m.Incarnation*8+uint64(m.State))*0x9e3779b97f4a7c15
}
