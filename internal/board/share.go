package board

import (
	"log/slog"
	"math"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
	"github.com/corianderpier/corianderpier/internal/share"
)

// Limits of refusals by plain services.
const (
	refusedExcess = 2.0                   // multiple of its share above which a customer is refused while all slots are in use
	leastExcess   = 0.75                  // multiple below which it is not, however many requests wait for slots; under 1, so that these become fewer
	minShareWait  = 300 * clock.Millis(1) // until a customer that is refused for that may try again, at least
	maxShareWait  = 2 * clock.Second      // the same, at most
)

// Signs that engines are short of capacity, by which a customer over its share pays for crowding and slots.
const (
	// shortFrom is the part of a request's value, lost by crowding, from which on engines are short. With 0.1, large customers lose
	// 2% of a usual load in simulations; with 0.2, the others lose 6% of their service in a surge on full engines.
	shortFrom = 0.13
	shortTime = clock.Second // since the last such loss or refusal, for which they are taken to be
	// shortSlot is the price of a slot of the best engine from which on they are short too. All instances see that at once; without
	// it, each of eight instances has to lose requests first, and the others lose 8% of their service.
	shortSlot    = 0.5
	fewSlotsFrom = 0.8 // of an engine's slots: from here, the use of one has a price
)

const (
	reducedWindow = 5 * clock.Second // since its last request that was refused for its share, for which a customer counts as reduced
	maxReduced    = 32               // customers of which is logged at a time that they are reduced
)

// shareState is what an instance knows of the use that customers make of services.
type shareState struct {
	ledgers    map[string]*share.Ledger    // by service
	shortUntil map[string]clock.Millis     // by service, until when its engines are taken to be short of capacity
	reduced    map[reducedKey]clock.Millis // when a request was last refused
}

// reducedKey is a customer whose requests to a service have been refused lately since it uses more than its share.
type reducedKey struct {
	service  string
	customer string
}

// sharesInForce reports whether customers have shares.
func (b *Board) sharesInForce() bool { return b.Weights != nil && b.Weights() != nil }

// customerOf returns the customer of an own request as it is broadcast: none while customers have no shares.
func (b *Board) customerOf(req Requirements) share.Customer {
	if !b.sharesInForce() {
		return 0
	}
	return share.CustomerOf(req.Customer)
}

// weightOf returns the weight of the customer of an own request: that of its priority, or else of the request's.
func (b *Board) weightOf(req Requirements) share.Weight {
	if w, ok := b.Weights()[share.CustomerOf(req.Customer)]; ok {
		return w
	}
	w, err := share.WeightOf(req.Priority)
	if err != nil {
		return 1
	}
	return w
}

// ledger returns the ledger of a service.
func (b *Board) ledger(service string) *share.Ledger {
	l := b.shares.ledgers[service]
	if l == nil {
		l = &share.Ledger{}
		b.shares.ledgers[service] = l
	}
	return l
}

// recordUse records a placed request, of this instance or another, as use by its customer: engine time, or one request of a plain
// service. The weight is zero if only the instance that has the request knows it.
func (b *Board) recordUse(now clock.Millis, r ActiveRequest, weight share.Weight) {
	if r.Customer == 0 || !b.sharesInForce() {
		return
	}
	if w, ok := b.Weights()[r.Customer]; ok {
		weight = w
	}
	service := b.target(r.Target).Service
	if service == "" {
		return // the target is not listed yet
	}
	amount := 1.0
	if engine, isEngine := b.Engine(service); isEngine {
		amount = engineTime(engine, r.PromptTokens, r.MaxOutputTokens)
	}
	b.ledger(service).Record(now, r.Age, r.Customer, weight, amount)
}

// engineTime returns the part of an engine's time that a request takes: the whole engine while it is prefilled, and one slot of it
// while its answer is generated.
func engineTime(e model.Engine, prompt, output int) float64 {
	prefill := e.PrefillTime(prompt)
	if e.Slots <= 0 {
		return prefill
	}
	return prefill + e.Passes(output)*e.DecodePassTime(1, prompt)/float64(e.Slots)
}

// admission is what a request costs, by which it is placed or refused.
type admission struct {
	usual float64 // what it and others lose by the choice, and the price of the engine time
	total float64 // the same by the share of its customer
}

// price returns what a request costs. While the engines are short of capacity, a customer over its share pays the factor for crowding and
// for the slot too.
func (b *Board) price(now clock.Millis, req Requirements, engine model.Engine, targets []*targetState, chosen choice) admission {
	price := timePrice(targets) * engine.PrefillTime(req.PromptTokens)
	cost := chosen.cost - chosen.startCost + price
	if !b.sharesInForce() {
		return admission{usual: cost, total: cost}
	}
	ledger, customer := b.ledger(req.Service), share.CustomerOf(req.Customer)
	factor := ledger.Factor(now, customer, b.weightOf(req), float64(len(targets))*float64(share.Window))
	crowding := chosen.crowding(req, engine.PartPrefillTime(req.PromptTokens, 1+len(chosen.helpers)))
	lastSlots := chosen.primary.lastSlotsPrice()
	if factor > 1 && (now < b.shares.shortUntil[req.Service] || lastSlots >= shortSlot) {
		price += crowding + lastSlots*req.value()
	}
	total := cost + (factor-1)*price
	if total > req.value() || crowding > shortFrom*req.value() {
		b.shares.shortUntil[req.Service] = now + shortTime
	}
	return admission{usual: cost, total: total}
}

