package flow

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
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
	stallTimeout        = 1500 * clock.Millis(1) // without a byte from the engine, after which its stream counts as stalled
	maxResumes          = 2                      // one after the other without a new frame, each on a new connection
	affinityPrefixBytes = 4096                   // of a prompt that are hashed, for prefix-cache affinity
	retryRatio          = 0.2                    // retries per request of a service
	retryExtra          = 50                     // retries in each window beyond the ratio
	retryWindow         = 10 * clock.Second
	placementRetryPause = 50 * clock.Millis(1) // before memory is requested again
	maxQuietRequest     = clock.Second         // for which memory is requested without the engines that want no requests now
)

// Prompts executes prompts on model engines.
type Prompts struct {
	Owner          string // of the memory on engines: instance and incarnation
	Table          *route.Table
	TargetClient   *target.Client
	Config         func() config.Config
	View           func() member.View
	ReleaseHolding func(addr, id string) // releases memory on an engine, and repeats that until the engine confirms
	// RequestGrant asks the home of a cell for engine memory, and ReleaseGrant gives it back there.
	RequestGrant func(ctx context.Context, home member.Member, r route.MemoryRequest) (route.Grant, error)
	ReleaseGrant func(home member.Member, r route.MemoryRequest)

	mu           sync.Mutex
	retryBudgets map[string]*retry.Budget
}

// placement is the slot and the memory of one attempt.
type placement struct {
	slot    *route.Slot
	spans   []engine.Span // memory on engines other than the slot's
	release func()        // releases the memory, but not the slot
}

// promptRun is the state of a request, over all its attempts.
type promptRun struct {
	Job
	service    config.Service
	prefix     uint64          // hash of the first affinityPrefixBytes; zero for a shorter prompt
	exclude    map[string]bool // IDs of targets that failed
	offset     int             // bytes of the answer that were forwarded to the caller
	attempts   int
	mayHaveRun bool // an engine may have processed at least a part of the prompt
	lastErr    error
	callerErr  error // from emit; set if the caller cannot be reached any more
	emit       func(f wire.Frame) error
}

// Run executes a prompt and passes the answer to emit frame by frame. FailureOf interprets the error that it returns.
func (p *Prompts) Run(ctx context.Context, job Job, emit func(f wire.Frame) error) error {
	service, _ := p.Config().Service(job.Profile.Service)
	ctx, cancel := context.WithDeadline(ctx, job.Deadline.Time())
	defer cancel()
	r := &promptRun{Job: job, service: service, exclude: make(map[string]bool), emit: emit}
	if len(job.Body) >= affinityPrefixBytes {
		r.prefix = xxhash.Sum64String(job.Body[:affinityPrefixBytes])
	}
	p.retryBudget(service.Name).RecordRequest()
	for {
		done, err := p.attempt(ctx, r)
		if done || err != nil {
			return err
		}
		if !p.retryBudget(service.Name).TakeRetry() {
			countRetry("budget_spent")
			return r.newError("run", wire.ReasonTargetFailed, r.lastErr)
		}
	}
}

// attempt runs the prompt once and reports whether the answer is complete. An error is final; without one, an incomplete
// answer may be continued by another attempt.
func (p *Prompts) attempt(ctx context.Context, r *promptRun) (bool, error) {
	r.attempts++
	id := r.ID + "-" + strconv.Itoa(r.attempts)
	placed, err := p.place(ctx, r, id)
	if err != nil {
		return false, r.newError("place", route.ReasonOf(err), err)
	}
	defer placed.release()
	err = p.stream(ctx, r, id, placed)
	leaving := err != nil && target.KindOf(err) == target.Leaving
	placed.slot.Release(err == nil || ctx.Err() != nil || r.callerErr != nil, leaving)
	if err == nil {
		return true, nil
	}
	p.ReleaseHolding(placed.slot.Target.Addr, id)
	r.lastErr = err
	r.exclude[placed.slot.Target.ID] = true
	if reason, final := r.finalReason(ctx); final {
		return false, r.newError("stream", reason, err)
	}
	slog.Info("attempt failed", "request", r.ID, "attempt", id, "target", placed.slot.Target.ID, "error", err)
	countRetry(string(target.KindOf(err)))
	return false, nil
}

// finalReason reports whether a further attempt is useless, and the reason: the caller is gone or the deadline passed.
func (r *promptRun) finalReason(ctx context.Context) (wire.Reason, bool) {
	switch {
	case r.callerErr != nil || eris.Is(ctx.Err(), context.Canceled):
		return wire.ReasonCallerGone, true
	case ctx.Err() != nil:
		return wire.ReasonDeadline, true
	default:
		return "", false
	}
}

