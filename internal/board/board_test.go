package board

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/model"
)

var sheet = model.Engine{
	Slots: 16, Memory: 405_000, StepTime: 1.31, SequenceTime: 0.000917, ContextTime: 0.00213,
	PrefillRate: 154, AttentionTime: 0.162, ChunkTokens: 2048, StepsPerPass: 34,
}

// The kinds of prompt of the users' sheets.
var (
	short  = Requirements{Service: "models", PromptTokens: 4960, Output: 1300, FirstEventSLO: 300, EventGapSLO: 250}
	medium = Requirements{Service: "models", PromptTokens: 45_000, Output: 780, FirstEventSLO: 1500, EventGapSLO: 600}
	long   = Requirements{Service: "models", PromptTokens: 182_000, Output: 650, FirstEventSLO: 3000, EventGapSLO: 1000}
)

// newBoards returns boards of several instances over the same engines; what one tells reaches all others.
func newBoards(t *testing.T, instances, engines int) []*Board {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	boards := make([]*Board, instances)
	for i := range boards {
		boards[i] = &Board{
			Self: fmt.Sprintf("entry-%d", i), Zone: "a", Loop: loop.New(),
			Engine: func(service string) (model.Engine, bool) { return sheet, service == "models" },
		}
		boards[i].Broadcast = func(data []byte) {
			for j, other := range boards {
				if j != i {
					go other.Receive(data)
				}
			}
		}
		boards[i].Init()
	}
	var targets []Target
	for i := range engines {
		targets = append(targets, Target{ID: fmt.Sprintf("engine-%d", i), Service: "models", Zone: "a", Slots: 16})
	}
	for i := range 3 {
		targets = append(targets, Target{ID: fmt.Sprintf("plain-%d", i), Service: "desk", Zone: string(rune('a' + i)), Slots: 6})
	}
	for _, b := range boards {
		go func() { _ = b.Loop.Run(ctx) }()
		b.ReplaceTargets(targets, false)
	}
	return boards
}

func place(t *testing.T, b *Board, n Requirements) *Placement {
	t.Helper()
	n.Deadline = clock.Now() + 10*clock.Second
	p, err := b.Place(n)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// placeOn places a request on one engine.
func placeOn(t *testing.T, b *Board, n Requirements, target string) *Placement {
	t.Helper()
	n.Exclude = make(map[string]bool)
	b.Loop.Call(func() {
		for id := range b.nodes {
			n.Exclude[id] = id != target
		}
	})
	p := place(t, b, n)
	if p.Target.ID != target {
		t.Fatalf("placed on %s, not on %s", p.Target.ID, target)
	}
	return p
}

// settle waits until the boards have taken in what they were told.
func settle(boards []*Board) {
	time.Sleep(20 * time.Millisecond)
	for _, b := range boards {
		b.Loop.Call(func() {})
	}
}

// Pattern: short questions while a long read is in progress. They go to engines that do not read it.
func TestShortBesideLong(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 4)
	read := place(t, boards[0], long)
	busy := map[string]bool{read.Target.ID: true}
	for _, h := range read.Helpers {
		busy[h.ID] = true
	}
	is.True(len(busy) < 4)
	settle(boards)
	for range 6 {
		p := place(t, boards[1], short)
		is.True(!busy[p.Target.ID])
		is.True(p.PredictedFirstEvent < short.FirstEventSLO)
	}
}

// Pattern: a long read on idle engines is spread until it meets its aim.
func TestLongReadMeetsAim(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 8)
	p := place(t, boards[0], long)
	is.True(len(p.Helpers) >= 1)
	is.True(p.PredictedFirstEvent < long.FirstEventSLO)
}

// Pattern: a few short questions before a crest of long reads. Their answers share engines, so that the reads find engines
// whose long passes disturb nobody.
func TestFewShortBeforeLong(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 8)
	writing := make(map[string]bool)
	for i := range 12 {
		p := place(t, boards[i%2], short)
		is.True(p.PredictedFirstEvent < short.FirstEventSLO)
		p.RecordFirstEvent()
		writing[p.Target.ID] = true
		settle(boards)
	}
	is.True(len(writing) <= 3)
	for range 2 {
		p := place(t, boards[0], long)
		is.True(p.PredictedFirstEvent < long.FirstEventSLO)
		for _, id := range append(p.HelperIDs(), p.Target.ID) {
			is.True(!writing[id])
		}
	}
}

