package route

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	defaultPrefillRate    = 50_000                // prompt tokens a second, assumed until an engine reports its rate
	subsetSize            = 16                    // targets that an instance uses of a large service, on average
	minInstancesPerTarget = 8                     // instances that use each target of a large service
	dispatchInterval      = 20 * clock.Millis(1)  // between dispatches when no event causes one
	reportFetchInterval   = clock.Second / 2      // between fetches of a load report, each from one target
	reportRefreshAge      = 2 * clock.Second      // a younger report is not fetched again
	maxExcludeWait        = 200 * clock.Millis(1) // before an ejected or excluded target is tried
	timePerToken          = 25 * clock.Millis(1)  // between generated tokens, assumed in predictions
)

// Request describes a request to the table.
type Request struct {
	ID              string
	Service         string
	Model           string
	Customer        string
	Weight          int // weight of the customer in the queue
	PromptTokens    int
	MaxOutputTokens int // maximum number of tokens to generate
	Priority        int
	Deadline        clock.Millis
	Prefix          uint64          // hash of the first part of the prompt; zero for none
	Exclude         map[string]bool // IDs of targets to avoid, after a failed attempt
	Admitted        bool            // a retry; its request was admitted before and is not shed any more

	boundTarget string // ID of the target that the policy chose at arrival, if any
}

// Table holds the state of the targets as this instance knows it, and the requests that wait for them. Its state belongs
// to the control loop.
type Table struct {
	Loop      *loop.Loop
	Policy    Policy
	Self      string // name of this instance
	Config    func() config.Config
	View      func() member.View
	FetchLoad func(ctx context.Context, addr string) (engine.Load, error) // asks a target for its load report
	OnLeaving func(targetID string)                                       // called when a target first says that it takes no new requests

	targets        map[string]*targetState
	queues         map[string]*queue
	roundRobin     map[string]int            // position in the round-robin order, by service
	leavingMarks   map[string]bool           // IDs passed to MarkLeaving; these targets may not be listed yet
	subsets        map[string][]*targetState // cache of subset by service, for one view and one list of targets
	subsetsVersion uint64                    // of the view
	startedAt      clock.Millis
	waiting        atomic.Int64 // Acquire calls in progress
}

// Init initializes the table; call it before any other method.
func (t *Table) Init() {
	t.targets = make(map[string]*targetState)
	t.queues = make(map[string]*queue)
	t.roundRobin = make(map[string]int)
	t.leavingMarks = make(map[string]bool)
	t.startedAt = clock.Now()
}

// Run fetches load reports and dispatches waiting requests until the context ends.
func (t *Table) Run(ctx context.Context) error {
	dispatch := time.NewTicker(dispatchInterval.Duration())
	defer dispatch.Stop()
	refresh := time.NewTicker(reportFetchInterval.Duration())
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-dispatch.C:
			if t.waiting.Load() > 0 {
				t.Loop.Post(t.dispatch)
			}
		case <-refresh.C:
			t.Loop.Post(func() { t.refreshOldestReport(ctx) })
		}
	}
}

// Acquire waits for a slot on a target that can run the request. ReasonOf tells from the error why it got none.
func (t *Table) Acquire(ctx context.Context, r Request) (*Slot, error) {
	w := t.newWaiter(r)
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	if !t.Loop.Post(func() { t.enqueue(w) }) {
		return nil, &Error{Op: "acquire", Kind: wire.ReasonDraining}
	}
	timeout := time.NewTimer((r.Deadline - clock.Now()).Duration())
	defer timeout.Stop()
	var reason wire.Reason
	select {
	case result := <-w.result:
		return result.slot, result.err
	case <-ctx.Done():
		reason = wire.ReasonDeadline
	case <-timeout.C:
		reason = wire.ReasonDeadline
	}
	t.Loop.Call(func() { w.cancelled = true })
	select {
	case result := <-w.result: // came before the request was cancelled
		return result.slot, result.err
	default:
		return nil, &Error{Op: "acquire", Kind: reason}
	}
}

