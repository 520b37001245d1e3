package board

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

// Pattern: short prompts arrive while a long prompt is being prefilled. They go to engines that do not take part in
// that.
func TestShortBesideLong(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 4)
	first := place(t, boards[0], long)
	busy := map[string]bool{first.Target.ID: true}
	for _, h := range first.Helpers {
		busy[h.ID] = true
	}
	is.True(len(busy) < 4)
	waitDelivered(boards)
	for range 6 {
		p := place(t, boards[1], short)
		is.True(!busy[p.Target.ID])
		is.True(p.PredictedFirstEvent < short.FirstEventSLO)
	}
}

// Pattern: a long prompt arrives at idle engines. Its prefill is divided among several of them, so that the first event
// meets its objective.
func TestLongPrefillMeetsSLO(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 8)
	p := place(t, boards[0], long)
	is.True(len(p.Helpers) >= 1)
	is.True(p.PredictedFirstEvent < long.FirstEventSLO)
}

// Pattern: a few short prompts precede a burst of long ones. Their answers are packed onto few engines, so that the
// long prompts find engines where long passes delay nobody.
func TestFewShortBeforeLong(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 8)
	decoding := make(map[string]bool)
	for i := range 12 {
		p := place(t, boards[i%2], short)
		is.True(p.PredictedFirstEvent < short.FirstEventSLO)
		p.RecordFirstEvent()
		decoding[p.Target.ID] = true
		waitDelivered(boards)
	}
	is.True(len(decoding) <= 3)
	for range 2 {
		p := place(t, boards[0], long)
		is.True(p.PredictedFirstEvent < long.FirstEventSLO)
		for _, id := range append(p.HelperIDs(), p.Target.ID) {
			is.True(!decoding[id])
		}
	}
}

// Pattern: a burst of short prompts arrives at idle engines. Engines are not filled to the last slot, so that there are
// slots for placements of other instances that this one has not received yet.
func TestShortFillEngines(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 4)
	count := make(map[string]int)
	for range 36 {
		p := place(t, boards[0], short)
		p.RecordFirstEvent()
		count[p.Target.ID]++
		waitDelivered(boards)
	}
	for _, n := range count {
		is.True(n < testEngine.Slots-2)
	}
}

// Pattern: medium and short prompts arrive together. Neither makes the other late while there are engines for both.
func TestMediumBesideShort(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 6)
	for range 8 {
		place(t, boards[0], short).RecordFirstEvent()
	}
	waitDelivered(boards)
	is.True(place(t, boards[1], medium).PredictedFirstEvent < medium.FirstEventSLO)
	waitDelivered(boards)
	is.True(place(t, boards[0], short).PredictedFirstEvent < short.FirstEventSLO)
}

// Pattern: a burst of short prompts arrives at several instances. A simulation of the engines shows each first event
// and each gap between events within its objective.
func TestBurstOfShort(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 3, 4)
	engines := make(map[string]*model.Schedule)
	for i := range 24 {
		p := place(t, boards[i%3], short)
		s := engines[p.Target.ID]
		if s == nil {
			s = &model.Schedule{Engine: testEngine}
			engines[p.Target.ID] = s
		}
		s.Add(float64(clock.Now()), testEngine.NewTask(short.PromptTokens, 1, short.PromptTokens, 1300, false))
		for _, left := range s.Forecast(nil).PrefillEnds {
			is.True(left <= float64(short.FirstEventSLO))
		}
		is.True(s.Forecast(nil).LongestPass <= float64(short.EventGapSLO))
		waitDelivered(boards)
	}
}

