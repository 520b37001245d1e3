package board

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
)

const testColdRate = 26

var testColdLimit = ColdLimit{Excess: 1.5, Slack: 5}

// mostPerSecond is the number of requests that a cold target may get in one second.
var mostPerSecond = int(testColdRate*testColdLimit.Excess + testColdLimit.Slack)

// limitColdTargets makes the targets of all services ones that are cold after a start.
func limitColdTargets(b *Board) {
	b.Cold = func(string) ColdRate { return ColdRate{PerSecond: testColdRate, Time: 3 * clock.Second} }
	b.ColdLimit = func() ColdLimit { return testColdLimit }
}

// newColdBoard returns the board of one instance whose control loop is the test, at points in time that the test gives.
func newColdBoard(t *testing.T, targets ...Target) *Board {
	t.Helper()
	b := newIdleBoard("entry-0")
	applyList(b, clock.Now(), targets...)
	return b
}

// newIdleBoard returns a board whose loop does not run, so that the test may call what runs on it.
func newIdleBoard(self string) *Board {
	b := &Board{Self: self, Zone: "a", Loop: loop.New(), Engine: testEngines, Broadcast: func([]byte) {}}
	limitColdTargets(b)
	b.Init()
	return b
}

// applyList applies a whole list of targets at a point in time.
func applyList(b *Board, now clock.Millis, targets ...Target) {
	b.applyTargets(now, targets, ListTrust{})
}

// coldDesk returns some plain targets that have just started.
func coldDesk(count int, left clock.Millis) []Target {
	var targets []Target
	for n := range count {
		targets = append(targets, Target{ID: fmt.Sprintf("plain-%d", n), Service: "desk", Zone: "a", Slots: 6, WarmupLeft: left, Born: 1})
	}
	return targets
}

