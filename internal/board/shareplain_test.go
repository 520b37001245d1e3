package board

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/share"
)

// weighted gives customers equal shares at some boards.
func weighted(boards []*Board, customers ...string) {
	weights := make(map[share.Customer]share.Weight)
	for _, c := range customers {
		weights[share.CustomerOf(c)] = 1
	}
	for _, b := range boards {
		b.Loop.Call(func() { b.Weights = func() map[share.Customer]share.Weight { return weights } })
	}
}

// plainOf returns a request of a customer to a plain service.
func plainOf(customer string) Requirements {
	r := plain
	r.Customer = customer
	return r
}

// refusedForShare reports whether a request is refused since its customer is over its share; else it is placed.
func refusedForShare(t *testing.T, b *Board, customer string) bool {
	t.Helper()
	_, err := b.Place(plainOf(customer))
	var e *Error
	if err == nil {
		return false
	}
	if !errors.As(err, &e) || e.Kind != Share || e.Wait < minShareWait || e.Wait > maxShareWait {
		t.Fatal(err)
	}
	return true
}

// Pattern: one customer fills all slots of a plain service, through one instance. At another one it is refused, while the others
// still get a place in the targets' queues; with a free slot nobody is refused. The instance is killed while its requests run: its
// customer is served again when they are not heard of any more.
func TestPlainServiceFull(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 0)
	weighted(boards, "importer", "desk", "archive")
	const slots = 18 // 3 targets of 6
	place(t, boards[0], plainOf("desk"))
	place(t, boards[0], plainOf("archive"))
	for range slots - 3 {
		place(t, boards[0], plainOf("importer"))
	}
	waitDelivered(boards)
	is.True(!refusedForShare(t, boards[1], "importer")) // the last slot
	for _, s := range boards[1].targets {
		s.answerTime, s.lastAnswerAt = 5000, clock.Now()
	}
	is.True(refusedForShare(t, boards[1], "importer"))
	is.True(!refusedForShare(t, boards[1], "desk"))
	is.True(!refusedForShare(t, boards[1], "another"))
	begun := plainOf("importer")
	begun.Begun = true
	_, err := boards[1].Place(begun)
	is.NoErr(err) // a stream that its caller has a part of is not cut
	boards[1].Loop.Call(func() {
		for k, r := range boards[1].requests {
			if k.owner == boards[0].Self {
				r.lastHeard -= instanceTimeout
			}
		}
		boards[1].rebroadcastAndExpire()
	})
	is.True(!refusedForShare(t, boards[1], "importer"))
}

// Guards against: shares that are not enabled and still refuse, or add to what is broadcast; a placement of an earlier build, which
// names no customer, that is counted for one.
func TestSharesNotInForce(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 1, 0)
	b := boards[0]
	for range 40 {
		is.True(!refusedForShare(t, b, "importer"))
	}
	is.True(!refusedForShare(t, b, "desk"))
	b.Loop.Call(func() {
		is.Equal(len(b.shares.ledgers), 0)
		for _, r := range b.ownRequests {
			is.Equal(r.Customer, share.Customer(0))
		}
	})
	weighted(boards, "importer", "desk")
	b.Loop.Call(func() {
		b.applyPacket(clock.Now(), packet{From: "entry-9", Placed: []ActiveRequest{{Number: 1, Target: "plain-0"}}})
		is.Equal(len(b.shares.ledgers), 0)
	})
	is.True(!refusedForShare(t, b, "importer")) // nobody else uses the service, as far as is known
	b.Loop.Call(func() { is.True(b.ownRequests[b.lastNumber].Customer != 0) })
}

// Guards against: a placement that is heard again each second, or late, that counts more than once or as if it were new; a customer
// of another type that ends the loop.
func TestHeardUse(t *testing.T) {
	is := is.New(t)
	b := newBoards(t, 1, 0)[0]
	weighted([]*Board{b}, "importer", "desk")
	importer, desk := share.CustomerOf("importer"), share.CustomerOf("desk")
	b.Loop.Call(func() {
		for range 5 {
			b.applyPacket(clock.Now(), packet{From: "entry-9", Placed: []ActiveRequest{{Number: 1, Target: "plain-0", Customer: importer}}})
		}
		b.applyPacket(clock.Now(), packet{From: "entry-9", Placed: []ActiveRequest{{Number: 2, Target: "plain-0", Customer: desk, Age: 2 * share.Window}}})
		b.applyPacket(clock.Now(), packet{From: "entry-9", Placed: []ActiveRequest{{Number: 3, Target: "unknown", Customer: desk}}})
		now := clock.Now()
		ratio := b.ledger("desk").Excess(now, importer, 1, 1e9) / b.ledger("desk").Excess(now, desk, 1, 1e9)
		is.True(ratio > 7 && ratio < 7.8) // e^2
		is.Equal(len(b.shares.ledgers), 1)
	})
	odd, err := cbor.Marshal(map[int]any{1: "entry-9", 2: []any{map[int]any{1: 9, 2: "plain-0", 11: "importer"}}})
	is.NoErr(err)
	b.Receive(odd)
	b.Loop.Call(func() { is.True(b.requests[requestKey{"entry-9", 9}] == nil) })
}

// plainTarget is a target of a plain service in a simulated load: it runs as many requests as it has slots, and queues the others.
type plainTarget struct {
	queue []*plainRequest // the first ones run
}