// Pattern: a burst of short prompts arrives at many instances, none of which has received the others' latest
// placements. They do not all choose the engine with the least load.
func TestBurstBeforeBroadcast(t *testing.T) {
	is := is.New(t)
	const instances, engines = 24, 24
	boards := newBoards(t, instances, engines)
	for i := range 5 * engines {
		place(t, boards[i%instances], short).RecordFirstEvent()
	}
	waitDelivered(boards)
	for _, b := range boards { // engine-0 is idle
		b.Loop.Call(func() {
			n := b.target("engine-0")
			n.assignments, n.schedule.Tasks = nil, nil
		})
	}
	waitDelivered(boards)
	for _, b := range boards {
		b.Loop.Call(func() { b.Broadcast = func([]byte) {} })
	}
	count := make(map[string]int)
	for _, b := range boards {
		b.Loop.Call(func() { b.remotePlacements = placementRate{count: 400, at: clock.Now()} }) // placements per second
		count[place(t, b, short).Target.ID]++
	}
	for id, n := range count {
		t.Log(id, n)
		is.True(n <= 12) // of 24 placements
	}
}

// Pattern: a fleet in cells. Requests go to the targets of the own cell, and to others only if that has none left.
func TestCellFirst(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 24)[0]
	b.InCell = func(target string) bool { return target == "engine-1" || target == "engine-2" }
	for range 8 {
		p := place(t, b, short)
		is.True(p.Target.ID == "engine-1" || p.Target.ID == "engine-2")
		p.End(Inconclusive)
	}
	r := short
	r.Exclude = map[string]bool{"engine-1": true, "engine-2": true}
	p := place(t, b, r)
	is.True(p.Target.ID != "engine-1" && p.Target.ID != "engine-2")
	p.End(Inconclusive)
	larger := long
	larger.PromptTokens = 2 * testEngine.Memory // with the answer, more than the memory of the cell
	is.True(len(place(t, b, larger).Helpers) >= 2)
}

// Pattern: a long prompt arrives at a fleet of hundreds of engines, most of which are in use. It is divided among those that
// are idle, though only some engines are compared for each number of parts.
func TestLongPromptInLargeFleet(t *testing.T) {
	is := is.New(t)
	const engines, idle = 200, 24
	b := newBoards(t, 1, engines)[0]
	for n := range engines - idle {
		for range 3 {
			placeOn(t, b, medium, fmt.Sprint("engine-", n))
		}
	}
	p := place(t, b, long)
	is.True(len(p.Helpers) > 0)
	is.True(p.PredictedFirstEvent < long.FirstEventSLO)
	for _, id := range append(p.HelperIDs(), p.Target.ID) {
		n, err := strconv.Atoi(strings.TrimPrefix(id, "engine-"))
		is.NoErr(err)
		is.True(n >= engines-idle)
	}
}

// A request is removed from all boards when its instance ends it, or has not broadcast it for instanceTimeout.
func TestRequestRemoval(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 1)
	p := place(t, boards[0], short)
	waitDelivered(boards)
	count := func(b *Board) int {
		n := 0
		b.Loop.Call(func() { n = b.target("engine-0").runningCount() })
		return n
	}
	is.Equal(count(boards[1]), 1)
	p.End(Succeeded)
	boards[0].Loop.Call(boards[0].flush)
	waitDelivered(boards)
	is.Equal(count(boards[1]), 0)
	place(t, boards[0], short)
	waitDelivered(boards)
	boards[1].Loop.Call(func() {
		for _, r := range boards[1].requests {
			r.lastHeard -= instanceTimeout
		}
		boards[1].rebroadcastAndExpire()
	})
	is.Equal(count(boards[1]), 0)
}

// After one instance fails to reach a target, no instance places requests on it for a while.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 0)
	req := Requirements{Service: "desk"}
	p := place(t, boards[0], req)
	p.End(Unreachable)
	boards[0].Loop.Call(boards[0].flush)
	waitDelivered(boards)
	for _, b := range boards {
		for range 6 {
			is.True(place(t, b, req).Target.ID != p.Target.ID)
		}
	}
}

// Pattern: all instances restart at once, and each places requests before it knows the others. Those placements are
// broadcast as soon as the others have joined.
func TestRestartOfAll(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 2)
	broadcast := boards[0].Broadcast
	boards[0].Broadcast = func([]byte) {} // the other instance is not known yet
	first := place(t, boards[0], Requirements{Service: "models", PromptTokens: 30_000, MaxOutputTokens: 600, FirstEventSLO: 1500, EventGapSLO: 600})
	boards[0].Loop.Call(func() {
		boards[0].Broadcast = broadcast
		boards[0].AnnounceAll()
		boards[0].tick()
	})
	waitDelivered(boards)
	for range 2 {
		is.True(place(t, boards[1], short).Target.ID != first.Target.ID)
	}
}

