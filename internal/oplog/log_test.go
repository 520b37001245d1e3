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

// memory is an object API whose writes may be late and whose answers may be lost.
type memory struct {
	mu      sync.Mutex
	version uint64
	objects map[string]store.Object
	puts    int
	random  *rand.Rand
	faults  float64 // share of the writes that go wrong
	down    bool
	pending sync.WaitGroup
}

func newMemory(seed uint64, faults float64) *memory {
	return &memory{objects: make(map[string]store.Object), random: rand.New(rand.NewPCG(seed, 1)), faults: faults}
}

func (m *memory) get(_ context.Context, name string) (store.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.Object{}, &store.Error{Op: "get", Kind: store.Unavailable}
	}
	o, ok := m.objects[name]
	if !ok {
		return store.Object{}, &store.Error{Op: "get", Kind: store.NotFound}
	}
	return o, nil
}

func (m *memory) put(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.puts++
	unsettled := &store.Error{Op: "put", Kind: store.OutcomeUnknown}
	if m.down {
		return 0, unsettled
	}
	dice := m.random.Float64()
	switch {
	case dice < m.faults/3: // not carried out
		return 0, unsettled
	case dice < 2*m.faults/3: // carried out late
		m.pending.Add(1)
		delay := time.Duration(m.random.IntN(40)) * time.Millisecond
		time.AfterFunc(delay, func() {
			defer m.pending.Done()
			m.mu.Lock()
			defer m.mu.Unlock()
			_, _ = m.apply(name, version, value)
		})
		return 0, unsettled
	}
	next, err := m.apply(name, version, value)
	if dice < m.faults { // carried out, answer lost
		return 0, unsettled
	}
	return next, err
}

func (m *memory) apply(name string, version uint64, value []byte) (uint64, error) {
	if m.objects[name].Version != version {
		return 0, &store.Error{Op: "put", Kind: store.Conflict}
	}
	m.version++
	m.objects[name] = store.Object{Name: name, Version: m.version, Value: value}
	return m.version, nil
}

func (m *memory) delete(context.Context, string, uint64) error { return nil }

func (m *memory) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// cluster is several logs over one memory, with connections that may fail.
type cluster struct {
	memory  *memory
	members []member.Member
	logs    []*Log
	callers []*Client
	runs    *runs

	mu     sync.Mutex
	random *rand.Rand
	cut    map[string]bool // instances that do not answer
	faults float64         // share of the calls that lose their answer
}

// runs counts what the target did.
type runs struct {
	mu       sync.Mutex
	requests map[string]int   // by operation key
	attempts map[string]int   // by request
	began    map[string]int64 // when a request ran last, in nanoseconds
	fate     func(op Op) (time.Duration, State)
}

func (r *runs) dispatch(ctx context.Context, _ string, op Op) Result {
	wait, state := time.Duration(0), Done
	if r.fate != nil {
		wait, state = r.fate(op)
	}
	if state == NotRun {
		return Result{State: NotRun, Reason: "target_failed"}
	}
	r.mu.Lock()
	r.requests[op.Key]++
	r.attempts[op.Request]++
	r.began[op.Request] = time.Now().UnixNano()
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return Result{State: Unknown}
	case <-time.After(wait):
	}
	return Result{State: state, Outcome: Outcome{Status: 200, Body: "ran " + op.Key}}
}

func newCluster(t *testing.T, n int, seed uint64, storeFaults, callFaults float64) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		memory: newMemory(seed, storeFaults), random: rand.New(rand.NewPCG(seed, 2)), cut: make(map[string]bool), faults: callFaults,
		runs: &runs{requests: make(map[string]int), attempts: make(map[string]int), began: make(map[string]int64)},
	}
	settings := config.Operations{ShardCount: 2, WritesPerSecond: 1000, Retention: clock.Hour}
	for i := range n {
		m := member.Member{Name: fmt.Sprintf("entry-%d", i), FirstIncarnation: 1}
		c.members = append(c.members, m)
		l := &Log{
			Self: m.Owner(), Settings: func() config.Operations { return settings },
			Get: c.memory.get, Put: c.memory.put, Delete: c.memory.delete, Dispatch: c.runs.dispatch,
			WriterAlive: func(writer string) bool { return c.alive(writer) },
			Forward:     func(ctx context.Context, s Settlement) error { return c.forward(ctx, s) },
		}
		l.Start(ctx)
		c.logs = append(c.logs, l)
		c.callers = append(c.callers, &Client{
			Self: m.Owner(), ShardCount: func() int { return settings.ShardCount },
			Rank: func(key string) []member.Member { return c.rank(key) },
			Open: c.open, Submit: c.submit,
		})
	}
	t.Cleanup(func() {
		cancel()
		c.memory.pending.Wait()
	})
	return c
}

func (c *cluster) isCut(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[name]
}

func (c *cluster) setCut(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = cut
}

func (c *cluster) unlucky() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.faults
}

func (c *cluster) rank(key string) []member.Member {
	var live []member.Member
	for _, m := range c.members {
		if !c.isCut(m.Name) {
			live = append(live, m)
		}
	}
	return member.Rank(live, key)
}

