package flow

import (
	"context"
	"log/slog"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/peer"
	"github.com/corianderpier/corianderpier/internal/retry"
	"github.com/corianderpier/corianderpier/internal/route"
	"github.com/corianderpier/corianderpier/internal/sweep"
	"github.com/corianderpier/corianderpier/internal/target"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	stall       = 1500 * clock.Millis(1) // without a byte from an engine
	maxResumes  = 2                      // of one attempt, on new connections
	prefixBytes = 4096                   // of a prompt, for cache affinity
	retryRatio  = 0.2                    // retries for each request of a service
	retryExtra  = 50                     // retries in the window beyond the ratio
	retryWindow = 10 * clock.Second
	placePause  = 50 * clock.Millis(1)
)

// Prompts runs prompts on model engines.
type Prompts struct {
	Owner          string // instance and incarnation
	Table          *route.Table
	Links          *target.Links
	Config         func() config.Config
	View           func() member.View
	ReleaseHolding func(addr, id string) // releases memory until confirmed
	RequestGrant   func(ctx context.Context, home member.Member, a route.MemoryRequest) (route.Grant, error)
	ReleaseGrant   func(home member.Member, a route.MemoryRequest)

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// place is where an attempt runs.
type place struct {
	lease *route.Slot
	spans []engine.Span
	free  func() // returns reserved memory
}

// run is the state of one request over its attempts.
type run struct {
	Job
	service  config.Service
	prefix   uint64
	exclude  map[string]bool
	offset   int // bytes passed on
	attempts int
	reached  bool // an engine may have processed a part
	last     error
	gone     error // why the caller cannot be written to any more
	emit     func(f wire.Frame) error
}

// Run streams the answer to a prompt; an error tells the reason and whether an engine ran it.
func (p *Prompts) Run(ctx context.Context, job Job, emit func(f wire.Frame) error) error {
	service, _ := p.Config().Service(job.Profile.Service)
	ctx, cancel := context.WithDeadline(ctx, job.Deadline.Time())
	defer cancel()
	r := &run{Job: job, service: service, exclude: make(map[string]bool), emit: emit}
	if len(job.Body) >= prefixBytes {
		r.prefix = xxhash.Sum64String(job.Body[:prefixBytes])
	}
	p.budget(service.Name).First()
	for {
		done, err := p.attempt(ctx, r)
		if done || err != nil {
			return err
		}
		if !p.budget(service.Name).Repeat() {
			countRetry("budget_spent")
			return r.fail("run", wire.ReasonTargetFailed, r.last)
		}
	}
}

// attempt places the prompt once and reports whether the answer is whole; an error is final.
func (p *Prompts) attempt(ctx context.Context, r *run) (bool, error) {
	r.attempts++
	id := r.ID + "-" + strconv.Itoa(r.attempts)
	where, err := p.place(ctx, r, id)
	if err != nil {
		return false, r.fail("place", route.ReasonOf(err), err)
	}
	defer where.free()
	err = p.stream(ctx, r, id, where)
	leaving := err != nil && target.KindOf(err) == target.Leaving
	where.lease.Release(err == nil || ctx.Err() != nil || r.gone != nil, leaving)
	if err == nil {
		return true, nil
	}
	p.ReleaseHolding(where.lease.Target.Addr, id)
	r.last = err
	r.exclude[where.lease.Target.ID] = true
	if reason, over := r.over(ctx); over {
		return false, r.fail("stream", reason, err)
	}
	slog.Info("attempt failed", "request", r.ID, "attempt", id, "target", where.lease.Target.ID, "error", err)
	countRetry(string(target.KindOf(err)))
	return false, nil
}

// over reports whether no further attempt makes sense, and why.
func (r *run) over(ctx context.Context) (wire.Reason, bool) {
	switch {
	case r.gone != nil || eris.Is(ctx.Err(), context.Canceled):
		return wire.ReasonCallerGone, true
	case ctx.Err() != nil:
		return wire.ReasonDeadline, true
	default:
		return "", false
	}
}

// stream passes the answer of one attempt on and resumes it on a new connection when the old one fails.
func (p *Prompts) stream(ctx context.Context, r *run, id string, where place) error {
	addr := where.lease.Target.Addr
	ask := engine.Prompt{
		Attempt: id, Owner: p.Owner, Model: r.Profile.Model, Prompt: r.Body, PromptTokens: r.Tokens,
		MaxTokens: r.Output, Priority: p.priority(r), Spans: where.spans,
	}
	first := true
	pass := func(f engine.Frame) error {
		if first {
			first = false
			where.lease.MarkFirstToken()
		}
		out := wire.Frame{Request: r.ID, Offset: f.Offset, Text: f.Text, Total: f.Total, Done: f.Done, Target: where.lease.Target.ID}
		r.gone = r.emit(out)
		return r.gone
	}
	for resumes := 0; ; resumes++ {
		ask.From = r.offset
		n, err := p.Links.Stream(ctx, addr, ask, resumes > 0, stall, where.lease.RecordLoad, pass)
		r.offset += n
		r.reached = r.reached || err == nil || !notProcessed(err)
		kind := target.KindOf(err)
		again := kind == target.Broken || kind == target.Silent
		if err == nil || !again || resumes == maxResumes || ctx.Err() != nil || r.gone != nil {
			return err
		}
		countRetry("resume")
		ask.Prompt = "" // the engine has it
	}
}

func (p *Prompts) priority(r *run) int {
	if !p.Table.Policy.Priorities {
		return 0
	}
	return 1 + r.Profile.Priority
}

// place finds memory and a slot for an attempt.
func (p *Prompts) place(ctx context.Context, r *run, id string) (place, error) {
	if p.Table.Policy.ReserveLong && r.Tokens > r.service.Long {
		return p.placeLong(ctx, r, id)
	}
	if r.Tokens+r.Output > r.service.Memory {
		return p.placeLong(ctx, r, id)
	}
	lease, err := p.Table.Acquire(ctx, route.Request{
		ID: id, Service: r.service.Name, Model: r.Profile.Model, Customer: r.Customer.Name, Share: r.Customer.Share,
		Tokens: r.Tokens, Output: r.Output, Priority: p.priority(r), Deadline: r.Deadline,
		Prefix: r.prefix, Exclude: r.exclude, Admitted: r.attempts > 1,
	})
	return place{lease: lease, free: func() {}}, err
}

// placeLong reserves memory at the home of a cell and then on the engines.
func (p *Prompts) placeLong(ctx context.Context, r *run, id string) (place, error) {
	for n := 0; ; n++ {
		ask := p.ask(r, id+"."+strconv.Itoa(n))
		home, grant, err := p.grant(ctx, r, &ask)
		if err != nil {
			return place{}, err
		}
		where, ok := p.bind(ctx, id, grant, p.priority(r))
		if ok {
			free := where.free
			where.free = func() {
				free()
				p.ReleaseGrant(home, ask)
			}
			return where, nil
		}
		p.ReleaseGrant(home, ask)
		countRetry("reservation")
		if clock.Sleep(ctx, placePause) != nil {
			return place{}, &route.Error{Op: "reserve", Kind: wire.ReasonDeadline}
		}
	}
}

func (p *Prompts) ask(r *run, id string) route.MemoryRequest {
	a := route.MemoryRequest{
		ID: id, Owner: p.Owner, Service: r.service.Name, Model: r.Profile.Model, Customer: r.Customer.Name,
		Share: r.Customer.Share, Tokens: r.Tokens + r.Output, Output: r.Output, Deadline: r.Deadline,
		Priority: p.priority(r), Admitted: r.attempts > 1,
	}
	for target := range r.exclude {
		a.Exclude = append(a.Exclude, target)
	}
	return a
}

// grant asks the home of a cell, and the next in its rank when the home does not answer.
func (p *Prompts) grant(ctx context.Context, r *run, a *route.MemoryRequest) (member.Member, route.Grant, error) {
	prefix := r.prefix
	if prefix == 0 {
		prefix = xxhash.Sum64String(r.ID)
	}
	for ctx.Err() == nil {
		index, rank := route.CellOf(p.View(), r.service.Name, len(p.Table.Targets(r.service.Name)), prefix)
		a.Cell = index
		for _, home := range rank[:min(2, len(rank))] {
			grant, err := p.RequestGrant(ctx, home, *a)
			if err == nil && grant.Reason != "" {
				return home, grant, &route.Error{Op: "reserve", Kind: grant.Reason}
			}
			if err == nil {
				return home, grant, nil
			}
			countRetry("home")
			if !peer.Is(err, peer.NotSent) {
				p.ReleaseGrant(home, *a)
			}
		}
		_ = clock.Sleep(ctx, placePause)
	}
	return member.Member{}, route.Grant{}, &route.Error{Op: "reserve", Kind: wire.ReasonDeadline}
}

// bind reserves the granted memory on all engines but the first, all or nothing.
func (p *Prompts) bind(ctx context.Context, id string, grant route.Grant, priority int) (place, bool) {
	first := grant.Allocations[0]
	lease, ok := p.Table.AcquireOn(first.Target, route.Request{Tokens: first.Tokens, Priority: priority})
	if !ok {
		return place{}, false
	}
	where := place{lease: lease}
	reservation := sweep.ReservationID(id, first.Addr)
	var held []string
	where.free = func() {
		for _, addr := range held {
			p.ReleaseHolding(addr, reservation)
		}
	}
	for _, part := range grant.Allocations[1:] {
		held = append(held, part.Addr)
		want := engine.Reservation{ID: reservation, Owner: p.Owner, Tokens: part.Tokens}
		if err := p.Links.Reserve(ctx, part.Addr, want); err != nil {
			where.free()
			lease.Release(true, false)
			return place{}, false
		}
		where.spans = append(where.spans, engine.Span{Target: part.Addr, Reservation: want.ID, Tokens: part.Tokens})
	}
	return where, true
}

func (p *Prompts) budget(service string) *retry.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budgets == nil {
		p.budgets = make(map[string]*retry.Budget)
	}
	if p.budgets[service] == nil {
		bounds := retry.Bounds{Ratio: retryRatio, Extra: retryExtra, Window: retryWindow}
		p.budgets[service] = &retry.Budget{Bounds: func() retry.Bounds { return bounds }, Now: clock.Now}
	}
	return p.budgets[service]
}

func (r *run) fail(op string, reason wire.Reason, err error) error {
	ran := wire.RanNo
	switch {
	case r.offset > 0:
		ran = wire.RanYes
	case r.reached:
		ran = wire.RanUnknown
	}
	return &Error{Op: op, Kind: reason, Ran: ran, Err: err}
}
