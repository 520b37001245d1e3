package board

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	coldSimTime  = 8 * clock.Second       // of one simulation; a split that lasts longer than cellMemory passes for a death
	coldSimLate  = 1400 * clock.Millis(1) // by when others count an instance that has joined, and have told it what is cold
	coldSimStart = 1000 * clock.Second
)

// coldSim simulates instances that place on one cold target, with datagrams and views that the test disturbs.
type coldSim struct {
	random  *rand.Rand
	now     clock.Millis
	news    bool         // the target's entry does not say that it is cold, so that an instance which starts must be told
	loss    float64      // of datagrams
	maxLag  clock.Millis // of datagrams
	boards  map[string]*Board
	names   []string                           // of boards, sorted
	joined  map[string]clock.Millis            // when each instance has started
	hidden  map[[2]string]bool                 // pairs of instances of which the first does not have the second in its view
	transit []coldDatagram                     // on their way
	sent    []clock.Millis                     // placements
	late    map[string]map[string]clock.Millis // by when an instance has another, which has joined, in its view
}

// coldDatagram is a datagram on its way.
type coldDatagram struct {
	at   clock.Millis // of its arrival
	to   string
	data []byte
}

// start adds an instance, which knows only the list of targets.
func (c *coldSim) start(name string) {
	b := newIdleBoard(name)
	b.Broadcast = func(data []byte) { c.broadcast(name, data) }
	b.Cell = func() ([]string, bool) { return c.view(name), true }
	c.late[name] = make(map[string]clock.Millis)
	for other := range c.boards {
		c.late[other][name] = c.now + clock.Millis(c.random.Int64N(int64(coldSimLate)))
		delete(c.hidden, [2]string{name, other})
	}
	c.boards[name], c.joined[name] = b, c.now
	c.names = slices.Sorted(maps.Keys(c.boards))
	left := clock.Minute
	if c.news {
		left = 0
	}
	applyList(b, c.now, coldDesk(1, left)...)
}

// view returns the instances that one has in its view. A split takes only those out of it that were in it: one that starts during a
// split is known to the others in time, as it is by the one through which it joins.
func (c *coldSim) view(name string) []string {
	b := c.boards[name]
	return slices.DeleteFunc(slices.Clone(c.names), func(other string) bool {
		return c.hidden[[2]string{name, other}] && b.cell.seen[other] > 0 || c.now < c.late[name][other]
	})
}

// broadcast sends a datagram to those that an instance has in its view.
func (c *coldSim) broadcast(from string, data []byte) {
	for _, to := range c.view(from) {
		if to != from && c.random.Float64() >= c.loss {
			c.transit = append(c.transit, coldDatagram{at: c.now + clock.Millis(c.random.Int64N(int64(c.maxLag)+1)), to: to, data: data})
		}
	}
}

// deliver applies the datagrams that have arrived.
func (c *coldSim) deliver() {
	c.transit = slices.DeleteFunc(c.transit, func(d coldDatagram) bool {
		if d.at > c.now {
			return false
		}
		var p packet
		if b := c.boards[d.to]; b != nil && cbor.Unmarshal(d.data, &p) == nil {
			b.applyPacket(c.now, p)
		}
		return true
	})
}

// disturb changes views, ends an instance or starts one.
func (c *coldSim) disturb(most int) {
	name := c.names[c.random.IntN(len(c.names))]
	switch c.random.IntN(4) {
	case 0: // a split: one side of it does not have the other in its view
		side := 1 + c.random.IntN(len(c.names))
		for i, a := range c.names {
			for j, other := range c.names {
				if (i < side) != (j < side) {
					c.hidden[[2]string{a, other}] = true
				}
			}
		}
	case 1:
		clear(c.hidden)
	case 2:
		if len(c.names) > 1 && !c.settling() {
			delete(c.boards, name)
			c.names = slices.Sorted(maps.Keys(c.boards))
		}
	default:
		if len(c.names) < most && !c.settling() {
			c.start(fmt.Sprintf("entry-%d", c.random.IntN(most)+most*c.random.IntN(2)))
		}
	}
}