func (c *cluster) alive(writer string) bool {
	for _, m := range c.members {
		if m.Owner() == writer {
			return !c.isCut(m.Name)
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
	if c.isCut(to.Name) || c.unlucky() {
		return 0, &peer.Error{Op: "open", Kind: peer.NoAnswer, Err: context.DeadlineExceeded}
	}
	return c.logOf(to).Open(ctx, shard)
}

func (c *cluster) submit(ctx context.Context, to member.Member, a Attempt) (Reply, error) {
	lost := c.unlucky()
	reply, err := c.logOf(to).Submit(ctx, a)
	if lost || c.isCut(to.Name) {
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

func operation(key, request string, limit clock.Millis) Op {
	return Op{Key: Key("importer", key), Digest: Digest("hold", key), Request: request, Service: "desk", IdempotencyKey: key, Body: key, Deadline: clock.Now() + limit}
}

// A repeated key gets the outcome of the first request and does not run again.
func TestRepeatedKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, 0, 0)
	ctx := context.Background()
	first := c.callers[0].Do(ctx, operation("k", "r1", 2*clock.Second))
	second := c.callers[1].Do(ctx, operation("k", "r2", 2*clock.Second))
	is.Equal(first.Verdict, VerdictDone)
	is.Equal(second.Verdict, VerdictDone)
	is.Equal(first.Outcome, second.Outcome)
	is.True(second.Joined)
	is.Equal(c.runs.requests[Key("importer", "k")], 1)
}

// The same key with another body is a conflict.
func TestKeyConflict(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 0, 0)
	ctx := context.Background()
	op := operation("k", "r1", clock.Second)
	is.Equal(c.callers[0].Do(ctx, op).Verdict, VerdictDone)
	op.Digest = Digest("hold", "another body")
	is.Equal(c.callers[0].Do(ctx, op).Verdict, VerdictConflict)
}

// Without the object API nothing is dispatched, and at the deadline the caller is told so.
func TestStoreDownMeansNotRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 0, 0)
	ctx := context.Background()
	is.Equal(c.callers[0].Do(ctx, operation("before", "r0", clock.Second)).Verdict, VerdictDone)
	c.memory.setDown(true)
	start := clock.Now()
	reply := c.callers[0].Do(ctx, operation("k", "r1", 300))
	is.Equal(reply.Verdict, VerdictNotRun)
	is.True(clock.Now()-start < 800) // the deadline plus 500 ms
	is.Equal(c.runs.attempts["r1"], 0)
	c.memory.setDown(false)
	time.Sleep(300 * time.Millisecond)
	is.Equal(c.runs.attempts["r1"], 0)
}

// A former writer that wakes up after a takeover dispatches nothing of its own term.
func TestFormerWriterDispatchesNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, 0, 0)
	ctx := context.Background()
	key := Key("importer", "k")
	shard := ShardOf(key, 2)
	old, err := c.logs[0].Open(ctx, shard)
	is.NoErr(err)
	_, err = c.logs[1].Open(ctx, shard)
	is.NoErr(err)
	reply, err := c.logs[0].Submit(ctx, Attempt{ID: "a1", Shard: shard, Term: old, Op: operation("k", "r1", 2*clock.Second)})
	is.NoErr(err)
	is.Equal(reply.Verdict, VerdictMoved)
	is.Equal(c.runs.requests[key], 0)
}

// What a lost writer had dispatched is unknown to the next one, until the lost one's settlement arrives.
func TestSettlementAfterTakeover(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, 0, 0)
	c.runs.fate = func(Op) (time.Duration, State) { return 300 * time.Millisecond, Done }
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
		reply, _ := c.logOf(other).Submit(ctx, Attempt{ID: "a1", Shard: shard, Term: term, Op: operation("k", "r1", 2*clock.Second)})
		done <- reply
	}()
	time.Sleep(100 * time.Millisecond)
	second := c.callers[0].Do(ctx, operation("k", "r2", 2*clock.Second))
	is.Equal(second.Verdict, VerdictDone)
	is.Equal((<-done).Verdict, VerdictDone)
	is.Equal(c.runs.requests[key], 1)
}

// Finished records move to segments, and a repeated key is found there after a takeover.
func TestSegments(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 1, 0, 0)
	ctx := context.Background()
	var group sync.WaitGroup
	for i := range 3000 {
		group.Go(func() { c.callers[0].Do(ctx, operation(fmt.Sprint("k", i), "r", 20*clock.Second)) })
	}
	group.Wait()
	for _, shard := range []int{0, 1} {
		o, err := c.memory.get(ctx, objectName(shard))
		is.NoErr(err)
		is.True(len(o.Value) < store.MaxValueBytes)
		p, err := decodePage(o.Value)
		is.NoErr(err)
		is.True(len(p.Segments) > 0)
	}
	c.setCut(c.rank(HomeKey(0))[0].Name, true)
	for i := range 50 {
		reply := c.callers[1].Do(ctx, operation(fmt.Sprint("k", i), "again", 5*clock.Second))
		is.Equal(reply.Verdict, VerdictDone)
		is.True(reply.Joined)
	}
	is.Equal(c.runs.attempts["again"], 0)
}

