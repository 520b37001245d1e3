package board

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
	"github.com/corianderpier/corianderpier/internal/share"
)

// The times of a simulated load.
const (
	simStep   = 2 * clock.Millis(1)
	simWarmup = 6 * clock.Second  // before the surge
	simSurge  = 10 * clock.Second // requests that arrive in it are counted
	simTail   = 4 * clock.Second  // after it, for the answers
)

// simCustomer is a customer of a simulated load.
type simCustomer struct {
	name     string
	rate     float64 // requests per second
	req      Requirements
	priority float64
	surge    float64 // multiple of the rate in the surge; zero for 1
	retries  int     // times that a refused request is sent again
}

// simOutcome is what became of a customer's requests that arrived in the surge.
type simOutcome struct {
	offered, served, onTime float64
	tries                   float64
}

func (o *simOutcome) add(other simOutcome) {
	o.offered += other.offered
	o.served += other.served
	o.onTime += other.onTime
	o.tries += other.tries
}

// service returns the part of the requests' value that was served: a late answer has a quarter of it.
func (o simOutcome) service() float64 { return (o.onTime + 0.25*(o.served-o.onTime)) / o.offered }

// servedPart returns the part of the requests that were served.
func (o simOutcome) servedPart() float64 { return o.served / o.offered }

// simTask is the prefill of a request, or of a part of one, on an engine.
type simTask struct {
	engine *model.Schedule
	task   *model.Task
}

// simRequest is a request that has been placed.
type simRequest struct {
	key      requestKey
	customer int
	tasks    []simTask // the primary's first
	counted  bool
	arrived  clock.Millis
	giveUp   clock.Millis // when its caller does, if the first event has not come
	started  bool         // the first event has come
	decode   float64      // milliseconds of decoding left
}

// simRetry is a refused request that is sent again.
type simRetry struct {
	customer int
	at       clock.Millis
	arrived  clock.Millis
	counted  bool
	left     int
}

// simulation plays a load on engines in virtual time. The engines are a model.Schedule each; the boards see the placements alone.
type simulation struct {
	boards    []*Board
	deaf      bool // the boards do not hear each other
	engines   map[string]*model.Schedule
	customers []simCustomer
	running   []*simRequest
	retries   []simRetry
	outcomes  []simOutcome
	rng       *rand.Rand
}

// newSimulation prepares boards; with shares, customers have the weights of their priorities.
func newSimulation(t testing.TB, instances, engines int, customers []simCustomer, seed uint64, shares bool) *simulation {
	t.Helper()
	s := &simulation{
		boards: newBoards(t, instances, engines), engines: make(map[string]*model.Schedule), customers: customers,
		outcomes: make([]simOutcome, len(customers)), rng: rand.New(rand.NewPCG(seed, 0)),
	}
	for n := range engines {
		s.engines[fmt.Sprint("engine-", n)] = &model.Schedule{Engine: testEngine}
	}
	weights := make(map[share.Customer]share.Weight)
	for _, c := range customers {
		w, err := share.WeightOf(c.priority)
		if err != nil {
			t.Fatal(err)
		}
		weights[share.CustomerOf(c.name)] = w
	}
	for _, b := range s.boards {
		b.Loop.Call(func() { b.Broadcast = func([]byte) {} }) // see hear; the loops have nothing more to run
		if shares {
			b.Weights = func() map[share.Customer]share.Weight { return weights }
		}
	}
	return s
}

// run plays the load and returns the outcomes by customer. The virtual time is ahead of the clock, so that the boards' own reading
// of it does not run their schedules on.
func (s *simulation) run() []simOutcome {
	start := clock.Now() + clock.Hour
	end := start + simWarmup + simSurge
	for now := start; now < end+simTail; now += simStep {
		s.advance(now)
		counted := now >= start+simWarmup && now < end
		s.sendAgain(now)
		for _, i := range s.rng.Perm(len(s.customers)) {
			c := s.customers[i]
			rate := c.rate
			if counted && c.surge > 0 {
				rate *= c.surge
			}
			for due := rate * simStep.Seconds(); s.rng.Float64() < due; due-- {
				if counted {
					s.outcomes[i].offered++
				}
				s.send(now, simRetry{customer: i, arrived: now, counted: counted, left: c.retries})
			}
		}
	}
	return s.outcomes
}

// sendAgain sends refused requests that are due.
func (s *simulation) sendAgain(now clock.Millis) {
	due := s.retries
	s.retries = nil
	for _, r := range due {
		if now < r.at {
			s.retries = append(s.retries, r)
			continue
		}
		s.send(now, r)
	}
}