// plainRequest is a request at a plainTarget.
type plainRequest struct {
	key     requestKey
	by      string
	arrived clock.Millis
	left    clock.Millis
}

// plainLoad is a load on three plain targets of six slots each.
type plainLoad struct {
	takes  clock.Millis // time of each request in a slot
	one    float64      // requests per second of one customer
	others float64      // requests per second of 23 others together
}

// playPlain plays two minutes of a load. It returns the mean time to an answer of the others' requests, the parts of the requests
// of the one and of the others that were answered and not refused, and the part of the slots that was in use.
func playPlain(t *testing.T, load plainLoad, shares bool) (mean clock.Millis, one, others, used float64) {
	t.Helper()
	const (
		step   = 5 * clock.Millis(1)
		length = 2 * clock.Minute
		slots  = 6
	)
	boards := newBoards(t, 1, 0)
	names := []string{"importer"}
	for i := range 23 {
		names = append(names, fmt.Sprint("customer-", i))
	}
	if shares {
		weighted(boards, names...)
	}
	b := boards[0]
	b.Loop.Call(func() { b.Broadcast = func([]byte) {} })
	rng := rand.New(rand.NewPCG(1, 0))
	targets := make(map[string]*plainTarget)
	for i := range 3 {
		targets[fmt.Sprint("plain-", i)] = &plainTarget{}
	}
	refused, served := make(map[bool]float64), make(map[bool]float64)
	var total clock.Millis
	start := clock.Now() + clock.Hour
	for now := start; now < start+length; now += step {
		for id, target := range targets {
			kept := target.queue[:0]
			for i, r := range target.queue {
				if i < slots {
					r.left -= step
					used++
				}
				if r.left > 0 {
					kept = append(kept, r)
					continue
				}
				b.recordEnd(now, r.key)
				b.removeRequest(r.key)
				delete(b.ownRequests, r.key.number)
				s := b.targets[id]
				s.answerTime, s.lastAnswerAt = s.answerTime+answerTimeWeight*(float64(now-r.arrived)-s.answerTime), now
				served[r.by == names[0]]++
				if r.by != names[0] {
					total += now - r.arrived
				}
			}
			target.queue = kept
		}
		for _, name := range names {
			rate := load.others / 23
			if name == names[0] {
				rate = load.one
			}
			if rng.Float64() >= rate*step.Seconds() {
				continue
			}
			p, err := b.place(now, plainOf(name))
			if err != nil {
				refused[name == names[0]]++
				continue
			}
			target := targets[p.Target.ID]
			target.queue = append(target.queue, &plainRequest{key: requestKey{b.Self, p.number}, by: name, arrived: now, left: load.takes})
		}
	}
	used /= 3 * slots * float64(length/step)
	return total / clock.Millis(served[false]), served[true] / (served[true] + refused[true]), served[false] / (served[false] + refused[false]), used
}

// Pattern: one customer sends far more than usual to a plain service, beside others of large or small demand, with short and long
// requests. Without shares the targets' queues grow without end; with them the others' answers come in time, and the slots stay in
// use.
func TestSurgeAtPlainService(t *testing.T) {
	for name, load := range map[string]plainLoad{
		"7.5 times":     {takes: 300, one: 7.5 * surgeFactor, others: 42.5},
		"small others":  {takes: 300, one: 100, others: 3},
		"long requests": {takes: 4000, one: 10, others: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			without, _, _, _ := playPlain(t, load, false)
			with, one, others, used := playPlain(t, load, true)
			t.Logf("mean answer of the others: without shares %v, with %v; answered of the one %.2f, of the others %.2f; slots used %.2f",
				without, with, one, others, used)
			is.True(without > 5*load.takes)
			is.True(with <= 3*load.takes)
			is.True(others >= keptService)
			is.True(used >= 0.9)
			is.True(one >= starvedBelow*(load.one*one+load.others*others)/(load.one+load.others))
		})
	}
}

// The weight of a request is that of its customer's priority, or else of its route's; an odd one counts as none.
func TestWeightOfRequest(t *testing.T) {
	is := is.New(t)
	b := &Board{Weights: func() map[share.Customer]share.Weight {
		return map[share.Customer]share.Weight{share.CustomerOf("importer"): 0.25}
	}}
	is.Equal(b.weightOf(Requirements{Customer: "importer", Priority: 1}), share.Weight(0.25))
	is.Equal(b.weightOf(Requirements{Customer: "desk", Priority: 1}), share.Weight(0.5))
	is.Equal(b.weightOf(Requirements{Customer: "desk"}), share.Weight(1))
	is.Equal(b.weightOf(Requirements{Customer: "desk", Priority: -3}), share.Weight(1))
}

// Guards against: memory and log lines that grow with the names of customers that are refused for their shares.
func TestReducedBounded(t *testing.T) {
	is := is.New(t)
	b := &Board{}
	b.Init()
	for i := range 3 * maxReduced {
		b.noteReduced(0, plainOf(fmt.Sprint("customer-", i)), "slots")
	}
	is.Equal(len(b.shares.reduced), maxReduced)
	b.forgetReduced(reducedWindow)
	is.Equal(len(b.shares.reduced), maxReduced)
	b.forgetReduced(reducedWindow + 1)
	is.Equal(len(b.shares.reduced), 0)
}
