package flow

import (
	"context"
	"log/slog"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/oplog"
	"github.com/corianderpier/corianderpier/internal/route"
	"github.com/corianderpier/corianderpier/internal/target"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// Calls executes calls to plain services.
type Calls struct {
	Table        *route.Table
	TargetClient *target.Client
	OpLog        *oplog.Client // for calls that must not run twice
}

// Run executes a call. Unless its profile is idempotent, it goes through the operation log, so that it runs at most once.
func (c *Calls) Run(ctx context.Context, job Job) (wire.Result, error) {
	if job.Profile.Idempotent {
		return c.runIdempotent(ctx, job)
	}
	reply := c.OpLog.Do(ctx, oplog.Op{
		Key: oplog.Key(job.Customer.Name, job.IdempotencyKey), Digest: oplog.Digest(job.Profile.Name, job.Body),
		Request: job.ID, Profile: job.Profile.Name, Service: job.Profile.Service,
		IdempotencyKey: job.IdempotencyKey, Body: job.Body, Deadline: job.Deadline,
	})
	switch reply.Verdict {
	case oplog.VerdictDone:
		return c.toResult(job, reply)
	case oplog.VerdictConflict:
		return wire.Result{}, &Error{Op: "call", Kind: wire.ReasonKeyConflict, Ran: wire.RanNo}
	case oplog.VerdictNotRun:
		return wire.Result{}, &Error{Op: "call", Kind: wire.Reason(reply.Reason), Ran: wire.RanNo}
	default:
		return wire.Result{}, &Error{Op: "call", Kind: wire.ReasonOutcomeLost, Ran: wire.RanUnknown}
	}
}

// toResult turns the outcome of a finished operation into the answer for the caller.
func (c *Calls) toResult(job Job, reply oplog.Reply) (wire.Result, error) {
	if reply.Outcome.Status == 0 {
		// The call ran, but its answer was too large to be stored in the operation log.
		return wire.Result{}, &Error{Op: "call", Kind: wire.ReasonOutcomeLost, Ran: wire.RanYes}
	}
	return wire.Result{
		Request: job.ID, Ran: wire.RanYes, Status: reply.Outcome.Status, Body: reply.Outcome.Body,
		Target: reply.Outcome.Target, Joined: reply.Joined,
	}, nil
}

// Dispatch executes an operation for the operation log. It tries another target only after proof that the last one did
// not run it, since the operation must not run twice.
func (c *Calls) Dispatch(ctx context.Context, attempt string, op oplog.Op) oplog.Result {
	exclude := make(map[string]bool)
	for {
		slot, err := c.acquire(ctx, attempt, op.Service, op.Deadline, exclude)
		if err != nil {
			return oplog.Result{State: oplog.NotRun, Reason: string(route.ReasonOf(err))}
		}
		if clock.Now() >= op.Deadline {
			slot.Release(true, false)
			return oplog.Result{State: oplog.NotRun, Reason: string(wire.ReasonDeadline)}
		}
		body, status, err := c.act(ctx, slot, engine.ActRequest{Attempt: attempt, Key: op.IdempotencyKey, Profile: op.Profile, Body: op.Body})
		if err == nil {
			return oplog.Result{State: oplog.Done, Outcome: oplog.Outcome{Status: status, Body: body, Target: slot.Target.ID}}
		}
		slog.Info("attempt failed", "request", op.Request, "attempt", attempt, "target", slot.Target.ID, "error", err)
		if !notProcessed(err) {
			return oplog.Result{State: oplog.Unknown, Reason: string(wire.ReasonOutcomeLost)}
		}
		countRetry(string(target.KindOf(err)))
		exclude[slot.Target.ID] = true
	}
}

// runIdempotent tries targets until one answers or the deadline has passed.
func (c *Calls) runIdempotent(ctx context.Context, job Job) (wire.Result, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline.Time())
	defer cancel()
	exclude := make(map[string]bool)
	ran := wire.RanNo
	for {
		slot, err := c.acquire(ctx, job.ID, job.Profile.Service, job.Deadline, exclude)
		if err != nil {
			return wire.Result{}, &Error{Op: "call", Kind: route.ReasonOf(err), Ran: ran, Err: err}
		}
		body, status, err := c.act(ctx, slot, engine.ActRequest{Attempt: job.ID, Key: job.IdempotencyKey, Profile: job.Profile.Name, Body: job.Body})
		if err == nil {
			return wire.Result{Request: job.ID, Ran: wire.RanYes, Status: status, Body: body, Target: slot.Target.ID}, nil
		}
		if !notProcessed(err) {
			ran = wire.RanUnknown
		}
		if ctx.Err() != nil {
			return wire.Result{}, &Error{Op: "call", Kind: wire.ReasonDeadline, Ran: ran, Err: err}
		}
		countRetry(string(target.KindOf(err)))
		exclude[slot.Target.ID] = true
	}
}

func (c *Calls) acquire(ctx context.Context, id, service string, deadline clock.Millis, exclude map[string]bool) (*route.Slot, error) {
	return c.Table.Acquire(ctx, route.Request{ID: id, Service: service, Deadline: deadline, Exclude: exclude})
}

// act sends a request to the target of a slot and releases the slot. If the caller cancelled it or its deadline passed,
// the target is not blamed for the failure.
func (c *Calls) act(ctx context.Context, slot *route.Slot, act engine.ActRequest) (string, int, error) {
	body, status, err := c.TargetClient.Act(ctx, slot.Target.Addr, act)
	leaving := err != nil && target.KindOf(err) == target.Leaving
	slot.Release(err == nil || ctx.Err() != nil, leaving)
	return body, status, err
}
