package share

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// minWeight is the least weight of a valid priority. It keeps quotients of uses and weights finite.
const minWeight Weight = 1.0 / (1 << 62)

// Weight is a customer's part in relation to the parts of others. The zero value means that the customer is not weighted.
type Weight float64

// WeightOf returns the weight of a priority: each step from 0, the highest, halves it.
func WeightOf(priority float64) (Weight, error) {
	w := Weight(math.Exp2(-priority))
	if !(priority >= 0) || !w.valid() { // also false for NaN
		return 0, &Error{Op: "weight", Kind: BadPriority, Value: priority}
	}
	return max(w, minWeight), nil
}

// valid reports whether a weight is a positive finite number.
func (w Weight) valid() bool { return w > 0 && !math.IsInf(float64(w), 1) }

// Customer identifies a customer by a hash of its name; zero is an unknown one. Customers whose hashes collide are accounted for as
// one.
type Customer uint32

// CustomerOf returns the identity of the customer of a name, which is not zero. Requests without a name are those of one customer.
func CustomerOf(name string) Customer {
	return Customer(max(1, uint32(xxhash.Sum64String(name))))
}
