package board

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// newZonedBoards returns boards that share six engines and three plain targets, two engines and a plain target in each of three zones.
func newZonedBoards(t *testing.T, instances int) []*Board {
	t.Helper()
	boards := newBoards(t, instances, 0)
	for _, b := range boards {
		b.ReplaceTargets(zonedTargets(), ListTrust{})
	}
	return boards
}

func zonedTargets() []Target {
	var targets []Target
	for n, zone := range []string{"a", "b", "c"} {
		targets = append(targets,
			Target{ID: fmt.Sprint("engine-", 2*n), Service: "models", Zone: zone, Slots: 16},
			Target{ID: fmt.Sprint("engine-", 2*n+1), Service: "models", Zone: zone, Slots: 16},
			Target{ID: fmt.Sprint("plain-", n), Service: "desk", Zone: zone, Slots: 6})
	}
	return targets
}

// setEvacuated replaces the list of evacuated zones, and returns once that is in force.
func setEvacuated(b *Board, trust ListTrust, zones ...string) {
	b.ReplaceEvacuated(zones, trust)
	b.Loop.Call(func() {})
}

// setTargets replaces the list of targets, and returns once that is in force.
func setTargets(b *Board, targets ...Target) {
	b.ReplaceTargets(targets, ListTrust{})
	b.Loop.Call(func() {})
}

// zonesUsed places some requests and returns how often each zone was chosen, for a target or a helper.
func zonesUsed(t *testing.T, b *Board, r Requirements, requests int) map[string]int {
	t.Helper()
	used := make(map[string]int)
	for range requests {
		p := place(t, b, r)
		for _, target := range append(p.Helpers, p.Target) {
			used[target.Zone]++
		}
		p.End(Inconclusive)
	}
	return used
}

// placeKind returns the kind of the error with which a request is not placed, or an empty one.
func placeKind(b *Board, r Requirements) Kind {
	r.Deadline = clock.Now() + 10*clock.Second
	p, err := b.Place(r)
	var e *Error
	if eris.As(err, &e) {
		return e.Kind
	}
	p.End(Inconclusive)
	return ""
}

// Pattern: a zone is evacuated under load. Its targets get no first attempts, no second ones, no hedges and no parts of prompts.
// Guards against: a retry or a hedge that has no other target falls back to the zone, or an ended evacuation closes its targets for good.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	b := newZonedBoards(t, 1)[0]
	setEvacuated(b, ListTrust{}, "b")
	for name, r := range map[string]Requirements{"short": short, "long": long, "plain": plain} {
		used := zonesUsed(t, b, r, 30)
		is.Equal(used["b"], 0)
		is.True(used["a"]+used["c"] > 0)
		retry := r
		retry.Exclude = make(map[string]bool)
		for _, target := range zonedTargets() {
			retry.Exclude[target.ID] = target.Zone != "b" // only the evacuated ones are left
		}
		is.Equal(zonesUsed(t, b, retry, 10)["b"], 0)
		t.Log(name, used)
	}
	is.True(len(place(t, b, long).Helpers) > 0)
	setEvacuated(b, ListTrust{})
	is.True(zonesUsed(t, b, short, 60)["b"] > 0)
	is.True(!b.Evacuated("engine-2"))
}

// Guards against: probes go on in an evacuated zone or one in doubt, new reservations or connections for others are accepted there,
// or orders that renew and release leases are not.
func TestEvacuatedZoneIsClosed(t *testing.T) {
	for name, doubt := range map[string]bool{"evacuated": false, "in doubt": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newZonedBoards(t, 1)[0]
			setEvacuated(b, ListTrust{}, "b")
			if doubt {
				setEvacuated(b, ListTrust{DoubtUntil: clock.Now() + clock.Minute})
			}
			var inZone, elsewhere atomic.Int64
			probe(b, func(target string) (float64, error) {
				if target == "engine-2" || target == "engine-3" || target == "plain-1" {
					inZone.Add(1)
				} else {
					elsewhere.Add(1)
				}
				return 1, nil
			})
			is.Equal(inZone.Load(), int64(0))
			is.Equal(elsewhere.Load(), int64(6))
			is.Equal(b.Closed("engine-2"), !doubt) // for reservations
			is.True(!b.Closed("engine-0"))
			is.Equal(b.Accepts("engine-2", "", false), doubt)
			is.True(b.Accepts("engine-2", "", true)) // orders
			is.Equal(b.Evacuated("engine-2"), !doubt)
		})
	}
}