// event is one request of the history given to the linearizability checker.
type event struct {
	key     string
	verdict Verdict
	joined  bool
	reason  string
}

// What may be true of an operation, as a set.
const (
	hasNotRun uint8 = 1 << iota
	hasRun
)

// onlyOfRequest reports whether a verdict of not run speaks of its request only: the caller reached no writer that could
// look the operation up, which another request may have run.
func (e event) onlyOfRequest() bool { return e.reason == "log_unavailable" || e.reason == "deadline" }

// model: an operation is run by at most one request; all later ones see its outcome or that it is unknown.
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
	Init: func() any { return hasNotRun },
	Step: func(state, _, output any) (bool, any) {
		may := state.(uint8)
		e := output.(event)
		switch {
		case e.verdict == VerdictNotRun && e.onlyOfRequest():
			return true, may
		case e.verdict == VerdictNotRun:
			return may&hasNotRun != 0, hasNotRun
		case e.verdict == VerdictDone && e.joined:
			return true, hasRun // the request that ran it may have had no answer
		case e.verdict == VerdictDone:
			return may&hasNotRun != 0, hasRun
		case may&hasNotRun != 0:
			return true, hasNotRun | hasRun
		default:
			return true, hasRun
		}
	},
}

// Random faults in the object API, the connections, the target and the membership, by seed.
func TestRandomFaults(t *testing.T) {
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			randomFaults(t, seed, 1500, func(i int) int { return i / perKey })
		})
	}
}

// Requests for an operation come one after another, and many deadlines are too short for a verdict.
func TestRandomFaultsInTurn(t *testing.T) {
	for seed, limit := range map[uint64]clock.Millis{1: 30, 2: 60, 3: 150} {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			randomFaults(t, seed, limit, func(i int) int { return i % keys })
		})
	}
}

// The operations of a random run, and the requests for each.
const keys, perKey = 500, 4

// randomFaults plays requests with a deadline after some time against random faults; keyOf numbers their operations.
func randomFaults(t *testing.T, seed uint64, limit clock.Millis, keyOf func(i int) int) {
	c := newCluster(t, 3, seed, 0.2, 0.05)
	fates := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	c.runs.fate = func(Op) (time.Duration, State) {
		mu.Lock()
		defer mu.Unlock()
		wait := time.Duration(fates.IntN(30)) * time.Millisecond
		switch dice := fates.Float64(); {
		case dice < 0.05:
			return wait, NotRun
		case dice < 0.1:
			return wait, Unknown
		default:
			return wait, Done
		}
	}
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Go(func() {
		order := rand.New(rand.NewPCG(seed, 4))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(20+order.IntN(80)) * time.Millisecond):
			}
			name := c.members[order.IntN(2)].Name // the third stays
			c.setCut(name, !c.isCut(name))
		}
	})
	var history []porcupine.Operation
	told := make(map[string]answered)
	var group sync.WaitGroup
	slots := make(chan struct{}, 200)
	for i := range keys * perKey {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			key, request := fmt.Sprint("k", keyOf(i)), fmt.Sprint("r", i)
			call := time.Now().UnixNano()
			reply := c.callers[i%3].Do(context.Background(), operation(key, request, limit))
			returned := time.Now().UnixNano()
			mu.Lock()
			defer mu.Unlock()
			told[request] = answered{reply.Verdict, returned}
			e := event{key: key, verdict: reply.Verdict, joined: reply.Joined, reason: reply.Reason}
			history = append(history, porcupine.Operation{ClientId: i, Input: e, Output: e, Call: call, Return: returned})
		})
	}
	group.Wait()
	close(stop)
	chaos.Wait()
	time.Sleep(200 * time.Millisecond)
	check(t, c, told)
	for _, part := range model.Partition(history) {
		if !porcupine.CheckOperations(model, part) {
			t.Errorf("the history is not linearizable:%s", describe(part))
		}
	}
}

// describe lists the requests of one key in the order of their ends.
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

// answered is a verdict and when it came, in nanoseconds.
type answered struct {
	verdict Verdict
	at      int64
}

func check(t *testing.T, c *cluster, told map[string]answered) {
	t.Helper()
	c.runs.mu.Lock()
	defer c.runs.mu.Unlock()
	counts := make(map[Verdict]int)
	for request, a := range told {
		counts[a.verdict]++
		if a.verdict == VerdictNotRun && c.runs.attempts[request] > 0 {
			t.Errorf("%s was told not run, and ran", request)
		}
		if began := c.runs.began[request]; began > a.at {
			t.Errorf("%s was told %v, and ran later", request, a.verdict)
		}
	}
	for key, n := range c.runs.requests {
		if n > 1 {
			t.Errorf("operation %s ran %d times", key, n)
		}
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	t.Logf("verdicts: %v, updates: %d", counts, c.memory.puts)
}
