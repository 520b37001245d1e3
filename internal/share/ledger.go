package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Window is the time constant of the decay of use.
const Window = 2 * clock.Second

const (
	maxCustomers  = 1024                 // that are remembered; the one with the least use is dropped for a new one
	maxAmount     = 1e6                  // of one use; a larger one counts as this one
	minUse        = 1e-3                 // of all customers together, below which nothing counts as used
	activeShare   = 1e-4                 // of the whole use: a customer with less is not active
	levelValidity = 10 * clock.Millis(1) // for which a computed level is used again
	starvedBelow  = 0.25                 // of the part of all requests that are placed, below which a customer is starved
	minFactor     = 0.25                 // of a price
	maxFactor     = 4.0                  // of a price

	// demandFactor is the multiple of its use that a customer is taken to demand. With 1, a customer that crowds out the others
	// would be entitled to all that it has taken; with 1.5, customers that use a little more than an equal part pay as well.
	demandFactor = 1.2
)

// Ledger is the use of one service by its customers. The zero value is ready for use.
type Ledger struct {
	accounts map[Customer]*account
	all      account // of all customers together: offered and refused
	cached   level
	ended    float64 // uses that have ended, decayed to the time endedAt
	endedAt  clock.Millis
}

// account is the use of one customer.
type account struct {
	customer Customer
	weight   Weight
	use      float64      // of all instances that are heard, decayed to the time at
	offered  float64      // use that this instance was asked for, decayed in the same way
	refused  float64      // the part of offered that it has refused
	at       clock.Millis // of the last record
}

// level is the fair share of a customer of weight 1, as it was computed.
type level struct {
	use       float64 // zero if fewer than two customers are active
	activeUse float64 // use above which a customer is active
	at        clock.Millis
	capacity  float64 // for which it was computed
}

// Record adds a use of some age. A weight that is not valid, as the zero one, leaves that of the customer as it is.
func (l *Ledger) Record(now, age clock.Millis, c Customer, weight Weight, amount float64) {
	if !(amount >= 0) || age < 0 { // also if the amount is NaN
		return
	}
	a := l.account(now, c)
	if weight.valid() {
		a.weight = weight
	}
	a.advance(now)
	a.use += decay(min(amount, maxAmount), age)
}

// RecordOffer records that this instance was asked for a use, and whether it has refused that. A use that it has placed is recorded
// with Record too.
func (l *Ledger) RecordOffer(now clock.Millis, c Customer, amount float64, refused bool) {
	if !(amount >= 0) {
		return
	}
	for _, a := range []*account{l.account(now, c), &l.all} {
		a.advance(now)
		a.offered += min(amount, maxAmount)
		if refused {
			a.refused += min(amount, maxAmount)
		}
	}
}

// Starved reports whether this instance has placed a much smaller part of what it was asked for by a customer than of what it was
// asked for by all. That customer is not to be refused for its share.
func (l *Ledger) Starved(c Customer) bool {
	a := l.accounts[c]
	return a != nil && a.placedPart() < starvedBelow*l.all.placedPart()
}

// RecordEnd records that a use has ended.
func (l *Ledger) RecordEnd(now clock.Millis) {
	l.ended, l.endedAt = l.Ended(now)+1, max(l.endedAt, now)
}

// Ended returns how many uses have ended within Window.
func (l *Ledger) Ended(now clock.Millis) float64 { return decay(l.ended, max(0, now-l.endedAt)) }

// Contended reports whether several customers are active, given the capacity as for Excess.
func (l *Ledger) Contended(now clock.Millis, capacity float64) bool {
	return l.level(now, capacity).use > 0
}

// Factor returns the factor by which the price of a customer is multiplied: above 1 if its use exceeds its fair share, and below 1
// if it has a part of the share left. It is the square of Excess, so that the bounds are reached at twice the share and at half of
// it. The excess of a customer above its share is multiplied by what this instance was asked for in relation to what it has placed:
// that tells one that wants much more from one that just has a large part. A starved customer pays no more than the usual price.
// See Excess for the arguments.
func (l *Ledger) Factor(now clock.Millis, c Customer, weight Weight, capacity float64) float64 {
	excess := l.Excess(now, c, weight, capacity)
	if a := l.accounts[c]; a != nil && excess > 1 && a.refused > 0 {
		excess *= a.offered / max(a.offered-a.refused, minUse)
	}
	if excess > 1 && l.Starved(c) {
		return 1
	}
	return min(max(excess*excess, minFactor), maxFactor)
}