// send has a board place a request. One that is refused is sent again at once, after the time of a round trip.
func (s *simulation) send(now clock.Millis, r simRetry) {
	const roundTrip = 10 * clock.Millis(1)
	c := s.customers[r.customer]
	req := c.req
	req.Customer, req.Priority, req.Elapsed, req.Deadline = c.name, c.priority, now-r.arrived, r.arrived+10*clock.Second
	if r.counted {
		s.outcomes[r.customer].tries++
	}
	b := s.boards[s.rng.IntN(len(s.boards))]
	p, err := b.place(now, req)
	if err != nil {
		if r.left > 0 {
			r.left--
			r.at = now + roundTrip
			s.retries = append(s.retries, r)
		}
		return
	}
	s.start(now, b, p, r)
}

// start adds a placed request to the engines, and to the other boards.
func (s *simulation) start(now clock.Millis, b *Board, p *Placement, sent simRetry) {
	req := s.customers[sent.customer].req
	r := &simRequest{
		key: requestKey{b.Self, p.number}, customer: sent.customer, counted: sent.counted, arrived: sent.arrived,
		giveUp: sent.arrived + max(patienceFactor*req.FirstEventSLO, minPatience),
	}
	parts := 1 + len(p.Helpers)
	for n, id := range append([]string{p.Target.ID}, p.HelperIDs()...) {
		tokens := req.PromptTokens / parts
		if n == 0 {
			tokens = req.PromptTokens - (parts-1)*tokens
		}
		t := simTask{engine: s.engines[id], task: testEngine.NewTask(req.PromptTokens, parts, tokens, req.MaxOutputTokens, n > 0)}
		t.engine.Add(float64(now), t.task)
		r.tasks = append(r.tasks, t)
	}
	s.running = append(s.running, r)
	placed := *b.ownRequests[p.number]
	s.hear(b, func(other *Board) {
		other.addRequest(now, r.key, placed)
		other.recordUse(now, placed, 0)
	})
}

// hear applies what a board broadcasts to the others.
func (s *simulation) hear(from *Board, apply func(other *Board)) {
	for _, b := range s.boards {
		if b != from && !s.deaf {
			apply(b)
		}
	}
}

// advance runs the engines for a step, and answers the requests whose prefill is complete. While an engine prefills it does not
// decode.
func (s *simulation) advance(now clock.Millis) {
	decoded := make(map[*model.Schedule]float64)
	for _, e := range s.engines {
		before := prefillLeft(e)
		e.Advance(float64(now))
		decoded[e] = float64(simStep) - (before - prefillLeft(e))
	}
	for _, r := range s.running {
		if r.started {
			r.decode -= decoded[r.tasks[0].engine]
		}
	}
	s.running = slices.DeleteFunc(s.running, func(r *simRequest) bool {
		if !r.started && !slices.ContainsFunc(r.tasks, func(t simTask) bool { return t.task.PrefillLeft > 0 }) {
			s.firstEvent(now, r)
		}
		if r.started && r.decode > 0 || !r.started && now < r.giveUp {
			return false
		}
		for _, t := range r.tasks {
			t.engine.Remove(t.task)
		}
		for _, b := range s.boards {
			if b.Self == r.key.owner {
				delete(b.ownRequests, r.key.number)
				delete(b.placedAt, r.key.number)
				delete(b.placements, r.key.number)
			}
			b.removeRequest(r.key)
		}
		return true
	})
}

// prefillLeft returns the remaining prefill of an engine.
func prefillLeft(e *model.Schedule) float64 {
	left := 0.0
	for _, t := range e.Tasks {
		left += t.PrefillLeft
	}
	return left
}

// firstEvent records the first event of a request.
func (s *simulation) firstEvent(now clock.Millis, r *simRequest) {
	r.started = true
	if r.counted {
		s.outcomes[r.customer].served++
		if now-r.arrived <= s.customers[r.customer].req.FirstEventSLO {
			s.outcomes[r.customer].onTime++
		}
	}
	primary := r.tasks[0]
	sequences, context := 1, primary.task.PromptTokens
	for _, other := range s.running {
		if other != r && other.started && other.tasks[0].engine == primary.engine {
			sequences, context = sequences+1, context+other.tasks[0].task.PromptTokens
		}
	}
	r.decode = float64(primary.task.DecodePasses) * testEngine.DecodePassTime(sequences, context)
	for _, helper := range r.tasks[1:] {
		helper.engine.Remove(helper.task)
	}
	for _, b := range s.boards {
		b.recordFirstEvent(r.key, now)
	}
}
