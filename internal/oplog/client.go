package oplog

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/peer"
)

const (
	retryInterval = 50 * clock.Millis(1)
	replyGrace    = 250 * clock.Millis(1) // after the deadline, for the writer's verdict to arrive
	openTimeout   = 2 * clock.Second      // for one instance to open a shard
)

// Client submits operations to the writers of their shards.
type Client struct {
	Self       string // instance and incarnation
	ShardCount func() int
	// Rank returns the instances in the order in which they should write the shard with the given home key.
	Rank func(homeKey string) []member.Member
	// Open has an instance open a shard and returns the shard's term. With force, it does so although it is not the home.
	Open func(ctx context.Context, to member.Member, shard int, force bool) (uint64, error)
	// Submit submits an attempt to an instance and returns its reply.
	Submit func(ctx context.Context, to member.Member, a Attempt) (Reply, error)

	serial atomic.Uint64 // of the last attempt, for its ID
}

// pendingOp is the state of an operation that has no verdict yet.
type pendingOp struct {
	op             Op
	shard          int
	failed         map[string]bool // by name, instances to pass over
	unresolvedTerm uint64          // highest term of an attempt without a verdict; zero if there is none
}

// Do submits an operation until it has a final verdict: done, not run, unknown or conflict. It returns replyGrace after
// the operation's deadline at the latest.
func (c *Client) Do(ctx context.Context, op Op) Reply {
	limit := op.Deadline - clock.Now() + replyGrace
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	p := &pendingOp{op: op, shard: ShardOf(op.Key, c.ShardCount()), failed: make(map[string]bool)}
	for clock.Now() < op.Deadline && ctx.Err() == nil {
		if reply, ok := c.tryOnce(ctx, p); ok {
			return reply
		}
		_ = clock.Sleep(ctx, retryInterval)
	}
	return p.finalReply(Reply{Verdict: VerdictNotRun, Term: 0, Reason: "log_unavailable"})
}

// tryOnce submits the operation to one instance and reports whether the verdict is final.
func (c *Client) tryOnce(ctx context.Context, p *pendingOp) (Reply, bool) {
	to, force, ok := c.pickWriter(p)
	if !ok {
		return Reply{}, false
	}
	term, err := c.open(ctx, p, to, force)
	if err != nil {
		eventCounter("open_failed").Inc()
		p.failed[to.Name] = !peer.Is(err, peer.Failed)
		return Reply{}, false
	}
	a := Attempt{ID: c.newAttemptID(), Shard: p.shard, Term: term, Op: p.op}
	reply, err := c.Submit(ctx, to, a)
	if peer.Is(err, peer.NotSent) || peer.Is(err, peer.Failed) {
		p.failed[to.Name] = true
		return Reply{}, false
	}
	if err != nil {
		eventCounter("submit_unanswered").Inc()
		p.failed[to.Name] = true
		p.unresolvedTerm = max(p.unresolvedTerm, term)
		return Reply{}, false
	}
	switch reply.Verdict {
	case VerdictWrongTerm:
		return Reply{}, false
	case VerdictMoved:
		eventCounter("moved").Inc()
		p.unresolvedTerm = max(p.unresolvedTerm, term)
		return Reply{}, false
	default:
		return p.finalReply(reply), true
	}
}

// finalReply returns the reply to give to the caller. A verdict of not run or conflict covers the attempt that it answers
// and those of earlier terms than the writer's. If an attempt of the same or a later term has no verdict, the operation
// may have run, and the verdict becomes unknown. Term 0 means that no writer answered; it covers no attempt.
func (p *pendingOp) finalReply(r Reply) Reply {
	definite := r.Verdict != VerdictNotRun && r.Verdict != VerdictConflict
	if definite || p.unresolvedTerm < max(r.Term, 1) {
		return r
	}
	return Reply{Verdict: VerdictUnknown, Term: r.Term, Reason: "outcome_lost"}
}

// open has an instance open the operation's shard and returns the shard's term.
func (c *Client) open(ctx context.Context, p *pendingOp, to member.Member, force bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout.Duration())
	defer cancel()
	return c.Open(ctx, to, p.shard, force)
}

// pickWriter returns the highest-ranked instance that has not failed. Force is set if that is not the first of the rank,
// so that the instance opens the shard although it is not its home. If all have failed, it returns false, and the next
// call starts over with all of them.
func (c *Client) pickWriter(p *pendingOp) (to member.Member, force, ok bool) {
	rank := c.Rank(objectName(p.shard))
	for i, m := range rank {
		if !p.failed[m.Name] {
			return m, i > 0, true
		}
	}
	clear(p.failed)
	return member.Member{}, false, false
}

// newAttemptID returns an ID that no other attempt of any instance has.
func (c *Client) newAttemptID() string {
	return c.Self + "/" + strconv.FormatInt(time.Now().UnixMicro(), 36) + "-" + strconv.FormatUint(c.serial.Add(1), 36)
}
