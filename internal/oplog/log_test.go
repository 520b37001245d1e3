package oplog

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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

// submitTwice submits an operation and, while it waits, the same one again with another deadline. It returns both replies.
func submitTwice(c *cluster, first, second clock.Millis) (Reply, Reply) {
	ctx := context.Background()
	shard := ShardOf(Key("importer", "k"), 2)
	term, err := c.logs[0].Open(ctx, shard)
	if err != nil {
		return Reply{}, Reply{}
	}
	replies := make(chan Reply, 1)
	go func() {
		reply, _ := c.logs[0].Submit(ctx, Attempt{ID: "a1", Shard: shard, Term: term, Op: newOp("k", "r1", first)})
		replies <- reply
	}()
	time.Sleep(50 * time.Millisecond)
	joined, _ := c.logs[0].Submit(ctx, Attempt{ID: "a2", Shard: shard, Term: term, Op: newOp("k", "r2", second)})
	return <-replies, joined
}

// Guards against: an attempt that joined an operation, and has an earlier deadline, ends the wait of all others.
func TestEarlierDeadlineOfJoined(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 0, 0)
	c.runs.behavior = func(Op) (time.Duration, State) { return 600 * time.Millisecond, Done }
	first, joined := submitTwice(c, 3*clock.Second, 100)
	is.Equal(joined.Verdict, VerdictUnknown) // it runs
	is.Equal(first.Verdict, VerdictDone)
	is.Equal(c.runs.byRequest["r1"], 1)
}

// Guards against: an operation that is not dispatched yet is cancelled at the deadline of an attempt that joined it.
func TestEarlierDeadlineBeforeDispatch(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 0, 0)
	is.Equal(c.clients[0].Do(context.Background(), newOp("before", "r0", clock.Second)).Verdict, VerdictDone)
	c.store.setDown(true)
	time.AfterFunc(500*time.Millisecond, func() { c.store.setDown(false) })
	first, joined := submitTwice(c, 3*clock.Second, 100)
	is.Equal(joined.Verdict, VerdictUnknown) // it may run later
	is.Equal(first.Verdict, VerdictDone)
}
