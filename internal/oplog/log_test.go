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
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/peer"
	"github.com/corianderpier/corianderpier/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// faultyStore is a fake of the object API whose writes may fail, take effect late or lose their answer.
type faultyStore struct {
	mu        sync.Mutex
	version   uint64 // of the last write to any object
	objects   map[string]store.Object
	putCount  int
	random    *rand.Rand
	faultRate float64 // probability of a fault in a write
	down      bool
	pending   sync.WaitGroup // writes that take effect late
}

func newFaultyStore(seed uint64, faults float64) *faultyStore {
	return &faultyStore{objects: make(map[string]store.Object), random: rand.New(rand.NewPCG(seed, 1)), faultRate: faults}
}

func (f *faultyStore) get(_ context.Context, name string) (store.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.Object{}, &store.Error{Op: "get", Kind: store.Unavailable}
	}
	o, ok := f.objects[name]
	if !ok {
		return store.Object{}, &store.Error{Op: "get", Kind: store.NotFound}
	}
	return o, nil
}

func (f *faultyStore) put(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putCount++
	unknown := &store.Error{Op: "put", Kind: store.OutcomeUnknown}
	if f.down {
		return 0, unknown
	}
	roll := f.random.Float64()
	switch {
	case roll < f.faultRate/3: // the write has no effect
		return 0, unknown
	case roll < 2*f.faultRate/3: // the write takes effect late
		f.pending.Add(1)
		delay := time.Duration(f.random.IntN(40)) * time.Millisecond
		time.AfterFunc(delay, func() {
			defer f.pending.Done()
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.apply(name, version, value)
		})
		return 0, unknown
	}
	next, err := f.apply(name, version, value)
	if roll < f.faultRate { // the write takes effect, and its answer is lost
		return 0, unknown
	}
	return next, err
}

func (f *faultyStore) apply(name string, version uint64, value []byte) (uint64, error) {
	if f.objects[name].Version != version {
		return 0, &store.Error{Op: "put", Kind: store.Conflict}
	}
	f.version++
	f.objects[name] = store.Object{Name: name, Version: f.version, Value: value}
	return f.version, nil
}

func (f *faultyStore) delete(context.Context, string, uint64) error { return nil }

func (f *faultyStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// cluster is a set of logs that share a store, with connections that may fail.
type cluster struct {
	store   *faultyStore
	members []member.Member
	logs    []*Log
	clients []*Client
	runs    *targetRuns

	mu          sync.Mutex
	random      *rand.Rand
	unreachable map[string]bool // by name, instances that do not answer
	lossRate    float64         // probability that a call loses its answer
}

// targetRuns is a fake target that counts its runs.
type targetRuns struct {
	mu        sync.Mutex
	byKey     map[string]int                     // runs by operation key
	byRequest map[string]int                     // runs by request ID
	lastStart map[string]int64                   // start of the last run by request ID, in nanoseconds
	behavior  func(op Op) (time.Duration, State) // duration and result of a run; runs succeed at once if nil
}

func (r *targetRuns) dispatch(ctx context.Context, _ string, op Op) Result {
	wait, state := time.Duration(0), Done
	if r.behavior != nil {
		wait, state = r.behavior(op)
	}
	if state == NotRun {
		return Result{State: NotRun, Reason: "target_failed"}
	}
	r.mu.Lock()
	r.byKey[op.Key]++
	r.byRequest[op.Request]++
	r.lastStart[op.Request] = time.Now().UnixNano()
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return Result{State: Unknown}
	case <-time.After(wait):
	}
	return Result{State: state, Outcome: Outcome{Status: 200, Body: "ran " + op.Key}}
}