// stream forwards the answer of one attempt. If the connection fails, it resumes the answer on a new one, from the first
// byte that was not forwarded.
func (p *Prompts) stream(ctx context.Context, r *promptRun, id string, placed placement) error {
	addr := placed.slot.Target.Addr
	prompt := engine.CompletionRequest{
		Attempt: id, Owner: p.Owner, Model: r.Profile.Model, Prompt: r.Body, PromptTokens: r.PromptTokens,
		MaxTokens: r.MaxOutputTokens, Priority: p.priority(r), Spans: placed.spans,
	}
	first := true
	forward := func(f engine.Frame) error {
		if first {
			first = false
			placed.slot.MarkFirstToken()
		}
		out := wire.Frame{Request: r.ID, Offset: f.Offset, Text: f.Text, Total: f.Total, Done: f.Done, Target: placed.slot.Target.ID}
		r.callerErr = r.emit(out)
		return r.callerErr
	}
	for resumes := 0; ; resumes++ {
		prompt.ResumeOffset = r.offset
		received, err := p.TargetClient.Stream(ctx, addr, prompt, resumes > 0, stallTimeout, placed.slot.RecordLoad, forward)
		if r.offset += received; received > 0 {
			resumes = 0
		}
		r.mayHaveRun = r.mayHaveRun || err == nil || !notProcessed(err)
		kind := target.KindOf(err)
		resumable := kind == target.Broken || kind == target.Stalled
		if err == nil || !resumable || resumes == maxResumes || ctx.Err() != nil || r.callerErr != nil {
			return err
		}
		countRetry("resume")
		prompt.Prompt = "" // to resume, an engine needs only the attempt and the offset
	}
}

// priority returns the priority for the engine: that of the profile plus one, or zero if the policy has no priorities.
func (p *Prompts) priority(r *promptRun) int {
	if !p.Table.Policy.Priorities {
		return 0
	}
	return 1 + r.Profile.Priority
}

// place acquires a slot for an attempt, and first reserves memory if the prompt is long or too large for one engine.
func (p *Prompts) place(ctx context.Context, r *promptRun, id string) (placement, error) {
	if p.Table.Policy.ReserveLong && r.PromptTokens > r.service.LongPromptTokens {
		return p.placeLong(ctx, r, id)
	}
	if r.PromptTokens+r.MaxOutputTokens > r.service.MemoryTokens {
		return p.placeLong(ctx, r, id)
	}
	slot, err := p.Table.Acquire(ctx, route.Request{
		ID: id, Service: r.service.Name, Model: r.Profile.Model, Customer: r.Customer.Name, Weight: r.Customer.Weight,
		PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, Priority: p.priority(r), Deadline: r.Deadline,
		Prefix: r.prefix, Exclude: r.exclude, Admitted: r.attempts > 1,
	})
	return placement{slot: slot, release: func() {}}, err
}

// placeLong gets a grant from the home of a cell and then reserves the granted memory on the engines. If an engine
// refuses, it releases the grant and starts over.
func (p *Prompts) placeLong(ctx context.Context, r *promptRun, id string) (placement, error) {
	for n := 0; ; n++ {
		request := p.newMemoryRequest(r, id+"."+strconv.Itoa(n))
		home, grant, err := p.requestOpenGrant(ctx, r, &request)
		if err != nil {
			return placement{}, err
		}
		if grant.ID == "" {
			continue
		}
		placed, ok := p.acquireGranted(ctx, id, grant, p.priority(r))
		if ok {
			releaseHoldings := placed.release
			placed.release = func() {
				releaseHoldings()
				p.ReleaseGrant(home, request)
			}
			return placed, nil
		}
		p.ReleaseGrant(home, request)
		countRetry("reservation")
		if clock.Sleep(ctx, placementRetryPause) != nil {
			return placement{}, &route.Error{Op: "reserve", Kind: wire.ReasonDeadline}
		}
	}
}

func (p *Prompts) newMemoryRequest(r *promptRun, id string) route.MemoryRequest {
	request := route.MemoryRequest{
		ID: id, Owner: p.Owner, Service: r.service.Name, Model: r.Profile.Model, Customer: r.Customer.Name,
		Weight: r.Customer.Weight, Tokens: r.PromptTokens + r.MaxOutputTokens, MaxOutputTokens: r.MaxOutputTokens, Deadline: r.Deadline,
		Priority: p.priority(r), Admitted: r.attempts > 1,
	}
	for id := range r.exclude {
		request.Exclude = append(request.Exclude, id)
	}
	return request
}