// Guards against: a probe that is not sent any more, as the zone is evacuated meanwhile, makes the target count as down, so that the
// streams there are hedged.
func TestEvacuatedDuringProbe(t *testing.T) {
	is := is.New(t)
	b := newZonedBoards(t, 1)[0]
	running := placeOn(t, b, short, "engine-2")
	probe(b, func(target string) (float64, error) {
		if target != "engine-2" {
			return 1, nil
		}
		setEvacuated(b, ListTrust{}, "b")
		return 0, eris.New("evacuated")
	})
	select {
	case <-running.TargetDown():
		t.Fatal("target counts as down")
	default:
	}
	setEvacuated(b, ListTrust{})
	b.Loop.Call(func() { is.True(b.target("engine-2").usable(clock.Now())) })
}

// Guards against: a request waits, is told that there is no target or that its prompt is too large, when all targets of its service
// are evacuated, or is told of the evacuation when others take requests soon.
func TestAllZonesEvacuated(t *testing.T) {
	is := is.New(t)
	b := newZonedBoards(t, 1)[0]
	b.ReplaceTargets([]Target{{ID: "plain-0", Service: "desk", Zone: "a", Slots: 6}, {ID: "engine-0", Service: "models", Zone: "b"}}, ListTrust{})
	setEvacuated(b, ListTrust{}, "a")
	is.Equal(placeKind(b, plain), Evacuated)
	is.Equal(placeKind(b, short), Kind(""))
	is.Equal(placeKind(b, Requirements{Service: "other"}), NoTarget)
	quiet := Target{ID: "plain-1", Service: "desk", Zone: "b", Slots: 6}
	b.ReplaceTargets([]Target{{ID: "plain-0", Service: "desk", Zone: "a", Slots: 6}, quiet}, ListTrust{})
	b.RecordNotice(quiet, Notice{Quiet: clock.Minute})
	is.Equal(placeKind(b, plain), Quiet)
	setEvacuated(b, ListTrust{}, "a", "b")
	is.Equal(placeKind(b, plain), Evacuated)
}

// Guards against: the end of one evacuation ends another, a target that is listed during an evacuation or moves into the zone gets
// requests, or one that moves out of it gets none.
func TestTwoZonesEvacuated(t *testing.T) {
	is := is.New(t)
	b := newZonedBoards(t, 1)[0]
	setEvacuated(b, ListTrust{}, "a", "b")
	is.Equal(len(zonesUsed(t, b, short, 20)), 1)
	setEvacuated(b, ListTrust{}, "b")
	targets := append(zonedTargets(), Target{ID: "late", Service: "models", Zone: "b", Slots: 16})
	targets[0].Zone, targets[3].Zone = "b", "a"
	b.ReplaceTargets(targets, ListTrust{})
	used := zonesUsed(t, b, short, 60)
	is.Equal(used["b"], 0)
	is.True(used["a"] > 0 && used["c"] > 0)
	is.True(b.Evacuated("late") && b.Evacuated(targets[0].ID))
	is.True(!b.Evacuated(targets[3].ID))
}

// Guards against: a list from an older copy of the store, which lacks an evacuation, makes the zone be used like any other, or be of
// no use when nothing else is left; a further version of that list ends the doubt at once, or the doubt never ends.
func TestEvacuationInDoubt(t *testing.T) {
	is := is.New(t)
	b := newZonedBoards(t, 1)[0]
	setEvacuated(b, ListTrust{}, "b")
	setEvacuated(b, ListTrust{DoubtUntil: clock.Now() + clock.Minute})
	setEvacuated(b, ListTrust{})
	is.Equal(zonesUsed(t, b, short, 30)["b"], 0)
	retry := plain
	retry.Exclude = map[string]bool{"plain-0": true, "plain-2": true}
	is.Equal(zonesUsed(t, b, retry, 10)["b"], 0)
	b.ReplaceTargets([]Target{zonedTargets()[5]}, ListTrust{}) // plain-1 alone, in the zone
	is.Equal(zonesUsed(t, b, plain, 3)["b"], 3)
	b.ReplaceTargets(zonedTargets(), ListTrust{})
	setEvacuated(b, ListTrust{}, "b") // the operator has written it again
	is.True(b.Evacuated("plain-1"))
	setEvacuated(b, ListTrust{DoubtUntil: clock.Now() + clock.Minute})
	b.Loop.Call(func() {
		b.evacuations["b"].doubtUntil = clock.Now()
		b.rebroadcastAndExpire()
	})
	is.Equal(len(b.EvacuatedZones()), 0)
	is.True(zonesUsed(t, b, short, 60)["b"] > 0)
}