// newCluster starts a cluster of n instances with two shards.
func newCluster(t *testing.T, n int, seed uint64, storeFaults, callFaults float64) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		store: newFaultyStore(seed, storeFaults), random: rand.New(rand.NewPCG(seed, 2)), unreachable: make(map[string]bool), lossRate: callFaults,
		runs: &targetRuns{byKey: make(map[string]int), byRequest: make(map[string]int), lastStart: make(map[string]int64)},
	}
	settings := config.Operations{ShardCount: 2, WritesPerSecond: 1000, Retention: clock.Hour}
	for i := range n {
		m := member.Member{Name: fmt.Sprintf("entry-%d", i), FirstIncarnation: 1}
		c.members = append(c.members, m)
		l := &Log{
			Self: m.Owner(), Settings: func() config.Operations { return settings },
			Get: c.store.get, Put: c.store.put, Delete: c.store.delete, Dispatch: c.runs.dispatch,
			WriterAlive: func(writer string) bool { return c.alive(writer) },
			Forward:     func(ctx context.Context, s Settlement) error { return c.forward(ctx, s) },
		}
		l.Init(ctx)
		c.logs = append(c.logs, l)
		c.clients = append(c.clients, &Client{
			Self: m.Owner(), ShardCount: func() int { return settings.ShardCount },
			Rank: func(key string) []member.Member { return c.rank(key) },
			Open: c.open, Submit: c.submit,
		})
	}
	t.Cleanup(func() {
		cancel()
		c.store.pending.Wait()
	})
	return c
}

func (c *cluster) isUnreachable(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable[name]
}

func (c *cluster) setUnreachable(name string, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[name] = unreachable
}

// losesAnswer decides at random whether a call loses its answer.
func (c *cluster) losesAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.lossRate
}

func (c *cluster) rank(key string) []member.Member {
	var live []member.Member
	for _, m := range c.members {
		if !c.isUnreachable(m.Name) {
			live = append(live, m)
		}
	}
	return member.Rank(live, key)
}

// alive reports whether a writer is reachable. It is the logs' WriterAlive.
func (c *cluster) alive(writer string) bool {
	for _, m := range c.members {
		if m.Owner() == writer {
			return !c.isUnreachable(m.Name)
		}
	}
	return false
}

func (c *cluster) logOf(m member.Member) *Log {
	for i := range c.members {
		if c.members[i].Name == m.Name {
			return c.logs[i]
		}
	}
	return nil
}

func (c *cluster) open(ctx context.Context, to member.Member, shard int, _ bool) (uint64, error) {
	if c.isUnreachable(to.Name) || c.losesAnswer() {
		return 0, &peer.Error{Op: "open", Kind: peer.NoAnswer, Err: context.DeadlineExceeded}
	}
	return c.logOf(to).Open(ctx, shard)
}

func (c *cluster) submit(ctx context.Context, to member.Member, a Attempt) (Reply, error) {
	lost := c.losesAnswer()
	reply, err := c.logOf(to).Submit(ctx, a)
	if lost || c.isUnreachable(to.Name) {
		return Reply{}, &peer.Error{Op: "submit", Kind: peer.NoAnswer, Err: context.DeadlineExceeded}
	}
	return reply, err
}

func (c *cluster) forward(ctx context.Context, s Settlement) error {
	to := c.rank(HomeKey(s.Shard))[0]
	if _, err := c.logOf(to).Open(ctx, s.Shard); err != nil {
		return err
	}
	if !c.logOf(to).Settle(s) {
		return &Error{Op: "settle", Kind: NotOwner}
	}
	return nil
}

// newOp returns an operation for a key. All requests with the same key have the same content.
func newOp(key, request string, timeout clock.Millis) Op {
	return Op{Key: Key("importer", key), Digest: Digest("hold", key), Request: request, Service: "desk", IdempotencyKey: key, Body: key, Deadline: clock.Now() + timeout}
}

// A repeated key gets the outcome of the first request and does not run again.
func TestRepeatedKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, 0, 0)
	ctx := context.Background()
	first := c.clients[0].Do(ctx, newOp("k", "r1", 2*clock.Second))
	second := c.clients[1].Do(ctx, newOp("k", "r2", 2*clock.Second))
	is.Equal(first.Verdict, VerdictDone)
	is.Equal(second.Verdict, VerdictDone)
	is.Equal(first.Outcome, second.Outcome)
	is.True(second.Joined)
	is.Equal(c.runs.byKey[Key("importer", "k")], 1)
}