// newWaiter returns the queue entry of a request. Policies without priorities serve requests in the order of arrival,
// regardless of the customer.
func (t *Table) newWaiter(r Request) *waiter {
	now := clock.Now()
	w := &waiter{Request: r, enqueuedAt: now, orderTime: r.Deadline, result: make(chan acquireResult, 1)}
	if !t.Policy.Priorities {
		w.Customer, w.Priority, w.orderTime = "", 0, now
	}
	return w
}

// ReplaceTargets applies a new version of the list of targets. A target that is no longer listed takes no new requests,
// and is forgotten unless requests of this instance are in progress there.
func (t *Table) ReplaceTargets(r roster.Roster) {
	t.Loop.Post(func() {
		now := clock.Now()
		t.subsets = nil
		listed := make(map[string]bool, len(r.Targets))
		for _, target := range r.Targets {
			listed[target.ID] = true
			ts := t.targets[target.ID]
			if ts == nil {
				ts = &targetState{ownSlots: make(map[*Slot]bool), addedAt: now, slowStart: now-t.startedAt > slowStartTime, leaving: t.leavingMarks[target.ID]}
				t.targets[target.ID] = ts
			}
			ts.Target = target
			if target.State == roster.Leaving {
				t.setLeaving(ts)
			}
		}
		for id, ts := range t.targets {
			if !listed[id] {
				ts.leaving = true
				if len(ts.ownSlots) == 0 {
					delete(t.targets, id)
				}
			}
		}
		t.dispatch()
	})
}

// MarkLeaving records that a target takes no new requests, whatever the list says now or later. Call it on the control
// loop.
func (t *Table) MarkLeaving(targetID string) {
	t.leavingMarks[targetID] = true
	if ts := t.targets[targetID]; ts != nil {
		ts.leaving = true
	}
}

// Targets returns the targets of a service that are not leaving.
func (t *Table) Targets(service string) []roster.Target {
	var found []roster.Target
	t.Loop.Call(func() {
		for _, ts := range t.targets {
			if ts.Service == service && !ts.leaving {
				found = append(found, ts.Target)
			}
		}
	})
	return found
}

// setLeaving records that a target takes no new requests, and calls OnLeaving the first time.
func (t *Table) setLeaving(ts *targetState) {
	if ts.leaving {
		return
	}
	ts.leaving = true
	if t.OnLeaving != nil {
		t.OnLeaving(ts.ID)
	}
}

// enqueue refuses a request that no target takes or that would miss its deadline, and queues any other one.
func (t *Table) enqueue(w *waiter) {
	service, ok := t.Config().Service(w.Service)
	if !ok || !t.anyAccepts(service, w.Request) {
		w.result <- acquireResult{err: &Error{Op: "acquire", Kind: wire.ReasonNoTarget}}
		return
	}
	now := clock.Now()
	q := t.queueFor(now, service, w)
	if t.Policy.RejectLate && !w.Admitted && now+q.predictWait(now, w.Priority)+predictRunTime(w.Request) > w.Deadline {
		countEvent("shed_at_arrival")
		w.result <- acquireResult{err: &Error{Op: "acquire", Kind: wire.ReasonOverload}}
		return
	}
	q.push(w)
	t.dispatch()
}

// queueFor returns the queue of the service or, if the policy chooses targets at arrival, the queue of the chosen target.
func (t *Table) queueFor(now clock.Millis, service config.Service, w *waiter) *queue {
	name := w.Service
	if t.Policy.BindAtArrival {
		if candidates := t.candidates(service, w.Request); len(candidates) > 0 {
			w.boundTarget = pickRoundRobin(t, now, service, w.Request, candidates).ID
			name += "@" + w.boundTarget
		}
	}
	q := t.queues[name]
	if q == nil {
		q = newQueue()
		q.service = w.Service
		t.queues[name] = q
	}
	return q
}

// dispatch gives free slots to waiting requests of all services.
func (t *Table) dispatch() {
	for _, q := range t.queues {
		if q.length == 0 {
			continue
		}
		service, ok := t.Config().Service(q.service)
		if !ok {
			continue
		}
		t.dispatchQueue(q, service)
	}
}

