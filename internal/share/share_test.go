package share

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const noLimit = math.MaxFloat64 // capacity of a service whose capacity is not known

// drawClaims draws the demands of customers.
func drawClaims(t *rapid.T) []claim {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) claim {
		w, err := WeightOf(rapid.Float64Range(0, 80).Draw(t, "priority"))
		if err != nil {
			t.Fatal(err)
		}
		return claim{weight: float64(w), demand: rapid.Float64Range(1e-3, 1e6).Draw(t, "demand")}
	}), 1, 40).Draw(t, "claims")
}

// Guards against: capacity that no customer is entitled to though some demand it, shares that sum to more than the capacity, and a
// customer that gets less than its demand and less than its part by weight.
func TestSharesSumToCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		demand, weights := 0.0, 0.0
		for _, c := range claims {
			demand += c.demand
			weights += c.weight
		}
		capacity := demand * rapid.Float64Range(0.001, 2).Draw(t, "part")
		level := maxMinLevel(claims, capacity)
		sum := 0.0
		for _, c := range claims {
			granted := min(c.demand, level*c.weight)
			if granted < min(c.demand, capacity*c.weight/weights)*(1-1e-6) {
				t.Fatalf("%v of demand %v, weight %v of %v, capacity %v", granted, c.demand, c.weight, weights, capacity)
			}
			sum += granted
		}
		if want := min(demand, capacity); math.Abs(sum-want) > 1e-6*want {
			t.Fatalf("shares sum to %v, want %v", sum, want)
		}
	})
}

// Guards against: a factor that is out of bounds or not a number, or that raises the price of a customer whose use is below its part
// by weight, whatever others use and however records are ordered.
func TestFactorWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		now := clock.Minute
		for range rapid.IntRange(0, 60).Draw(t, "records") {
			now += clock.Millis(rapid.IntRange(-20, 3000).Draw(t, "step"))
			c := Customer(rapid.IntRange(1, 8).Draw(t, "customer"))
			w, err := WeightOf(rapid.Float64Range(0, 100).Draw(t, "priority"))
			if err != nil {
				t.Fatal(err)
			}
			l.Record(now, clock.Millis(rapid.IntRange(-5, 5000).Draw(t, "age")), c, w, rapid.Float64().Draw(t, "amount"))
		}
		now += levelValidity // so that the level is computed for now
		capacity := rapid.Float64Range(1, 1e9).Draw(t, "capacity")
		total, sum := 0.0, 0.0
		for _, a := range l.accounts {
			total += a.decayed(now)
			sum += float64(a.weight)
		}
		for c, a := range l.accounts {
			f := l.Factor(now, c, 0, capacity)
			if !(f >= minFactor && f <= maxFactor) {
				t.Fatalf("factor %v", f)
			}
			if part := min(total, capacity) * float64(a.weight) / sum; a.decayed(now) < part*(1-1e-6) && f > 1 {
				t.Fatalf("use %v of a part of %v has factor %v", a.decayed(now), part, f)
			}
		}
	})
}

// Guards against: starvation or idle capacity under a load that shares reduce. In each step customers use the service as far as their
// factors let them, until it is full; over time each gets its demand or its part by weight, and the whole is used.
func TestNoStarvation(t *testing.T) {
	const (
		capacity = 100.0 // in a step
		step     = 20 * clock.Millis(1)
		steps    = 600
	)
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		for i := range claims {
			claims[i].weight = float64(Weight(1 / math.Pow(2, float64(i%3))))
			claims[i].demand = rapid.Float64Range(0.01, 300).Draw(t, "rate")
		}
		var l Ledger
		used := make([]float64, len(claims))
		now := clock.Minute
		for n := range steps {
			now += step
			left := capacity
			order := make([]int, len(claims))
			factors := make([]float64, len(claims))
			for i, c := range claims {
				order[i], factors[i] = i, l.Factor(now, Customer(i+1), Weight(c.weight), noLimit)
			}
			slices.SortFunc(order, func(a, b int) int { return cmp.Compare(factors[a], factors[b]) })
			for _, i := range order { // the price rises until what is left is used
				got := min(left, claims[i].demand)
				left -= got
				l.Record(now, 0, Customer(i+1), Weight(claims[i].weight), got)
				l.RecordOffer(now, Customer(i+1), got, false)
				l.RecordOffer(now, Customer(i+1), claims[i].demand-got, true)
				if n >= steps/2 {
					used[i] += got
				}
			}
		}
		demand, weights, sum := 0.0, 0.0, 0.0
		for i, c := range claims {
			demand += c.demand
			weights += c.weight
			sum += used[i]
		}
		if want := min(demand, capacity) * steps / 2; sum < 0.9*want {
			t.Fatalf("%v used, of %v that are demanded", sum, want)
		}
		for i, c := range claims {
			if want := min(c.demand, capacity*c.weight/weights) * steps / 2; used[i] < 0.25*want {
				t.Fatalf("customer %d of %v used %v, is entitled to %v", i, claims, used[i], want)
			}
		}
	})
}