// Pattern: a prompt arrives whose first event would come after its caller has given up. It is refused at once, even
// though the engine is idle.
func TestRefuseIfCallerWouldGiveUp(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 1)
	// Its prefill takes 9 s, and its caller gives up after 6 s.
	_, err := boards[0].Place(Requirements{Service: "models", PromptTokens: 300_000, MaxOutputTokens: 600, FirstEventSLO: 1500, EventGapSLO: 600})
	is.True(err != nil)
	place(t, boards[0], long) // late, but before its caller gives up
}

// After an outage of the list's source, missing targets stay in use while the list is incomplete; without an outage they are
// dropped at once.
func TestListAfterOutage(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 2)
	b := boards[0]
	b.ReplaceTargets(nil, ListTrust{IncompleteUntil: clock.Now() + clock.Minute})
	place(t, b, short).End(Succeeded)
	b.Loop.Call(func() {
		for _, s := range b.targets {
			s.missingUntil = clock.Now()
		}
	})
	_, err := b.Place(short)
	is.True(err != nil)
	b.Loop.Call(func() {
		b.rebroadcastAndExpire()
		is.Equal(len(b.targets), 0)
	})
	boards = newBoards(t, 1, 2)
	boards[0].ReplaceTargets(nil, ListTrust{})
	_, err = boards[0].Place(short)
	is.True(err != nil)
}

// A helper that could not be reached is ejected; the target that it was to help is not.
func TestUnreachableHelper(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 4)
	p := place(t, boards[0], long)
	is.True(len(p.Helpers) > 0)
	helper := p.Helpers[0].ID
	is.Equal(p.FindHelper(helper), helper)
	is.Equal(p.FindHelper(""), "")
	p.MarkHelperUnreachable(helper)
	p.End(Inconclusive)
	boards[0].Loop.Call(func() {
		is.True(!boards[0].target(helper).usable(clock.Now()))
		is.True(boards[0].target(p.Target.ID).usable(clock.Now()))
	})
}

// On an idle engine the first event is predicted for the end of the prefill. On an engine that decodes other sequences
// the prompt waits for the current pass and is prefilled in the next one, which ends with the first event. The same
// holds for the parts of a prompt that is divided among such engines.
func TestPrediction(t *testing.T) {
	is := is.New(t)
	pass := testEngine.DecodePassTime(2, 0)
	expectNear := func(got clock.Millis, want float64) {
		t.Helper()
		t.Log(got, want)
		is.True(float64(got) > want-8 && float64(got) < want+8)
	}
	boards := newBoards(t, 1, 1)
	expectNear(place(t, boards[0], short).PredictedFirstEvent, testEngine.PrefillTime(short.PromptTokens))
	boards = newBoards(t, 1, 1)
	place(t, boards[0], short).RecordFirstEvent()
	expectNear(place(t, boards[0], short).PredictedFirstEvent, testEngine.PrefillTime(short.PromptTokens)+2*pass)
	boards = newBoards(t, 1, 1)
	place(t, boards[0], short).RecordFirstEvent()
	time.Sleep(time.Duration(pass/2) * time.Millisecond)
	expectNear(place(t, boards[0], short).PredictedFirstEvent, testEngine.PrefillTime(short.PromptTokens)+1.5*pass)
	boards = newBoards(t, 1, 3)
	for i := range 6 {
		placeOn(t, boards[0], short, fmt.Sprintf("engine-%d", i%3)).RecordFirstEvent()
	}
	p := place(t, boards[0], Requirements{Service: "models", PromptTokens: 100_000, MaxOutputTokens: 600, FirstEventSLO: 1000, EventGapSLO: 1000})
	is.Equal(len(p.Helpers), 1)
	expectNear(p.PredictedFirstEvent, testEngine.PartPrefillTime(100_000, 2)+2*pass)
}