// Guards against: the store comes back from an older copy a second time while a zone is in doubt, and the zone is used before the doubt
// about that copy is over.
func TestEvacuationInDoubtTwice(t *testing.T) {
	is := is.New(t)
	b := newZonedBoards(t, 1)[0]
	setEvacuated(b, ListTrust{}, "b")
	first := clock.Now() + clock.Minute
	setEvacuated(b, ListTrust{DoubtUntil: first})
	setEvacuated(b, ListTrust{DoubtUntil: first + clock.Minute})
	b.Loop.Call(func() { b.endDoubtfulEvacuations(first) })
	is.Equal(len(b.EvacuatedZones()), 1)
	setEvacuated(b, ListTrust{DoubtUntil: first})
	b.Loop.Call(func() { b.endDoubtfulEvacuations(first + clock.Minute - 1) })
	is.Equal(len(b.EvacuatedZones()), 1) // a shorter doubt does not end a longer one
	b.Loop.Call(func() { b.endDoubtfulEvacuations(first + clock.Minute) })
	is.Equal(len(b.EvacuatedZones()), 0)
}

// Guards against: targets of a zone are used like any other between the end of its doubt and the next periodic check, which is the one
// that makes them count as cold.
func TestDoubtLastsUntilItIsEnded(t *testing.T) {
	is := is.New(t)
	b := newZonedBoards(t, 1)[0]
	setEvacuated(b, ListTrust{}, "b")
	var before, after []*targetState
	b.Loop.Call(func() {
		b.evacuations["b"].doubtUntil = clock.Now() - 1
		before, _ = b.eligibleTargets(clock.Now(), plain, anyCell)
		b.endDoubtfulEvacuations(clock.Now())
		after, _ = b.eligibleTargets(clock.Now(), plain, anyCell)
	})
	is.Equal(len(before), 2)
	is.Equal(len(after), 3)
}

// Guards against: a placement that waited while its zone, or that of a helper, was evacuated is sent.
func TestPlacementEvacuated(t *testing.T) {
	is := is.New(t)
	b := newZonedBoards(t, 1)[0]
	single, divided := placeOn(t, b, short, "engine-2"), place(t, b, long)
	is.True(!single.Evacuated() && !divided.Evacuated())
	setEvacuated(b, ListTrust{}, "b")
	is.True(single.Evacuated())
	setEvacuated(b, ListTrust{}, divided.Helpers[0].Zone)
	is.True(divided.Evacuated())
	setEvacuated(b, ListTrust{}, "elsewhere")
	is.True(!single.Evacuated() && !divided.Evacuated())
}

// Guards against: requests that still run in an evacuated zone are not shown, or end with the evacuation; a zone without targets is
// shown as if it were one, or has no effect on targets that are listed later.
func TestEvacuatedZonesShown(t *testing.T) {
	is := is.New(t)
	b := newZonedBoards(t, 1)[0]
	running := placeOn(t, b, short, "engine-2")
	setEvacuated(b, ListTrust{}, "b", "unknown")
	zones := b.EvacuatedZones()
	is.Equal(len(zones), 1)
	is.Equal(zones[0].Zone, "b")
	is.Equal(zones[0].Requests, 1)
	is.True(!zones[0].InDoubt && zones[0].Age >= 0 && zones[0].Age < clock.Minute)
	select {
	case <-running.TargetDown():
		t.Fatal("a request under way is warned")
	default:
	}
	running.End(Succeeded)
	b.Loop.Call(func() {})
	is.Equal(b.EvacuatedZones()[0].Requests, 0)
	b.ReplaceTargets([]Target{{ID: "one", Service: "desk", Zone: "unknown", Slots: 6}}, ListTrust{})
	is.Equal(placeKind(b, plain), Evacuated)
}