// One customer, or none, has no share, and its price is the usual one.
func TestAloneOrIdle(t *testing.T) {
	is := is.New(t)
	var l Ledger
	is.Equal(l.Factor(0, 1, 1, noLimit), 1.0)
	l.Record(20, 0, 1, 1, 5000)
	is.Equal(l.Factor(20, 1, 1, noLimit), 1.0)
	is.Equal(l.Factor(20, 2, 1, noLimit), minFactor) // another customer, that has none of it yet
	l.Record(40, 0, 2, 1, 100)
	is.True(l.Factor(40, 1, 1, noLimit) > 1)
	is.True(l.Factor(40, 2, 1, noLimit) < 1)
	is.Equal(l.Factor(clock.Hour, 1, 1, noLimit), 1.0) // nothing is used any more
}

// Weights move the shares: of two customers that use the same, the one of the lower priority is over its share.
func TestPriority(t *testing.T) {
	is := is.New(t)
	var l Ledger
	low, err := WeightOf(2)
	is.NoErr(err)
	is.Equal(low, Weight(0.25))
	l.Record(0, 0, 1, 1, 1000)
	l.Record(0, 0, 2, low, 1000)
	is.True(l.Factor(0, 1, 0, noLimit) < 1)
	is.Equal(l.Excess(0, 2, 0, noLimit), 1.25) // the other one demands 1.2 of its use, which leaves 800
	is.True(l.Factor(0, 2, 0, noLimit) > 1)
}

// Guards against: a priority from the configuration that makes a weight of zero, a negative or an infinite one, and so a share that
// is not a number.
func TestOddPriorities(t *testing.T) {
	is := is.New(t)
	for _, p := range []float64{-1, -1e300, math.Inf(1), math.Inf(-1), math.NaN(), 1e300, 2000} {
		_, err := WeightOf(p)
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, BadPriority)
	}
	for _, p := range []float64{0, 0.5, 1, 62, 100, 1000} {
		w, err := WeightOf(p)
		is.NoErr(err)
		is.True(w >= minWeight && w <= 1)
	}
	var l Ledger
	for _, w := range []Weight{0, -1, Weight(math.NaN()), Weight(math.Inf(1))} {
		l.Record(0, 0, 1, w, 10)
		is.Equal(l.accounts[1].weight, Weight(1))
	}
}

// Guards against: an amount from a damaged datagram that makes a customer's use infinite, or keeps it above its share for hours.
func TestOddAmounts(t *testing.T) {
	is := is.New(t)
	var l Ledger
	l.Record(0, 0, 2, 1, 1)
	for _, amount := range []float64{math.NaN(), -5, math.Inf(1), 1e300} {
		l.Record(0, 0, 1, 1, amount)
	}
	l.Record(0, -clock.Hour, 1, 1, 5)
	l.RecordOffer(0, 1, math.Inf(1), true)
	is.Equal(l.accounts[1].refused, maxAmount)
	is.Equal(l.accounts[1].use, 2*maxAmount)
}

// Guards against: customers beyond the bound that make the ledger grow, or that take the place of those with much use.
func TestManyCustomers(t *testing.T) {
	is := is.New(t)
	var l Ledger
	l.Record(0, 0, 1, 1, 1e5)
	for c := range Customer(3 * maxCustomers) {
		l.Record(clock.Millis(c/100), 0, c+10, 1, 10)
	}
	is.Equal(len(l.accounts), maxCustomers)
	is.True(l.accounts[1] != nil)
}