// mostWithinSecond returns the largest number of times that lie within one second.
func mostWithinSecond(times []clock.Millis) int {
	slices.Sort(times)
	most, first := 0, 0
	for n, at := range times {
		for at-times[first] >= clock.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// Pattern: all targets of a zone become cold at once while callers send far more than these bear: by their entries after a start, by
// their answers, or as an evacuation ends. Each gets at most its rate and the slack in each second of the cold time, and a good part of
// that; the rest is refused with the time until there is room.
func TestColdZoneUnderFullLoad(t *testing.T) {
	for name, makeCold := range map[string]func(b *Board, now clock.Millis){
		"entry": func(b *Board, now clock.Millis) { applyList(b, now, coldDesk(3, 3*clock.Second)...) },
		"answer": func(b *Board, now clock.Millis) {
			for _, s := range b.targets {
				b.noteAnswered(now, s, ColdNotice{Named: true, Left: 3 * clock.Second, AskedAt: now})
			}
		},
		"return": func(b *Board, now clock.Millis) {
			for _, s := range b.targets {
				b.noteCold(now, s, b.coldTime(s.Service))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			warm := clock.Now()
			b := newColdBoard(t, coldDesk(3, 0)...)
			for now := warm; now < warm+clock.Second; now++ {
				_, err := b.place(now, plain)
				is.NoErr(err)
			}
			start := warm + clock.Second
			makeCold(b, start)
			sent := make(map[string][]clock.Millis)
			refused := 0
			for now := start; now < start+3*clock.Second; now++ { // 1,000 requests a second
				p, err := b.place(now, plain)
				if err != nil {
					refused++
					is.Equal(err.(*Error).Kind, Limited)
					is.True(err.(*Error).Wait >= coldMinWait)
					continue
				}
				sent[p.Target.ID] = append(sent[p.Target.ID], now)
			}
			is.Equal(len(sent), 3)
			is.True(refused > 2000)
			for _, times := range sent {
				is.True(mostWithinSecond(times) <= mostPerSecond)
				is.True(len(times) >= 3*testColdRate/2) // one instance alone has no more than its part, see ColdLimit.share
			}
		})
	}
}

// Pattern: a target's cold time ends under full load. Its rate doubles each second for three seconds, then there is no limit.
func TestRampAfterColdTime(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	b := newColdBoard(t, coldDesk(1, clock.Second)...)
	var perSecond []int
	for second := range clock.Millis(5) {
		count := 0
		for now := start + second*clock.Second; now < start+(second+1)*clock.Second; now++ {
			if _, err := b.place(now, plain); err == nil {
				count++
			}
		}
		perSecond = append(perSecond, count)
	}
	is.True(perSecond[0] <= mostPerSecond)
	for n := 1; n <= 3; n++ {
		is.True(perSecond[n] > perSecond[n-1])
		is.True(perSecond[n] <= mostPerSecond<<n)
	}
	is.Equal(perSecond[4], 1000)
}

// Guards against: the parts of the instances together exceed the limit of a cold target, as each sends a whole number of requests in a
// second, also while one more instance has joined that the others do not count yet.
func TestColdSharesWithinLimit(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 2*unknownCell; n++ {
		for _, perSecond := range []float64{26, 40, 100, 1000.5} {
			limit := testColdLimit
			part := limit.share(perSecond, n)
			is.True(part > 0)
			is.True(part*float64(n) <= perSecond*limit.Excess)
			total := perSecond*limit.Excess + limit.Slack
			if total >= float64(n+1) {
				is.True(math.Ceil(part)*float64(n+1) <= total)
			}
		}
	}
	is.True(ColdLimit{Excess: 1}.share(0.5, 3) > 0) // also a rate of less than a request a second for each is used
}

// Pattern: a target starts beside busy ones. It does not attract all requests: its share of new placements grows for three seconds.
func TestSlowStartBesideBusy(t *testing.T) {
	unpaced := short
	unpaced.EventGapSLO = 0 // or prompts are packed onto few engines, and an empty one attracts none
	for _, c := range []struct {
		name    string
		req     Requirements
		service string
	}{{"plain", plain, "desk"}, {"engines", unpaced, "models"}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := clock.Now()
			list := coldDesk(5, 0)
			for n := range list {
				list[n].Service = c.service
			}
			b := newColdBoard(t, list[:4]...)
			b.Cold = nil // the service's targets are never cold
			applyList(b, start, list...)
			// share returns how many of some requests go to the new target, beside four others with some more.
			share := func(now clock.Millis) int {
				var placed []*Placement
				place := func(req Requirements) string {
					p, err := b.place(now, req)
					is.NoErr(err)
					placed = append(placed, p)
					return p.Target.ID
				}
				elsewhere := c.req
				elsewhere.Exclude = map[string]bool{"plain-4": true}
				for range 12 {
					place(elsewhere)
				}
				count := 0
				for range 8 {
					if place(c.req) == "plain-4" {
						count++
					}
				}
				for _, p := range placed {
					b.removeRequest(requestKey{b.Self, p.number})
				}
				return count
			}
			early, midway, late := share(start+1), share(start+slowStartTime/2), share(start+slowStartTime)
			is.True(early <= 1)
			is.True(early <= midway && midway <= late)
			is.True(late >= 3)
		})
	}
}

// Pattern: a target that is slow after its start is beside a warm one with little load. It gets no requests as long as the warm one is
// not full, also if the list of targets is the first that this instance sees.
func TestSlowTargetAvoided(t *testing.T) {
	is := is.New(t)
	targets := coldDesk(2, 0)
	targets[0].WarmupLeft = 3 * clock.Second
	b := newColdBoard(t, targets...)
	now := clock.Now() + clock.Second
	for range 5 {
		p, err := b.place(now, plain)
		is.NoErr(err)
		is.Equal(p.Target.ID, "plain-1")
	}
}