func (t *Table) dispatchQueue(q *queue, service config.Service) {
	for q.length > 0 {
		now := clock.Now()
		var ts *targetState
		var reason wire.Reason
		w := q.pop(func(w *waiter) bool {
			ts, reason = t.chooseTarget(now, service, w)
			return ts != nil || reason != ""
		})
		if w == nil {
			return
		}
		if w.cancelled {
			continue
		}
		if ts == nil {
			w.result <- acquireResult{err: &Error{Op: "acquire", Kind: reason}}
			continue
		}
		q.recordStart(now, w.Priority)
		metrics.GetOrCreateHistogram("pier_queue_seconds").Update(float64(now-w.enqueuedAt) / 1000)
		w.result <- acquireResult{slot: t.takeSlot(ts, w.Request)}
	}
}

// chooseTarget returns a target for a request, or the reason why the request cannot finish in time. With neither, the
// request has to wait.
func (t *Table) chooseTarget(now clock.Millis, service config.Service, w *waiter) (*targetState, wire.Reason) {
	if !t.anyAccepts(service, w.Request) {
		return nil, wire.ReasonNoTarget
	}
	opens := t.opensAt(now, service, w.Request)
	if opens >= w.Deadline || t.Policy.RejectLate && !w.Admitted && max(now, opens)+predictRunTime(w.Request) > w.Deadline {
		countEvent("shed_in_queue")
		return nil, wire.ReasonOverload
	}
	candidates := t.candidates(service, w.Request)
	if len(candidates) == 0 && now-w.enqueuedAt >= maxExcludeWait {
		// Every target is ejected or excluded: try one of those rather than none.
		candidates = t.targetsOf(service, func(ts *targetState) bool { return ts.accepts(w.Request) && !ts.quiet(now) })
	}
	if len(candidates) == 0 {
		return nil, ""
	}
	ts := t.Policy.Pick(t, now, service, w.Request, candidates)
	if ts != nil && t.Policy.RejectLate && !w.Admitted && now+t.predictPrefill(now, ts, w.Request)+generationTime(w.Request) > w.Deadline {
		countEvent("shed_by_backlog")
		return nil, wire.ReasonOverload
	}
	return ts, ""
}

// anyAccepts reports whether any target of the service takes new requests of this kind.
func (t *Table) anyAccepts(service config.Service, r Request) bool {
	for _, ts := range t.targets {
		if ts.Service == service.Name && ts.accepts(r) {
			return true
		}
	}
	return false
}

// targetsOf returns the targets of a service for which keep returns true.
func (t *Table) targetsOf(service config.Service, keep func(*targetState) bool) []*targetState {
	var kept []*targetState
	for _, ts := range t.targets {
		if ts.Service == service.Name && keep(ts) {
			kept = append(kept, ts)
		}
	}
	return kept
}

// candidates returns the usable targets of this instance's subset or, if there are none, of the whole service.
func (t *Table) candidates(service config.Service, r Request) []*targetState {
	now := clock.Now()
	usable := func(ts *targetState) bool { return ts.usable(now, r) && !ts.quiet(now) }
	if chosen := filterTargets(t.subset(service.Name), usable); len(chosen) > 0 {
		return chosen
	}
	return t.targetsOf(service, usable)
}

// subset returns the targets of a service that this instance prefers: all of a small service, some of a large one. With
// few targets, an instance knows the load of each better.
func (t *Table) subset(service string) []*targetState {
	view := t.View()
	if t.subsets == nil || t.subsetsVersion != view.Version {
		t.subsets, t.subsetsVersion = make(map[string][]*targetState), view.Version
	}
	if cached, ok := t.subsets[service]; ok {
		return cached
	}
	var all, preferred []*targetState
	for _, ts := range t.targets {
		if ts.Service == service {
			all = append(all, ts)
		}
	}
	instances := max(minInstancesPerTarget, len(view.Members)*subsetSize/max(len(all), 1))
	for _, ts := range all {
		if len(all) <= subsetSize || view.RankedWithin(t.Self, "target/"+ts.ID, instances) {
			preferred = append(preferred, ts)
		}
	}
	t.subsets[service] = preferred
	return preferred
}

func filterTargets(targets []*targetState, keep func(*targetState) bool) []*targetState {
	var kept []*targetState
	for _, ts := range targets {
		if keep(ts) {
			kept = append(kept, ts)
		}
	}
	return kept
}

func countEvent(event string) {
	metrics.GetOrCreateCounter(`pier_route_events_total{event="` + event + `"}`).Inc()
}