// The same key with another body is a conflict.
func TestKeyConflict(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 0, 0)
	ctx := context.Background()
	op := newOp("k", "r1", clock.Second)
	is.Equal(c.clients[0].Do(ctx, op).Verdict, VerdictDone)
	op.Digest = Digest("hold", "another body")
	is.Equal(c.clients[0].Do(ctx, op).Verdict, VerdictConflict)
}

// While the object API is down, nothing is dispatched, and the caller gets the verdict not run at the deadline. The
// operation does not run after the object API has recovered either.
func TestStoreDownMeansNotRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 0, 0)
	ctx := context.Background()
	is.Equal(c.clients[0].Do(ctx, newOp("before", "r0", clock.Second)).Verdict, VerdictDone)
	c.store.setDown(true)
	start := clock.Now()
	reply := c.clients[0].Do(ctx, newOp("k", "r1", 300))
	is.Equal(reply.Verdict, VerdictNotRun)
	is.True(clock.Now()-start < 800) // the deadline of 300 ms plus 500 ms
	is.Equal(c.runs.byRequest["r1"], 0)
	c.store.setDown(false)
	time.Sleep(300 * time.Millisecond)
	is.Equal(c.runs.byRequest["r1"], 0)
}

// A writer that does not know yet that another instance has taken over its shard accepts an attempt, but does not
// dispatch it, because the update that records it fails.
func TestFormerWriterDispatchesNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, 0, 0)
	ctx := context.Background()
	key := Key("importer", "k")
	shard := ShardOf(key, 2)
	oldTerm, err := c.logs[0].Open(ctx, shard)
	is.NoErr(err)
	_, err = c.logs[1].Open(ctx, shard)
	is.NoErr(err)
	reply, err := c.logs[0].Submit(ctx, Attempt{ID: "a1", Shard: shard, Term: oldTerm, Op: newOp("k", "r1", 2*clock.Second)})
	is.NoErr(err)
	is.Equal(reply.Verdict, VerdictMoved)
	is.Equal(c.runs.byKey[key], 0)
}

// A new writer does not run an operation again that the former writer has dispatched. It replies with the outcome when
// the former writer's settlement arrives.
func TestSettlementAfterTakeover(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, 0, 0)
	c.runs.behavior = func(Op) (time.Duration, State) { return 300 * time.Millisecond, Done }
	ctx := context.Background()
	key := Key("importer", "k")
	shard := ShardOf(key, 2)
	home := c.rank(HomeKey(shard))[0]
	other := c.members[0]
	if other.Name == home.Name {
		other = c.members[1]
	}
	term, err := c.logOf(other).Open(ctx, shard)
	is.NoErr(err)
	done := make(chan Reply, 1)
	go func() {
		reply, _ := c.logOf(other).Submit(ctx, Attempt{ID: "a1", Shard: shard, Term: term, Op: newOp("k", "r1", 2*clock.Second)})
		done <- reply
	}()
	time.Sleep(100 * time.Millisecond)
	second := c.clients[0].Do(ctx, newOp("k", "r2", 2*clock.Second))
	is.Equal(second.Verdict, VerdictDone)
	is.Equal((<-done).Verdict, VerdictDone)
	is.Equal(c.runs.byKey[key], 1)
}

// Finished records move to segments, and a repeated key is found there after a takeover.
func TestSegments(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, 0, 0)
	ctx := context.Background()
	var group sync.WaitGroup
	for i := range 3000 {
		group.Go(func() { c.clients[0].Do(ctx, newOp(fmt.Sprint("k", i), "r", 20*clock.Second)) })
	}
	group.Wait()
	for _, shard := range []int{0, 1} {
		o, err := c.store.get(ctx, objectName(shard))
		is.NoErr(err)
		is.True(len(o.Value) < store.MaxValueBytes)
		stored, err := decodeShard(o.Value)
		is.NoErr(err)
		is.True(len(stored.Segments) > 0)
	}
	c.setUnreachable(c.rank(HomeKey(0))[0].Name, true)
	for i := range 50 {
		reply := c.clients[1].Do(ctx, newOp(fmt.Sprint("k", i), "again", 5*clock.Second))
		is.Equal(reply.Verdict, VerdictDone)
		is.True(reply.Joined)
	}
	is.Equal(c.runs.byRequest["again"], 0)
}

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