// Without a limit in the settings, or a rate in the configuration, no target is limited for being cold.
func TestColdWithoutSettings(t *testing.T) {
	for name, leaveOut := range map[string]func(b *Board){
		"no limit": func(b *Board) { b.ColdLimit = nil },
		"zero":     func(b *Board) { b.ColdLimit = func() ColdLimit { return ColdLimit{} } },
		"no rate":  func(b *Board) { b.Cold = func(string) ColdRate { return ColdRate{} } },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := clock.Now()
			b := newIdleBoard("entry-0")
			leaveOut(b)
			applyList(b, now, coldDesk(1, clock.Second)...)
			for range 100 {
				_, err := b.place(now, plain)
				is.NoErr(err)
			}
			is.Equal(b.coldTime("desk"), clock.Millis(0))
		})
	}
}

// Guards against: instances that cannot hear each other's placements, or do not know how many they are, each send to a cold target.
func TestColdTargetLeftToOthers(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	b := newIdleBoard("entry-0")
	joined := false
	b.Cell = func() ([]string, bool) { return []string{"entry-0", "entry-1"}, joined }
	applyList(b, now, coldDesk(1, clock.Minute)...)
	places := func(now clock.Millis) bool {
		_, err := b.place(now, plain)
		return err == nil
	}
	is.True(!places(now + 10*clock.Second))
	joined = true
	is.True(!places(now + 11*clock.Second)) // the others do not count this instance yet
	is.True(places(now + 11*clock.Second + coldSettleTime))
	b.HearsPlacements = func(string) bool { return false }
	is.True(!places(now + 20*clock.Second))
}

// Guards against: an instance that has started again, and does not know which targets are cold, sends all that it gets to one.
func TestColdUnknownAfterRestart(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	members := []string{"entry-0", "entry-1", "entry-2"}
	b := newIdleBoard("entry-0")
	b.Cell = func() ([]string, bool) { return members, true }
	applyList(b, start, coldDesk(1, 0)...)
	_, err := b.place(start, plain)
	is.True(err != nil) // what its former process has sent is not known either
	count := func(from, until clock.Millis) int {
		n := 0
		for now := from; now < until; now++ {
			if _, err := b.place(now, plain); err == nil {
				n++
			}
		}
		return n
	}
	got := count(start, start+clock.Second)
	is.True(got > 0)
	is.True(got <= int(testColdLimit.share(testColdRate, 3)))
	b.applyPacket(start+clock.Second, packet{From: "entry-1", Cold: &coldNews{All: true}})
	is.Equal(count(start+clock.Second, start+clock.Second+100), 100) // none is cold
}

// Guards against: a hedge goes to a cold target although a warm one is there; or there is no hedge though a cold one is left.
func TestHedgeAvoidsCold(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	targets := coldDesk(3, 0)
	targets[0].WarmupLeft = 10 * clock.Second
	b := newColdBoard(t, targets...)
	now := start + clock.Second
	hedge := plain
	hedge.Hedge, hedge.Exclude = true, map[string]bool{"plain-2": true}
	for range 20 { // more than the slots of the warm one
		p, err := b.place(now, hedge)
		is.NoErr(err)
		is.Equal(p.Target.ID, "plain-1")
	}
	hedge.Exclude["plain-1"] = true
	p, err := b.place(now, hedge)
	is.NoErr(err)
	is.Equal(p.Target.ID, "plain-0")
}