// requestOpenGrant requests memory on engines that take requests of this instance. The home of a cell need not know which ones
// want none now; once one of them takes some again, or after a while, it returns an empty grant, and the request is to be made anew.
func (p *Prompts) requestOpenGrant(ctx context.Context, r *promptRun, request *route.MemoryRequest) (member.Member, route.Grant, error) {
	quiet, opens := p.Table.QuietTargets(r.service.Name)
	if len(quiet) == 0 {
		return p.requestGrant(ctx, r, request)
	}
	if opens >= r.Deadline && len(quiet) == len(p.Table.Targets(r.service.Name)) {
		return member.Member{}, route.Grant{}, &route.Error{Op: "reserve", Kind: wire.ReasonOverload}
	}
	request.Exclude = append(request.Exclude, quiet...)
	asking, cancel := context.WithDeadline(ctx, min(opens, clock.Now()+maxQuietRequest).Time())
	defer cancel()
	home, grant, err := p.requestGrant(asking, r, request)
	if err != nil && asking.Err() != nil && ctx.Err() == nil {
		return home, route.Grant{}, nil
	}
	return home, grant, err
}

// requestGrant requests memory from the home of a cell or, if that does not answer, from the instance that ranks next.
// A request that failed after it was sent is released, since memory may have been granted and only the answer lost.
func (p *Prompts) requestGrant(ctx context.Context, r *promptRun, request *route.MemoryRequest) (member.Member, route.Grant, error) {
	prefix := r.prefix
	if prefix == 0 {
		prefix = xxhash.Sum64String(r.ID)
	}
	for ctx.Err() == nil {
		index, homes := route.CellOf(p.View(), r.service.Name, len(p.Table.Targets(r.service.Name)), prefix)
		request.Cell = index
		for _, home := range homes[:min(2, len(homes))] {
			grant, err := p.RequestGrant(ctx, home, *request)
			if err == nil && grant.Reason != "" {
				return home, grant, &route.Error{Op: "reserve", Kind: grant.Reason}
			}
			if err == nil {
				return home, grant, nil
			}
			countRetry("home")
			if !peer.Is(err, peer.NotSent) {
				p.ReleaseGrant(home, *request)
			}
		}
		_ = clock.Sleep(ctx, placementRetryPause)
	}
	return member.Member{}, route.Grant{}, &route.Error{Op: "reserve", Kind: wire.ReasonDeadline}
}

// inWaitOrder returns allocations with the one on the engine with the highest ID first. A prompt waits for memory on the engine
// that runs it while it holds memory on the others. As it only waits on an engine that ranks above these, prompts cannot wait
// for each other in a circle, also if two homes have granted the same memory.
func inWaitOrder(allocations []route.Allocation) []route.Allocation {
	return slices.SortedFunc(slices.Values(allocations), func(a, b route.Allocation) int { return strings.Compare(b.Target, a.Target) })
}

// acquireGranted takes a slot on one engine of a grant, which runs the prompt, and reserves memory on the others, all or nothing.
func (p *Prompts) acquireGranted(ctx context.Context, id string, grant route.Grant, priority int) (placement, bool) {
	allocations := inWaitOrder(grant.Allocations)
	first := allocations[0]
	slot, ok := p.Table.AcquireOn(first.Target, route.Request{PromptTokens: first.Tokens, Priority: priority})
	if !ok {
		return placement{}, false
	}
	placed := placement{slot: slot}
	reservationID := sweep.ReservationID(id, first.Addr)
	var reservedOn []string
	placed.release = func() {
		for _, addr := range reservedOn {
			p.ReleaseHolding(addr, reservationID)
		}
	}
	for _, allocation := range allocations[1:] {
		reservedOn = append(reservedOn, allocation.Addr)
		reservation := engine.Reservation{ID: reservationID, Owner: p.Owner, Tokens: allocation.Tokens}
		if err := p.TargetClient.Reserve(ctx, allocation.Addr, reservation); err != nil {
			placed.release()
			slot.Release(true, false)
			return placement{}, false
		}
		placed.spans = append(placed.spans, engine.Span{Target: allocation.Addr, Reservation: reservation.ID, Tokens: allocation.Tokens})
	}
	return placed, true
}

func (p *Prompts) retryBudget(service string) *retry.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryBudgets == nil {
		p.retryBudgets = make(map[string]*retry.Budget)
	}
	if p.retryBudgets[service] == nil {
		limits := retry.Limits{Ratio: retryRatio, Extra: retryExtra, Window: retryWindow}
		p.retryBudgets[service] = &retry.Budget{Limits: func() retry.Limits { return limits }, Now: clock.Now}
	}
	return p.retryBudgets[service]
}

// newError returns an Error that tells whether the prompt ran, as far as is known.
func (r *promptRun) newError(op string, reason wire.Reason, err error) error {
	ran := wire.RanNo
	switch {
	case r.offset > 0:
		ran = wire.RanYes
	case r.mayHaveRun:
		ran = wire.RanUnknown
	}
	return &Error{Op: op, Kind: reason, Ran: ran, Err: err}
}
