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
	callerPause = 50 * clock.Millis(1)
	answerGrace = 250 * clock.Millis(1) // past the deadline, for the writer's verdict to arrive
	openLimit   = 2 * clock.Second      // for one writer to open a shard
)

// Client finds the writer of an operation's shard and gives the operation to it.
type Client struct {
	Self       string // instance and incarnation
	ShardCount func() int
	Rank       func(shard string) []member.Member
	Open       func(ctx context.Context, to member.Member, shard int, force bool) (uint64, error)
	Submit     func(ctx context.Context, to member.Member, a Attempt) (Reply, error)

	serial atomic.Uint64
}

// search is one operation's way to a verdict.
type search struct {
	op         Op
	shard      int
	failed     map[string]bool // instances that did not answer
	unresolved uint64          // highest term of an attempt without a verdict
}

// Do returns the verdict on an operation at its deadline at the latest: done, not run, unknown or conflict.
func (c *Client) Do(ctx context.Context, op Op) Reply {
	limit := op.Deadline - clock.Now() + answerGrace
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	s := &search{op: op, shard: ShardOf(op.Key, c.ShardCount()), failed: make(map[string]bool)}
	for clock.Now() < op.Deadline && ctx.Err() == nil {
		if reply, ok := c.try(ctx, s); ok {
			return reply
		}
		_ = clock.Sleep(ctx, callerPause)
	}
	return s.final(Reply{Verdict: VerdictNotRun, Term: 0, Reason: "log_unavailable"})
}

// try gives the operation to the first writer that answers and reports whether the verdict is final.
func (c *Client) try(ctx context.Context, s *search) (Reply, bool) {
	to, force, ok := c.pick(s)
	if !ok {
		return Reply{}, false
	}
	term, err := c.open(ctx, s, to, force)
	if err != nil {
		counter("open_failed").Inc()
		s.failed[to.Name] = !peer.Is(err, peer.Failed)
		return Reply{}, false
	}
	a := Attempt{ID: c.attempt(), Shard: s.shard, Term: term, Op: s.op}
	reply, err := c.Submit(ctx, to, a)
	if peer.Is(err, peer.NotSent) || peer.Is(err, peer.Failed) {
		s.failed[to.Name] = true
		return Reply{}, false
	}
	if err != nil {
		counter("submit_unanswered").Inc()
		s.failed[to.Name] = true
		s.unresolved = max(s.unresolved, term)
		return Reply{}, false
	}
	switch reply.Verdict {
	case VerdictWrongTerm:
		return Reply{}, false
	case VerdictMoved:
		counter("moved").Inc()
		s.unresolved = max(s.unresolved, term)
		return Reply{}, false
	default:
		return s.final(reply), true
	}
}

// final turns a verdict of not run into unknown where the writer could not speak for all attempts.
func (s *search) final(r Reply) Reply {
	speaks := r.Verdict != VerdictNotRun && r.Verdict != VerdictConflict
	if speaks || s.unresolved < max(r.Term, 1) {
		return r
	}
	return Reply{Verdict: VerdictUnknown, Term: r.Term, Reason: "outcome_lost"}
}

func (c *Client) open(ctx context.Context, s *search, to member.Member, force bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, openLimit.Duration())
	defer cancel()
	return c.Open(ctx, to, s.shard, force)
}

// pick returns the first instance of the rank that has not failed; all are tried again when all have.
func (c *Client) pick(s *search) (to member.Member, force, ok bool) {
	rank := c.Rank(objectName(s.shard))
	for i, m := range rank {
		if !s.failed[m.Name] {
			return m, i > 0, true
		}
	}
	clear(s.failed)
	return member.Member{}, false, false
}

func (c *Client) attempt() string {
	return c.Self + "/" + strconv.FormatInt(time.Now().UnixMicro(), 36) + "-" + strconv.FormatUint(c.serial.Add(1), 36)
}
