package oplog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// event is one request in the history for the linearizability checker.
type event struct {
	key     string
	verdict Verdict
	joined  bool
	reason  string
}

// The model's state is the set of what may be true of an operation.
const (
	mayNotHaveRun uint8 = 1 << iota
	mayHaveRun
)

// coversOnlyRequest reports whether a verdict of not run covers only its own request. No writer has looked up the
// operation then, and another request may have run it.
func (e event) coversOnlyRequest() bool {
	return e.reason == "log_unavailable" || e.reason == "deadline"
}

// model states that at most one request runs an operation, and that all later requests get its outcome or the verdict
// unknown.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(event).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return mayNotHaveRun },
	Step: func(state, _, output any) (bool, any) {
		possible := state.(uint8)
		e := output.(event)
		switch {
		case e.verdict == VerdictNotRun && e.coversOnlyRequest():
			return true, possible
		case e.verdict == VerdictNotRun:
			return possible&mayNotHaveRun != 0, mayNotHaveRun
		case e.verdict == VerdictDone && e.joined:
			return true, mayHaveRun // the request that ran it may have got no answer
		case e.verdict == VerdictDone:
			return possible&mayNotHaveRun != 0, mayHaveRun
		case possible&mayNotHaveRun != 0:
			return true, mayNotHaveRun | mayHaveRun
		default:
			return true, mayHaveRun
		}
	},
}

// At most one request runs an operation, and every verdict is true, under random faults in the object API, the
// connections, the target and the membership. The requests for an operation are concurrent.
func TestRandomFaults(t *testing.T) {
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			runRandomFaults(t, seed, 1500, func(i int) int { return i / requestsPerKey })
		})
	}
}

// As TestRandomFaults, but the requests for an operation come one after another, and many deadlines are too short for a
// verdict.
func TestRandomFaultsInTurn(t *testing.T) {
	for seed, timeout := range map[uint64]clock.Millis{1: 30, 2: 60, 3: 150} {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			runRandomFaults(t, seed, timeout, func(i int) int { return i % keyCount })
		})
	}
}

// The number of operations in a run of runRandomFaults, and of the requests for each.
const keyCount, requestsPerKey = 500, 4

// runRandomFaults sends requests with the given timeout to a cluster with random faults and checks the verdicts. The
// function keyOf returns the number of a request's operation.
func runRandomFaults(t *testing.T, seed uint64, timeout clock.Millis, keyOf func(i int) int) {
	c := newCluster(t, 3, seed, 0.2, 0.05)
	outcomeRandom := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	c.runs.behavior = func(Op) (time.Duration, State) {
		mu.Lock()
		defer mu.Unlock()
		wait := time.Duration(outcomeRandom.IntN(30)) * time.Millisecond
		switch roll := outcomeRandom.Float64(); {
		case roll < 0.05:
			return wait, NotRun
		case roll < 0.1:
			return wait, Unknown
		default:
			return wait, Done
		}
	}
	stop := make(chan struct{})
	var membershipFaults sync.WaitGroup
	membershipFaults.Go(func() {
		membershipRandom := rand.New(rand.NewPCG(seed, 4))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(20+membershipRandom.IntN(80)) * time.Millisecond):
			}
			name := c.members[membershipRandom.IntN(2)].Name // the third instance is always reachable
			c.setUnreachable(name, !c.isUnreachable(name))
		}
	})
	var history []porcupine.Operation
	replies := make(map[string]timedVerdict)
	var group sync.WaitGroup
	slots := make(chan struct{}, 200)
	for i := range keyCount * requestsPerKey {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			key, request := fmt.Sprint("k", keyOf(i)), fmt.Sprint("r", i)
			call := time.Now().UnixNano()
			reply := c.clients[i%3].Do(context.Background(), newOp(key, request, timeout))
			returned := time.Now().UnixNano()
			mu.Lock()
			defer mu.Unlock()
			replies[request] = timedVerdict{reply.Verdict, returned}
			e := event{key: key, verdict: reply.Verdict, joined: reply.Joined, reason: reply.Reason}
			history = append(history, porcupine.Operation{ClientId: i, Input: e, Output: e, Call: call, Return: returned})
		})
	}
	group.Wait()
	close(stop)
	membershipFaults.Wait()
	time.Sleep(200 * time.Millisecond)
	checkRuns(t, c, replies)
	for _, part := range model.Partition(history) {
		if !porcupine.CheckOperations(model, part) {
			t.Errorf("history is not linearizable:%s", describe(part))
		}
	}
}

// describe lists the requests for one key in the order in which they returned.
func describe(part []porcupine.Operation) string {
	slices.SortFunc(part, func(a, b porcupine.Operation) int { return int(a.Return - b.Return) })
	text := ""
	for _, op := range part {
		e := op.Output.(event)
		from, to := (op.Call-part[0].Call)/int64(time.Millisecond), (op.Return-part[0].Call)/int64(time.Millisecond)
		text += fmt.Sprintf("\n  %s r%d from %d to %d ms: %s joined=%v %s", e.key, op.ClientId, from, to, e.verdict, e.joined, e.reason)
	}
	return text
}

// timedVerdict is a verdict and the time when it was returned.
type timedVerdict struct {
	verdict Verdict
	at      int64 // in nanoseconds
}

// checkRuns checks that no operation ran twice, that no request with the verdict not run ran, and that none ran after its
// verdict.
func checkRuns(t *testing.T, c *cluster, replies map[string]timedVerdict) {
	t.Helper()
	c.runs.mu.Lock()
	defer c.runs.mu.Unlock()
	counts := make(map[Verdict]int)
	for request, reply := range replies {
		counts[reply.verdict]++
		if reply.verdict == VerdictNotRun && c.runs.byRequest[request] > 0 {
			t.Errorf("request %s got the verdict not run, but ran", request)
		}
		if began := c.runs.lastStart[request]; began > reply.at {
			t.Errorf("request %s ran after it got the verdict %v", request, reply.verdict)
		}
	}
	for key, n := range c.runs.byKey {
		if n > 1 {
			t.Errorf("operation %s ran %d times", key, n)
		}
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	t.Logf("verdicts: %v, updates: %d", counts, c.store.putCount)
}