// Guards against: a valid zone counts as unknown since others tell of targets before the list of targets is there, or an unknown one is not
// counted as it was listed before the targets, or is counted with each list.
func TestUnknownZonesCounted(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 0)[0]
	unknown := metrics.GetOrCreateCounter(`pier_board_zone_unknown_total`)
	before := unknown.Get()
	b.Loop.Call(func() {
		clear(b.targets) // as at the start
		b.target("engine-0")
	})
	setEvacuated(b, ListTrust{}, "b", "nowhere")
	is.Equal(unknown.Get()-before, uint64(0))
	for range 2 {
		setTargets(b, zonedTargets()...)
		setEvacuated(b, ListTrust{}, "b", "nowhere")
	}
	is.Equal(unknown.Get()-before, uint64(1))
}

// Guards against: word of others that a target has left is lost as its zone is evacuated just then, so that the target is used when the
// evacuation ends.
func TestDoubtToldDuringEvacuation(t *testing.T) {
	is := is.New(t)
	listed := Target{ID: "one", Service: "desk", Zone: "b", Slots: 6, Born: 1}
	boards := newBoards(t, 2, 0)
	knows, fresh := boards[0], boards[1]
	setTargets(knows, listed)
	setTargets(knows)
	knows.ReplaceTargets([]Target{listed}, ListTrust{DoubtUntil: clock.Now() + clock.Minute})
	setTargets(fresh, listed)
	setEvacuated(fresh, ListTrust{}, "b")
	knows.Loop.Call(knows.rebroadcastAndExpire)
	waitDelivered(boards)
	setEvacuated(fresh, ListTrust{})
	is.Equal(placeKind(fresh, plain), NoTarget)
}

// Pattern: zones are evacuated and taken back in any order while targets come, go and change zones, and requests begin and end. No
// request is placed in an evacuated zone, and one is refused only if there is no target elsewhere.
func TestRandomEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBoards(t, 1, 0)[0]
		setTargets(b)
		m := &zoneModel{board: b, zones: make(map[string]string)}
		rt.Repeat(map[string]func(*rapid.T){"evacuate": m.evacuate, "list": m.list, "place": m.place})
	})
}

// zoneModel is what a board has been told of targets and zones.
type zoneModel struct {
	board     *Board
	zones     map[string]string // of the targets, by id
	evacuated []string
}

// zoneNames draws zones.
func zoneNames() *rapid.Generator[string] { return rapid.SampledFrom([]string{"a", "b", "c"}) }

func (m *zoneModel) evacuate(t *rapid.T) {
	m.evacuated = rapid.SliceOfNDistinct(zoneNames(), 0, 3, rapid.ID[string]).Draw(t, "evacuated")
	setEvacuated(m.board, ListTrust{}, m.evacuated...)
}

func (m *zoneModel) list(t *rapid.T) {
	m.zones = rapid.MapOfN(rapid.SampledFrom([]string{"one", "two", "three", "four"}), zoneNames(), 0, 4).Draw(t, "zones")
	var targets []Target
	for id, zone := range m.zones {
		targets = append(targets, Target{ID: id, Service: "desk", Zone: zone, Slots: 6})
	}
	setTargets(m.board, targets...)
}

func (m *zoneModel) place(t *rapid.T) {
	open := 0
	for _, zone := range m.zones {
		if !slices.Contains(m.evacuated, zone) {
			open++
		}
	}
	p, err := m.board.Place(plain)
	if (err == nil) != (open > 0) {
		t.Fatalf("error %v with %d targets elsewhere", err, open)
	}
	if err != nil {
		return
	}
	if slices.Contains(m.evacuated, m.zones[p.Target.ID]) || p.Evacuated() {
		t.Fatalf("placed on %s of zone %s", p.Target.ID, m.zones[p.Target.ID])
	}
	if rapid.Bool().Draw(t, "ends") {
		p.End(Succeeded)
	}
}