// settling reports whether an instance has just started that must be told what is cold; others that do so at once are not provided for.
func (c *coldSim) settling() bool {
	if !c.news {
		return false
	}
	for _, name := range c.names {
		if c.now < c.joined[name]+coldSimLate+clock.Second && c.joined[name] > coldSimStart {
			return true
		}
	}
	return false
}

// tell tells each instance that has started what is cold, late but in time.
func (c *coldSim) tell() {
	for _, name := range c.names {
		b := c.boards[name]
		if c.news && c.now >= c.joined[name]+coldSimLate && !b.cell.synced {
			left := coldSimStart + clock.Minute - c.now
			b.applyPacket(c.now, packet{From: "teller", Cold: &coldNews{Targets: []TargetCold{{Target: "plain-0", Born: 1, Left: left}}, All: true}})
		}
	}
}

// run simulates callers that send as much as is placed.
func (c *coldSim) run(instances, eagerness int, disturbance float64) {
	for n := range instances {
		c.start(fmt.Sprintf("entry-%d", n))
	}
	for _, b := range c.boards {
		clear(c.late[b.Self]) // those that are there from the start know each other
	}
	for c.now < coldSimStart+coldSimTime {
		c.now += 1 + clock.Millis(c.random.Int64N(30))
		c.deliver()
		c.tell()
		for _, name := range c.names {
			b := c.boards[name]
			b.noteCell(c.now)
			for range c.random.IntN(eagerness + 1) {
				if _, err := b.place(c.now, plain); err == nil {
					c.sent = append(c.sent, c.now)
				}
			}
			b.flush()
		}
		if c.random.Float64() < disturbance {
			c.disturb(max(instances, 2))
		}
	}
}

// newColdSim returns a simulation before its start.
func newColdSim(seed uint64) *coldSim {
	return &coldSim{
		random: rand.New(rand.NewPCG(seed, 0)), now: coldSimStart, boards: make(map[string]*Board), joined: make(map[string]clock.Millis),
		hidden: make(map[[2]string]bool), late: make(map[string]map[string]clock.Millis),
	}
}

// Guards against: instances that hear each other's placements use the margin that is for those that do not.
func TestColdRateKeptWhereHeard(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{2, 4, 9} {
		c := newColdSim(1)
		c.run(instances, 3, 0)
		seconds := int(coldSimTime / clock.Second)
		is.True(len(c.sent) <= testColdRate*seconds+int(testColdLimit.Slack)+instances)
		is.True(len(c.sent) >= testColdRate*(seconds-2)*4/5) // but for waits at the start and for requests
	}
}

// Guards against: a cold target gets more requests in one second than it is said to bear, as instances hear of each other's placements
// late, in part or not at all, have different views of who they are, end, start, or start again and know nothing.
func TestColdLimitForAnyViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newColdSim(rapid.Uint64().Draw(t, "seed"))
		c.news = rapid.Bool().Draw(t, "news")
		c.loss = rapid.SampledFrom([]float64{1, 0.5, 0}).Draw(t, "loss")
		c.maxLag = rapid.SampledFrom([]clock.Millis{0, 20, 3000}).Draw(t, "lag")
		instances := rapid.IntRange(1, unknownCell).Draw(t, "instances")
		disturbance := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "disturbance")
		c.run(instances, rapid.IntRange(1, 5).Draw(t, "eagerness"), disturbance)
		if got := mostWithinSecond(c.sent); got > mostPerSecond {
			t.Fatalf("%d requests in one second, at most %d are allowed", got, mostPerSecond)
		}
		if enough := testColdRate / 2 * int((coldSimTime-2*clock.Second)/clock.Second); disturbance == 0 && len(c.sent) < enough {
			t.Fatalf("%d requests, at least %d are to be had", len(c.sent), enough)
		}
	})
}