// A customer over its share pays more if it wants still more; one within its share does not, however much it wants: clients that
// retry gain nothing, and starve nobody.
func TestRefusedOffers(t *testing.T) {
	is := is.New(t)
	var l Ledger
	for c, use := range map[Customer]float64{1: 100, 2: 100, 3: 20} {
		l.Record(0, 0, c, 1, use)
		l.RecordOffer(0, c, use, false)
	}
	over, within := l.Factor(0, 1, 1, noLimit), l.Factor(0, 3, 1, noLimit)
	is.True(over > 1 && over < 2)
	is.True(within < 1)
	l.RecordOffer(0, 1, 300, true)
	l.RecordOffer(0, 3, 300, true)
	is.Equal(l.Factor(0, 1, 1, noLimit), maxFactor)
	is.Equal(l.Factor(0, 2, 1, noLimit), over)
	is.Equal(l.Factor(0, 3, 1, noLimit), within)
	l.RecordOffer(0, 1, math.NaN(), true)
	is.Equal(l.Factor(0, 1, 1, noLimit), maxFactor)
}

// A customer that is placed less than a quarter as often as all is not refused for its share, however much it is over it.
func TestStarved(t *testing.T) {
	is := is.New(t)
	var l Ledger
	for c, use := range map[Customer]float64{1: 100, 2: 10} {
		l.Record(0, 0, c, 1, use)
		l.RecordOffer(0, c, use, false)
	}
	l.RecordOffer(0, 1, 100, true)
	is.True(!l.Starved(1))
	is.True(l.Factor(0, 1, 1, noLimit) > 1)
	l.RecordOffer(0, 2, 5000, false)
	l.RecordOffer(0, 1, 500, true)
	is.True(l.Starved(1))
	is.Equal(l.Factor(0, 1, 1, noLimit), 1.0)
	is.True(!l.Starved(9)) // not known
}

// Customers whose hashes collide share one account; the others' shares do not depend on that.
func TestCollidingHashes(t *testing.T) {
	is := is.New(t)
	seen := make(map[Customer]string)
	var first, second string
	for n := 0; second == ""; n++ {
		name := fmt.Sprint("customer-", n)
		if other, ok := seen[CustomerOf(name)]; ok {
			first, second = other, name
		}
		seen[CustomerOf(name)] = name
	}
	var l Ledger
	l.Record(0, 0, CustomerOf(first), 1, 600)
	l.Record(0, 0, CustomerOf(second), 1, 600)
	l.Record(0, 0, CustomerOf("other"), 1, 600)
	is.Equal(len(l.accounts), 2)
	is.True(l.Factor(0, CustomerOf("other"), 1, noLimit) < 1)
	is.True(CustomerOf("") != 0) // an unknown customer is not the one without a name
}

// An instance that is killed while its customer holds much is not heard of any more: the customer is within its share again after a
// few times the window.
func TestUseDecays(t *testing.T) {
	is := is.New(t)
	var l Ledger
	use := func(now clock.Millis) {
		for c := range Customer(5) {
			l.Record(now, 0, c+1, 1, 10)
		}
	}
	l.Record(0, 0, 1, 1, 5000)
	var now clock.Millis
	for ; now < 2*clock.Second; now += 100 {
		use(now)
	}
	over := l.Factor(now, 1, 1, noLimit)
	is.True(over > 1)
	for ; now < 12*clock.Second; now += 100 {
		use(now)
	}
	is.True(math.Abs(l.Factor(now, 1, 1, noLimit)-l.Factor(now, 2, 1, noLimit)) < 0.5)
}

// What has ended within the window is the capacity of a service that is in use, and decays with it.
func TestEnded(t *testing.T) {
	is := is.New(t)
	var l Ledger
	is.Equal(l.Ended(0), 0.0)
	for now := clock.Millis(0); now < 20*clock.Second; now += 100 {
		l.RecordEnd(now)
	}
	is.True(l.Ended(20*clock.Second) > 18 && l.Ended(20*clock.Second) < 21) // 10 per second
	is.True(l.Ended(40*clock.Second) < 0.01)
	l.Record(0, 0, 1, 1, 5)
	is.True(!l.Contended(0, noLimit))
	l.Record(20, 0, 2, 1, 5)
	is.True(l.Contended(20, noLimit))
}