// Excess returns the use of a customer as a multiple of its fair share. The capacity is what the service can do within Window; all
// use together counts as the capacity if it is smaller. The result is 1 if no other customer is active. A weight that is not valid
// stands for that of the customer's last use.
func (l *Ledger) Excess(now clock.Millis, c Customer, weight Weight, capacity float64) float64 {
	level := l.level(now, capacity)
	a := l.accounts[c]
	switch {
	case level.activeUse == 0:
		return 1 // nothing is used
	case a == nil:
		return 0
	case level.use > 0 && weight.valid():
		return a.decayed(now) / (level.use * float64(weight))
	case level.use > 0:
		return a.decayed(now) / (level.use * float64(a.weight))
	case a.decayed(now) > level.activeUse:
		return 1
	default:
		return 0
	}
}

// decayed returns the use as of now. A use that was recorded for a later time counts as of that time.
func (a *account) decayed(now clock.Millis) float64 { return decay(a.use, max(0, now-a.at)) }

// placedPart returns the part of what this instance was asked for that it has not refused.
func (a *account) placedPart() float64 {
	if a.offered <= 0 {
		return 1
	}
	return 1 - a.refused/a.offered
}

// advance lets the use decay up to now.
func (a *account) advance(now clock.Millis) {
	age := max(0, now-a.at)
	a.use, a.offered, a.refused = decay(a.use, age), decay(a.offered, age), decay(a.refused, age)
	a.at += age
}

// decay returns what is left of a use after some time.
func decay(use float64, age clock.Millis) float64 {
	return use * math.Exp(-float64(age)/float64(Window))
}

// account returns the account of a customer. If there are too many, it opens one in place of that with the least use.
func (l *Ledger) account(now clock.Millis, c Customer) *account {
	if a := l.accounts[c]; a != nil {
		return a
	}
	if l.accounts == nil {
		l.accounts = make(map[Customer]*account)
	}
	if len(l.accounts) >= maxCustomers {
		l.dropLeast(now)
	}
	a := &account{customer: c, weight: 1, at: now}
	l.accounts[c] = a
	return a
}

// dropLeast closes the account with the least use.
func (l *Ledger) dropLeast(now clock.Millis) {
	var least *account
	for _, a := range l.accounts {
		if least == nil || a.decayed(now) < least.decayed(now) {
			least = a
		}
	}
	delete(l.accounts, least.customer)
}

// level returns the fair share of a customer of weight 1.
func (l *Ledger) level(now clock.Millis, capacity float64) level {
	age := now - l.cached.at
	if age < 0 || age >= levelValidity || capacity != l.cached.capacity {
		l.cached = l.divide(now, capacity)
	}
	return l.cached
}

// divide divides the capacity among the active customers.
func (l *Ledger) divide(now clock.Millis, capacity float64) level {
	result := level{at: now, capacity: capacity}
	total := 0.0
	for _, a := range l.accounts {
		total += a.decayed(now)
	}
	if total < minUse {
		return result
	}
	result.activeUse = activeShare * total
	claims := make([]claim, 0, len(l.accounts))
	for _, a := range l.accounts {
		if use := a.decayed(now); use > result.activeUse {
			claims = append(claims, claim{weight: float64(a.weight), demand: demandFactor * use})
		}
	}
	if len(claims) >= 2 {
		result.use = maxMinLevel(claims, min(total, capacity))
	}
	return result
}

// claim is what one customer demands of a capacity.
type claim struct {
	weight float64
	demand float64
}

// maxMinLevel returns the level of the weighted max-min shares of a capacity that does not cover all demands: min(demand, level x
// weight) over all claims sums to the capacity. If it covers them, the level is infinite.
func maxMinLevel(claims []claim, capacity float64) float64 {
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	weightsFrom := make([]float64, len(claims)) // sums, as differences of weights of very different size are not exact
	weights := 0.0
	for i, c := range slices.Backward(claims) {
		weights += c.weight
		weightsFrom[i] = weights
	}
	for i, c := range claims {
		if level := max(0, capacity) / weightsFrom[i]; c.demand/c.weight >= level {
			return level
		}
		capacity -= c.demand
	}
	return math.Inf(1)
}