// Guards against: a cold engine prefills parts of long prompts for others, or gets several prompts at once that have waited for leases.
func TestColdEngineHelpsNobody(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	var targets []Target
	for n := range 18 {
		targets = append(targets, Target{ID: fmt.Sprintf("engine-%d", n), Service: "models", Zone: "a", Slots: 16, Born: 1})
		if n < 2 {
			targets[n].WarmupLeft = clock.Minute
		}
	}
	b := newColdBoard(t, targets...)
	helpers := 0
	for n := range clock.Millis(10) {
		p, err := b.place(start+n*clock.Second, long)
		is.NoErr(err)
		helpers += len(p.Helpers)
		for _, id := range p.HelperIDs() {
			is.True(id != "engine-0" && id != "engine-1")
		}
		b.removeRequest(requestKey{b.Self, p.number})
	}
	is.True(helpers > 0)
	huge := Requirements{Service: "models", PromptTokens: 900_000, MaxOutputTokens: 600, FirstEventSLO: 3000, EventGapSLO: 1000}
	for n := range clock.Millis(10) {
		p, err := b.place(start+(20+n)*clock.Second, huge)
		is.NoErr(err)
		for _, engine := range p.Leased() {
			is.True(engine.ID != "engine-0" && engine.ID != "engine-1")
		}
		b.removeRequest(requestKey{b.Self, p.number})
	}
}

// What a target says of itself counts until its latest end. Zero ends only what the entry and answers gave, and not if the request was
// sent before the target was said to be cold.
func TestColdTimeBySource(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	b := newColdBoard(t, coldDesk(1, 0)...)
	s := b.targets["plain-0"]
	is.Equal(s.cold.end(), clock.Millis(0))
	b.noteAnswered(start, s, ColdNotice{Named: true, Left: 2000, AskedAt: start - 5})
	b.noteAnswered(start+1, s, ColdNotice{Named: true, AskedAt: start - 10})
	is.Equal(s.cold.end(), start+2000)
	b.noteCold(start+2, s, b.coldTime("desk"))
	is.Equal(s.cold.end(), start+2+3000)
	b.noteAnswered(start+10, s, ColdNotice{Named: true, AskedAt: start + 5})
	is.Equal(s.cold.end(), start+2+3000) // the end of an evacuation still counts
	is.Equal(s.cold.until[fromAnswer], start+10)
	applyList(b, start+20, coldDesk(1, 0)...) // an unchanged entry
	is.Equal(s.cold.end(), start+2+3000)
	applyList(b, start+30, coldDesk(1, 4000)...)
	is.Equal(s.cold.end(), start+30+4000)
	applyList(b, start+1000, coldDesk(1, 4000)...)
	is.Equal(s.cold.end(), start+30+4000)
	applyList(b, start+1100, coldDesk(1, 0)...)
	is.Equal(s.cold.end(), start+2+3000)
	again := coldDesk(1, 0)
	again[0].Born = 2
	applyList(b, start+1200, again...)
	is.Equal(b.targets["plain-0"].cold.end(), clock.Millis(0)) // what was known of its former process does not count
}

// Guards against: odd values of another instance close a target for good, make it warm, or end the control loop.
func TestOddColdNews(t *testing.T) {
	for _, odd := range []TargetCold{
		{Target: "plain-0", Born: 1, Left: -1}, {Target: "plain-0", Born: 1, Left: math.MinInt64}, {Target: "plain-0", Born: 1, Left: math.MaxInt64},
		{Target: "plain-0", Born: 1, Returned: math.MaxInt64}, {Target: "plain-0", Born: 1, Returned: -5, Left: -5}, {Target: "none", Left: 5000},
		{Target: "plain-0", Born: 7, Left: 5000}, {Target: "plain-0", Born: 1, Ended: true, Left: math.MinInt64}, {},
		{Target: "plain-0", Born: 1, Entry: math.MaxInt64}, {Target: "plain-0", Born: 1, Entry: math.MinInt64},
	} {
		t.Run(fmt.Sprint(odd), func(t *testing.T) {
			is := is.New(t)
			start := clock.Now()
			b := newColdBoard(t, coldDesk(1, 3*clock.Second)...)
			s := b.targets["plain-0"]
			b.applyPacket(start, packet{From: "entry-9", Cold: &coldNews{Targets: []TargetCold{odd, odd}}})
			is.True(s.cold.end() >= start+2900)
			is.True(s.cold.end() <= start+maxColdTime)
			_, err := b.place(start+clock.Second, plain)
			is.NoErr(err)
		})
	}
}

