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
	defaultPrefill        = 50_000 // prompt tokens a second, until an engine reports
	aperture              = 16     // targets of a service that an instance uses when there are many instances
	minInstancesPerTarget = 8      // instances that use each target at least
	dispatchPeriod        = 20 * clock.Millis(1)
	reportPeriod          = clock.Second / 2      // between load reports read; one target each
	reportRefreshAge      = 2 * clock.Second      // a younger report is not read again
	maxExcludeWait        = 200 * clock.Millis(1) // for which a request waits for a target that has not failed
	timePerToken          = 25 * clock.Millis(1)  // between generated tokens, for predictions
)

// Request is what routing needs to know of a request.
type Request struct {
	ID       string
	Service  string
	Model    string
	Customer string
	Share    int // weight of the customer
	Tokens   int // of the prompt
	Output   int // most tokens to generate
	Priority int
	Deadline clock.Millis
	Prefix   uint64          // hash of the first part of the prompt; zero for none
	Exclude  map[string]bool // targets not to be used
	Admitted bool            // a further attempt of a request that is not to be shed any more

	boundTarget string // the target that the request is bound to, if any
}

// Table holds what this instance knows of the targets, and the waiting requests. Its state belongs to the control loop.
type Table struct {
	Loop      *loop.Loop
	Policy    Policy
	Self      string
	Config    func() config.Config
	View      func() member.View
	FetchLoad func(ctx context.Context, addr string) (engine.Load, error)
	OnLeaving func(target string) // a target said that it takes no new work

	targets        map[string]*targetState
	queues         map[string]*queue
	roundRobin     map[string]int // for policies that go round
	leavingMarks   map[string]bool
	subsets        map[string][]*targetState // by service, for one version of the view and of the list
	subsetsVersion uint64
	startedAt      clock.Millis
	waiting        atomic.Int64 // requests between Acquire and its answer
}

// Start sets up the state.
func (t *Table) Start() {
	t.targets = make(map[string]*targetState)
	t.queues = make(map[string]*queue)
	t.roundRobin = make(map[string]int)
	t.leavingMarks = make(map[string]bool)
	t.startedAt = clock.Now()
}

// Run reads load reports and starts waiting requests until the context ends.
func (t *Table) Run(ctx context.Context) error {
	dispatch := time.NewTicker(dispatchPeriod.Duration())
	defer dispatch.Stop()
	refresh := time.NewTicker(reportPeriod.Duration())
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

// Acquire waits for a slot on a target that suits the request, or says why there is none.
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
	case result := <-w.result: // granted in the meantime
		return result.slot, result.err
	default:
		return nil, &Error{Op: "acquire", Kind: reason}
	}
}

// newWaiter puts a request into the order of its policy: plain baselines know neither customers nor priorities.
func (t *Table) newWaiter(r Request) *waiter {
	now := clock.Now()
	w := &waiter{Request: r, enqueuedAt: now, orderTime: r.Deadline, result: make(chan acquireResult, 1)}
	if !t.Policy.Priorities {
		w.Customer, w.Priority, w.orderTime = "", 0, now
	}
	return w
}

// ReplaceTargets takes a new instance list into use.
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

// MarkLeaving notes that a target takes no new work, whatever the list says; it runs on the control loop.
func (t *Table) MarkLeaving(target string) {
	t.leavingMarks[target] = true
	if ts := t.targets[target]; ts != nil {
		ts.leaving = true
	}
}

// Targets returns the usable targets of a service.
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

func (t *Table) setLeaving(ts *targetState) {
	if ts.leaving {
		return
	}
	ts.leaving = true
	if t.OnLeaving != nil {
		t.OnLeaving(ts.ID)
	}
}

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

// queueFor returns the queue of the service, or the one of a target if the policy binds requests at arrival.
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

// dispatch starts waiting requests while there are free slots.
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

// chooseTarget finds a target for a request, or a reason why there will be none in time; neither means to wait.
func (t *Table) chooseTarget(now clock.Millis, service config.Service, w *waiter) (*targetState, wire.Reason) {
	if !t.anyAccepts(service, w.Request) {
		return nil, wire.ReasonNoTarget
	}
	if t.Policy.RejectLate && !w.Admitted && now+predictRunTime(w.Request) > w.Deadline {
		countEvent("shed_in_queue")
		return nil, wire.ReasonOverload
	}
	candidates := t.candidates(service, w.Request)
	if len(candidates) == 0 && now-w.enqueuedAt >= maxExcludeWait {
		// All are ejected or excluded: better one of those than none.
		candidates = t.targetsOf(service, func(ts *targetState) bool { return ts.accepts(w.Request) })
	}
	if len(candidates) == 0 {
		return nil, ""
	}
	ts := t.Policy.Pick(t, now, service, w.Request, candidates)
	if ts != nil && t.Policy.RejectLate && !w.Admitted && now+t.predictProcessing(now, ts, w.Request)+generationTime(w.Request) > w.Deadline {
		countEvent("shed_by_backlog")
		return nil, wire.ReasonOverload
	}
	return ts, ""
}

