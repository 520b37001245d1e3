package member

import (
	"math"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/feed"
)

// Guards against: what another program has written of an instance is believed although it cannot be true, so that the instance
// cannot refute it, or all callers are sent to one that does not exist.
func TestOddMemberIgnored(t *testing.T) {
	odd := map[string]func(m *Member){
		"no name":                func(m *Member) { m.Name = "" },
		"long name":              func(m *Member) { m.Name = strings.Repeat("a", 100_000) },
		"long zone":              func(m *Member) { m.Zone = strings.Repeat("a", 100_000) },
		"unknown state":          func(m *Member) { m.State = Dead + 1 },
		"largest incarnation":    func(m *Member) { m.Incarnation = math.MaxUint64 },
		"largest first":          func(m *Member) { m.FirstIncarnation = math.MaxUint64 },
		"capacity without bound": func(m *Member) { m.Capacity = 1e300 },
		"infinite capacity":      func(m *Member) { m.Capacity = math.Inf(1) },
		"capacity not a number":  func(m *Member) { m.Capacity = math.NaN() },
		"negative capacity":      func(m *Member) { m.Capacity = -1 },
	}
	for name, change := range odd {
		for _, number := range []int{0, 9} { // the instance itself, and another one
			t.Run(name+" "+strconv.Itoa(number), func(t *testing.T) {
				is := is.New(t)
				n := &fakeNetwork{groups: make(map[string]*Group)}
				g := n.start(t, 0)
				before := g.View()
				m := memberNumber(number).WithState(Dead).WithIncarnation(memberNumber(number).Incarnation + 1)
				if number != 0 {
					m = m.WithState(Alive)
				}
				change(&m)
				g.ExchangeLists(List{Members: []Member{m}})
				is.Equal(g.View().Members, before.Members)
			})
		}
	}
}

// Guards against: instances of older builds, which know no list of evacuated zones, do not understand the versions of this build, or this
// build theirs.
func TestVersionsOfOlderBuild(t *testing.T) {
	is := is.New(t)
	type olderVersions struct {
		Config  feed.Version `cbor:"3,keyasint"`
		Targets feed.Version `cbor:"4,keyasint"`
	}
	older := olderVersions{Config: feed.Version{Number: 3}, Targets: feed.Version{Era: 1, Number: 4}}
	v := Versions{Config: older.Config, Targets: older.Targets}
	want, err := cbor.Marshal(older)
	is.NoErr(err)
	got, err := cbor.Marshal(v)
	is.NoErr(err)
	is.Equal(got, want) // without a list
	v.Evacuations = feed.Version{Era: 1, Number: 5}
	data, err := cbor.Marshal(v)
	is.NoErr(err)
	var decoded olderVersions
	is.NoErr(cbor.Unmarshal(data, &decoded))
	is.Equal(decoded, older)
	var read Versions
	is.NoErr(cbor.Unmarshal(want, &read))
	is.Equal(read, Versions{Config: older.Config, Targets: older.Targets})
}