// A target that one instance finds cold is limited at all of them at once, also at one that joins later, and the end is told too.
func TestColdTargetTold(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 3, 2)
	for _, b := range boards {
		b.Loop.Call(func() { limitColdTargets(b) })
	}
	end := func(b *Board) clock.Millis {
		var end clock.Millis
		b.Loop.Call(func() { end = b.targets["plain-0"].cold.end() })
		return end
	}
	p := placeOn(t, boards[0], plain, "plain-0")
	p.RecordNotice(Notice{Cold: ColdNotice{Named: true, Left: 20 * clock.Second, AskedAt: clock.Now()}})
	isCold := func(b *Board) bool { return end(b) > clock.Now() }
	waitUntil(t, func() bool { return isCold(boards[1]) && isCold(boards[2]) })
	first := end(boards[0])
	boards[1].Loop.Call(func() { boards[1].targets["plain-0"].cold = coldState{} }) // as after a restart
	boards[2].Loop.Call(boards[2].AnnounceAll)                                      // it knows only what the first one has told
	waitDelivered(boards)
	is.True(!isCold(boards[1]))
	boards[0].Loop.Call(boards[0].AnnounceAll)
	waitUntil(t, func() bool { return isCold(boards[1]) })
	for _, b := range boards {
		is.True(end(b) >= first)
		is.True(end(b) <= first+clock.Second)
	}
	time.Sleep((coldNewsMargin + 20).Duration())
	p.RecordNotice(Notice{Cold: ColdNotice{Named: true, AskedAt: clock.Now()}})
	waitUntil(t, func() bool { return !isCold(boards[0]) && !isCold(boards[1]) && !isCold(boards[2]) })
}

// Guards against: instances of an earlier build do not understand datagrams that tell of cold targets.
func TestColdNewsIgnoredByEarlierBuild(t *testing.T) {
	is := is.New(t)
	news := &coldNews{Targets: []TargetCold{{Target: "plain-0", Left: 5}}, All: true}
	data, err := cbor.Marshal(packet{From: "entry-1", Ended: []uint64{3}, Cold: news})
	is.NoErr(err)
	var earlier struct {
		From  string   `cbor:"1,keyasint"`
		Ended []uint64 `cbor:"4,keyasint,omitempty"`
	}
	is.NoErr(cbor.Unmarshal(data, &earlier))
	is.Equal(earlier.Ended, []uint64{3})
	var p packet
	old, err := cbor.Marshal(earlier)
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(old, &p))
	is.True(p.Cold == nil)
}

// Guards against: each answer of a warm target, which says that it is not cold, costs the loop a function.
func TestAnswersOfWarmTargets(t *testing.T) {
	is := is.New(t)
	b := newIdleBoard("entry-0")
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for range 2000 { // more than the loop's queue holds
			b.RecordNotice(Target{ID: "plain-0"}, Notice{Cold: ColdNotice{Named: true, AskedAt: 1}})
		}
	}()
	select {
	case <-recorded:
	case <-time.After(time.Second):
		is.Fail() // the loop's queue is full
	}
}

// Probes of a cold target take from its rate, so that they and the requests together stay within the limit.
func TestColdTargetProbedWithinRate(t *testing.T) {
	is := is.New(t)
	start := clock.Now()
	b := newColdBoard(t, coldDesk(1, clock.Minute)...)
	s := b.targets["plain-0"]
	var sent []clock.Millis
	probes := 0
	for now := start; now < start+5*clock.Second; now += 5 {
		if b.probeDue(now, s) {
			probes++
			sent = append(sent, now)
			b.chargeCold(now, s, false)
		}
		if _, err := b.place(now, plain); err == nil {
			sent = append(sent, now)
		}
	}
	is.True(probes > 0)
	is.True(mostWithinSecond(sent) <= mostPerSecond)
}
