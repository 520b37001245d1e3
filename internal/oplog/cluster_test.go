package oplog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/peer"
	"github.com/corianderpier/corianderpier/internal/store"
)

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