// Pattern: a crest of short questions begins, with engines idle. Engines are not filled to the last slot, so that what
// other instances place unknown to this one still finds a slot.
func TestShortFillEngines(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 4)
	count := make(map[string]int)
	for range 36 {
		p := place(t, boards[0], short)
		p.RecordFirstEvent()
		count[p.Target.ID]++
		settle(boards)
	}
	for _, n := range count {
		is.True(n < sheet.Slots-2)
	}
}

// Pattern: medium prompts and short questions together. Neither makes the other late while there is an engine for each.
func TestMediumBesideShort(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 6)
	for range 8 {
		place(t, boards[0], short).RecordFirstEvent()
	}
	settle(boards)
	is.True(place(t, boards[1], medium).PredictedFirstEvent < medium.FirstEventSLO)
	settle(boards)
	is.True(place(t, boards[0], short).PredictedFirstEvent < short.FirstEventSLO)
}

// Pattern: a crest of short questions from several instances. Each has its first event within its objective, and no answer
// pauses for longer than it may, by what engines do with what they were given.
func TestCrestOfShort(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 3, 4)
	engines := make(map[string]*model.Schedule)
	for i := range 24 {
		p := place(t, boards[i%3], short)
		s := engines[p.Target.ID]
		if s == nil {
			s = &model.Schedule{Engine: sheet}
			engines[p.Target.ID] = s
		}
		s.Add(float64(clock.Now()), sheet.NewTask(short.PromptTokens, 1, short.PromptTokens, 1300, false))
		for _, left := range s.Forecast(nil).Read {
			is.True(left <= float64(short.FirstEventSLO))
		}
		is.True(s.Forecast(nil).Longest <= float64(short.EventGapSLO))
		settle(boards)
	}
}

// Pattern: a crest of short questions from many instances, none of which knows yet what the others have just placed. They
// do not all take the engine that has the least to do.
func TestCrestBeforeNews(t *testing.T) {
	is := is.New(t)
	const instances, engines = 24, 24
	boards := newBoards(t, instances, engines)
	for i := range 5 * engines {
		place(t, boards[i%instances], short).RecordFirstEvent()
	}
	settle(boards)
	for _, b := range boards { // one engine has nothing to do
		b.Loop.Call(func() {
			n := b.node("engine-0")
			n.jobs, n.passes.Tasks = nil, nil
		})
	}
	settle(boards)
	for _, b := range boards {
		b.Broadcast = func([]byte) {}
	}
	count := make(map[string]int)
	for _, b := range boards {
		b.Loop.Call(func() { b.news = news{count: 400, at: clock.Now()} }) // a second
		count[place(t, b, short).Target.ID]++
	}
	for id, n := range count {
		t.Log(id, n)
		is.True(n <= 12) // of 24
	}
}

// What an instance that has gone silent has placed is forgotten; what it ends is taken off at once.
func TestEndedWork(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 1)
	p := place(t, boards[0], short)
	settle(boards)
	count := func(b *Board) int {
		n := 0
		b.Loop.Call(func() { n = b.node("engine-0").running() })
		return n
	}
	is.Equal(count(boards[1]), 1)
	p.End(Succeeded)
	boards[0].Loop.Call(boards[0].flush)
	settle(boards)
	is.Equal(count(boards[1]), 0)
	place(t, boards[0], short)
	settle(boards)
	boards[1].Loop.Call(func() {
		for _, w := range boards[1].works {
			w.heard -= silentTime
		}
		boards[1].repeat()
	})
	is.Equal(count(boards[1]), 0)
}

// A target that cannot be reached gets nothing for a while, from no instance.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 0)
	need := Requirements{Service: "desk"}
	p := place(t, boards[0], need)
	p.End(Unreachable)
	boards[0].Loop.Call(boards[0].flush)
	settle(boards)
	for _, b := range boards {
		for range 6 {
			is.True(place(t, b, need).Target.ID != p.Target.ID)
		}
	}
}