// predictProcessing predicts how long the engine takes until it has processed a prompt, if it puts higher priorities first and
// other instances send the mix of priorities that this one sends.
func (t *Table) predictProcessing(now clock.Millis, ts *targetState, r Request) clock.Millis {
	ahead, total := 0, 0
	for _, other := range t.subset(ts.Service) {
		ahead += other.backlogAhead(r.Priority)
		total += other.backlog
	}
	others := ts.othersBacklog(now)
	if total > 0 {
		others = int(float64(others) * float64(ahead) / float64(total))
	}
	return clock.Millis((ts.backlogAhead(r.Priority) + others + r.Tokens) * 1000 / ts.prefillRate())
}

// anyAccepts reports whether any target takes this kind of work at all.
func (t *Table) anyAccepts(service config.Service, r Request) bool {
	for _, ts := range t.targets {
		if ts.Service == service.Name && ts.accepts(r) {
			return true
		}
	}
	return false
}

func (t *Table) targetsOf(service config.Service, keep func(*targetState) bool) []*targetState {
	var kept []*targetState
	for _, ts := range t.targets {
		if ts.Service == service.Name && keep(ts) {
			kept = append(kept, ts)
		}
	}
	return kept
}

// candidates are the targets of this instance's subset that can run the request, or all that can if the subset has none.
func (t *Table) candidates(service config.Service, r Request) []*targetState {
	now := clock.Now()
	usable := func(ts *targetState) bool { return ts.usable(now, r) }
	if chosen := filterTargets(t.subset(service.Name), usable); len(chosen) > 0 {
		return chosen
	}
	return t.targetsOf(service, usable)
}

// subset returns the targets of a service that this instance uses first, so that each instance knows a few targets
// well: all of a small service.
func (t *Table) subset(service string) []*targetState {
	view := t.View()
	if t.subsets == nil || t.subsetsVersion != view.Version {
		t.subsets, t.subsetsVersion = make(map[string][]*targetState), view.Version
	}
	if cached, ok := t.subsets[service]; ok {
		return cached
	}
	var all, mine []*targetState
	for _, ts := range t.targets {
		if ts.Service == service {
			all = append(all, ts)
		}
	}
	instances := max(minInstancesPerTarget, len(view.Members)*aperture/max(len(all), 1))
	for _, ts := range all {
		if len(all) <= aperture || view.RankedWithin(t.Self, "target/"+ts.ID, instances) {
			mine = append(mine, ts)
		}
	}
	t.subsets[service] = mine
	return mine
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

func (t *Table) recordLoad(ts *targetState, load engine.Load) {
	ts.report, ts.reportedAt = load, clock.Now()
	ts.ownAtReport, ts.backlogAtReport, ts.memoryAtReport = len(ts.ownSlots), ts.backlog, ts.ownMemory
	if load.Leaving {
		t.setLeaving(ts)
	}
}

// refreshOldestReport reads the oldest load report that is not fresh.
func (t *Table) refreshOldestReport(ctx context.Context) {
	if t.FetchLoad == nil {
		return
	}
	now := clock.Now()
	var oldest *targetState
	for _, service := range t.Config().Services {
		for _, ts := range t.subset(service.Name) {
			if !ts.leaving && now-ts.reportedAt > reportRefreshAge && (oldest == nil || ts.reportedAt < oldest.reportedAt) {
				oldest = ts
			}
		}
	}
	if oldest == nil {
		return
	}
	oldest.reportedAt = now // not to be asked twice
	addr := oldest.Addr
	go func() {
		load, err := t.FetchLoad(ctx, addr)
		if err != nil {
			return
		}
		t.Loop.Post(func() { t.recordLoad(oldest, load) })
	}()
}

// predictRunTime predicts how long a request takes once it has started, on an idle engine.
func predictRunTime(r Request) clock.Millis {
	return clock.Millis(r.Tokens*1000/(2*defaultPrefill)) + generationTime(r)
}

func generationTime(r Request) clock.Millis { return clock.Millis(r.Output) * timePerToken }

func countEvent(event string) {
	metrics.GetOrCreateCounter(`pier_route_events_total{event="` + event + `"}`).Inc()
}