// recordOffer records whether a request was refused, and whether that was for the share of its customer.
func (b *Board) recordOffer(now clock.Millis, req Requirements, engine model.Engine, a admission, refused Kind) {
	if !b.sharesInForce() {
		return
	}
	use := engineTime(engine, req.PromptTokens, req.MaxOutputTokens)
	b.ledger(req.Service).RecordOffer(now, share.CustomerOf(req.Customer), use, refused != "")
	switch {
	case refused == Costly && a.usual <= req.value():
		b.noteReduced(now, req, "costly")
	case refused == "" && a.usual > req.value():
		countShare("favoured")
	}
}

// crowding returns the part of a choice's cost that is due to a lack of capacity: what other requests lose, and what the request
// loses by waiting, as its prefill takes only idle milliseconds on engines without other work.
func (c choice) crowding(req Requirements, idle float64) float64 {
	return c.othersLoss + max(0, req.loss(c.firstEvent)-req.loss(idle))
}

// lastSlotsPrice returns the price of one of the engine's slots for a customer over its share, as a part of the request's value. It grows
// from nothing at fewSlotsFrom to 1 when all slots are in use, so that there are slots left for the other customers: requests wait
// for a slot until an answer ends, and the cost of a choice shows that only after the last slot is taken.
func (s *targetState) lastSlotsPrice() float64 {
	slots := s.schedule.Engine.Slots
	if slots <= 0 {
		return 0 // there is no limit
	}
	return above(float64(s.runningCount())/float64(slots), fewSlotsFrom)
}

// overShare returns for how long the customer of a request to a plain service is to wait, as all slots are in use and it uses far
// more than its share; else zero. The more requests wait for slots, the less of its share a customer may use.
func (b *Board) overShare(now clock.Millis, req Requirements, targets []*targetState) clock.Millis {
	if req.Begun || !b.sharesInForce() {
		return 0
	}
	wait := b.shareWait(now, req, targets)
	b.ledger(req.Service).RecordOffer(now, share.CustomerOf(req.Customer), 1, wait > 0)
	return wait
}

// shareWait is overShare while customers have shares.
func (b *Board) shareWait(now clock.Millis, req Requirements, targets []*targetState) clock.Millis {
	running, slots := 0, 0
	for _, s := range targets {
		if s.runningCount() < max(s.Slots, 1) {
			return 0
		}
		running += s.runningCount()
		slots += max(s.Slots, 1)
	}
	ledger, capacity := b.ledger(req.Service), b.plainCapacity(now, req.Service, targets, slots)
	customer := share.CustomerOf(req.Customer)
	excess := ledger.Excess(now, customer, b.weightOf(req), capacity)
	over := excess * float64(running) / float64(slots) / refusedExcess
	if over <= 1 || excess < leastExcess || !ledger.Contended(now, capacity) || ledger.Starved(customer) {
		return 0
	}
	b.noteReduced(now, req, "slots")
	return min(max(minShareWait, clock.Millis(math.Log(over)*float64(share.Window))), maxShareWait) // by then its use has decayed so far
}

// plainCapacity returns how many requests to a plain service its targets answer within share.Window while all slots are in use: as
// many as they have answered, or as the answer times tell, which contain the wait for a slot. While neither is known, that is one
// for each slot.
func (b *Board) plainCapacity(now clock.Millis, service string, targets []*targetState, slots int) float64 {
	slowest := 0.0
	for _, s := range targets {
		slowest = max(slowest, s.recentAnswerTime(now))
	}
	if slowest == 0 {
		slowest = float64(share.Window)
	}
	return max(b.ledger(service).Ended(now), float64(slots)*float64(share.Window)/slowest)
}

// recordEnd records that a request to a plain service has ended.
func (b *Board) recordEnd(now clock.Millis, k requestKey) {
	r := b.requests[k]
	if r == nil || !b.sharesInForce() {
		return
	}
	s := b.targets[r.targets[0]]
	if s == nil || s.Service == "" {
		return
	}
	if _, isEngine := b.Engine(s.Service); !isEngine {
		b.ledger(s.Service).RecordEnd(now)
	}
}

// noteReduced records that a request is refused that would be placed if its customer used no more than its share.
func (b *Board) noteReduced(now clock.Millis, req Requirements, reason string) {
	countShare(reason)
	k := reducedKey{service: req.Service, customer: req.Customer}
	_, known := b.shares.reduced[k]
	if !known && len(b.shares.reduced) >= maxReduced {
		return
	}
	b.shares.reduced[k] = now
	if !known {
		slog.Info("customer over its share", "service", k.service, "customer", k.customer, "reason", reason)
	}
}

// forgetReduced ends the reduction of customers none of whose requests has been refused lately for its share.
func (b *Board) forgetReduced(now clock.Millis) {
	for k, at := range b.shares.reduced {
		if now-at > reducedWindow {
			delete(b.shares.reduced, k)
			slog.Info("customer within its share again", "service", k.service, "customer", k.customer)
		}
	}
}

// countShare counts a request whose placement its customer's share has decided.
func countShare(reason string) {
	metrics.GetOrCreateCounter(`pier_board_share_total{reason="` + reason + `"}`).Inc()
}