// Pattern: a prompt of a million tokens, twice what one engine holds. It is split over engines that keep its parts.
func TestMillionTokens(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 16)
	for range 8 {
		place(t, boards[0], short).RecordFirstEvent()
	}
	p := place(t, boards[0], Requirements{Service: "models", PromptTokens: 900_000, Output: 600, FirstEventSLO: 3000, EventGapSLO: 1000})
	is.True(p.HelperMemory > 0)
	is.True(p.HelperMemory*(1+len(p.Helpers)) >= 900_000-len(p.Helpers))
	is.True(p.HelperMemory <= sheet.Memory)
	is.True(1+len(p.Helpers) <= 12) // a quarter of the engines stays free for short questions
	settle(boards)
	p.RecordFirstEvent()
	boards[0].Loop.Call(boards[0].flush)
	settle(boards)
	for _, b := range boards {
		kept := 0
		b.Loop.Call(func() {
			for _, n := range b.nodes {
				kept += n.held()
			}
		})
		is.True(kept >= 900_000) // the parts stay held while the answer is written
	}
	p.End(Succeeded)
	boards[0].Loop.Call(func() { is.True(boards[0].node(p.Target.ID).held() < 100_000) })
	_, err := boards[0].Place(Requirements{Service: "models", PromptTokens: 8_000_000, Output: 1, FirstEventSLO: 3000})
	is.True(err != nil) // no engines together have the memory
}

// Pattern: all instances restart at once, and each places before it knows the others. What was placed is told as soon as
// they have met.
func TestRestartOfAll(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 2)
	tell := boards[0].Broadcast
	boards[0].Broadcast = func([]byte) {} // the other is not known yet
	read := place(t, boards[0], Requirements{Service: "models", PromptTokens: 30_000, Output: 600, FirstEventSLO: 1500, EventGapSLO: 600})
	boards[0].Loop.Call(func() {
		boards[0].Broadcast = tell
		boards[0].AnnounceAll()
		boards[0].tick()
	})
	settle(boards)
	for range 2 {
		is.True(place(t, boards[1], short).Target.ID != read.Target.ID)
	}
}

// Pattern: a read whose first event would come after its caller has given up is refused at once, also by idle engines.
func TestHopelessRead(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 1)
	// 9 s alone, and its caller leaves after 6 s.
	_, err := boards[0].Place(Requirements{Service: "models", PromptTokens: 300_000, Output: 600, FirstEventSLO: 1500, EventGapSLO: 600})
	is.True(err != nil)
	place(t, boards[0], long) // late, but in time for its caller
}

// After an outage of the list, targets that it lacks are used for two seconds more and then no longer; without an outage
// they are dropped at once.
func TestListAfterOutage(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 2)
	b := boards[0]
	b.ReplaceTargets(nil, true)
	place(t, b, short).End(Succeeded)
	b.Loop.Call(func() {
		for _, n := range b.nodes {
			n.missing -= doubtTime + 1
		}
		b.repeat()
	})
	_, err := b.Place(short)
	is.True(err != nil)
	boards = newBoards(t, 1, 2)
	boards[0].ReplaceTargets(nil, false)
	_, err = boards[0].Place(short)
	is.True(err != nil)
}

// A helper that is at fault is avoided; the target that it was to help is not.
func TestBlamedHelper(t *testing.T) {
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
		is.True(!boards[0].node(helper).usable(clock.Now()))
		is.True(boards[0].node(p.Target.ID).usable(clock.Now()))
	})
}

// The first event of a prompt comes when it is read, by an idle engine; beside answers with the end of the next pass; and
// where several engines beside answers read it, later by the rest of a pass.
func TestPrediction(t *testing.T) {
	is := is.New(t)
	pass := sheet.WriteTime(2, 0)
	near := func(got clock.Millis, want float64) {
		t.Helper()
		t.Log(got, want)
		is.True(float64(got) > want-8 && float64(got) < want+8)
	}
	boards := newBoards(t, 1, 1)
	near(place(t, boards[0], short).PredictedFirstEvent, sheet.ReadTime(short.PromptTokens))
	boards = newBoards(t, 1, 1)
	place(t, boards[0], short).RecordFirstEvent()
	near(place(t, boards[0], short).PredictedFirstEvent, sheet.ReadTime(short.PromptTokens)+2*pass)
	boards = newBoards(t, 1, 1)
	place(t, boards[0], short).RecordFirstEvent()
	time.Sleep(time.Duration(pass/2) * time.Millisecond)
	near(place(t, boards[0], short).PredictedFirstEvent, sheet.ReadTime(short.PromptTokens)+1.5*pass)
	boards = newBoards(t, 1, 3)
	for i := range 6 {
		placeOn(t, boards[0], short, fmt.Sprintf("engine-%d", i%3)).RecordFirstEvent()
	}
	p := place(t, boards[0], Requirements{Service: "models", PromptTokens: 100_000, Output: 600, FirstEventSLO: 1000, EventGapSLO: 1000})
	is.Equal(len(p.Helpers), 1)
	near(p.PredictedFirstEvent, sheet.PartTime(100_000, 2)+2*pass)
}
