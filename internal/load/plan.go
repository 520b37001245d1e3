package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Class groups prompts by length.
type Class string

// The classes.
const (
	Short  Class = "short"  // up to 8,000 tokens
	Medium Class = "medium" // up to 100,000 tokens
	Long   Class = "long"   // above
)

// Classes lists the classes by length.
func Classes() []Class { return []Class{Short, Medium, Long} }

// band is the range of tokens of a class, and its share of the requests.
type band struct {
	class     Class
	low, high float64
	share     float64
}

var bands = []band{
	{Short, 1_000, 8_000, 0.70},
	{Medium, 8_000, 100_000, 0.28},
	{Long, 100_000, 1_000_000, 0.02},
}

const (
	prefixBytes  = 4096
	sharedShare  = 0.3 // of the prompts begin with a document that others of the customer begin with
	documents    = 5   // of each customer
	largeShare   = 0.5 // of the requests come from the large customers
	largeCount   = 2
	customerBase = "customer-"
)

// Workload describes a load.
type Workload struct {
	Seed            uint64
	Duration        time.Duration
	TokensPerSecond float64                        // prompt tokens a second, on average
	RateFactor      func(at time.Duration) float64 // factor of the rate over time; nil for 1
	OmitLong        bool                           // leaves out the long prompts, and changes nothing else
	Customers       int
	MaxOutputTokens int // tokens to generate
}

// Arrival is one planned request.
type Arrival struct {
	At              time.Duration
	Class           Class
	Customer        int
	PromptTokens    int
	MaxOutputTokens int
	Prompt          string
}

// Plan draws the arrivals of a shape; the same shape gives the same arrivals.
func Plan(s Workload) []Arrival {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	rate := s.TokensPerSecond / meanTokens()
	var all []Arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / (rate * s.peak())
		when := time.Duration(at * float64(time.Second))
		if when >= s.Duration {
			break
		}
		a := arrival(random, s, when)
		thinned := random.Float64() >= s.factor(when)/s.peak()
		if thinned || (s.OmitLong && a.Class == Long) {
			continue
		}
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

func (s Workload) factor(at time.Duration) float64 {
	if s.RateFactor == nil {
		return 1
	}
	return s.RateFactor(at)
}

// peak is the highest factor of the shape.
func (s Workload) peak() float64 {
	high := 0.0
	for at := time.Duration(0); at < s.Duration; at += 100 * time.Millisecond {
		high = max(high, s.factor(at))
	}
	return high
}

func arrival(random *rand.Rand, s Workload, at time.Duration) Arrival {
	a := Arrival{At: at, MaxOutputTokens: s.MaxOutputTokens}
	dice := random.Float64()
	for _, b := range bands {
		a.Class = b.class
		a.PromptTokens = int(b.low * math.Pow(b.high/b.low, random.Float64()))
		if dice -= b.share; dice < 0 {
			break
		}
	}
	a.Customer = largeCount + random.IntN(max(1, s.Customers-largeCount))
	if random.Float64() < largeShare {
		a.Customer = random.IntN(largeCount)
	}
	a.Customer = min(a.Customer, s.Customers-1)
	shared, document, unique := random.Float64() < sharedShare, random.IntN(documents), random.Uint64()
	prefix := filler(unique)
	if shared {
		prefix = filler(uint64(a.Customer*documents + document))
	}
	a.Prompt = prefix + filler(unique+1)
	return a
}

// meanTokens is the expected length of a prompt.
func meanTokens() float64 {
	mean := 0.0
	for _, b := range bands {
		mean += b.share * (b.high - b.low) / math.Log(b.high/b.low)
	}
	return mean
}

func filler(seed uint64) string {
	word := time.Duration(seed).String() + " "
	return strings.Repeat(word, prefixBytes/len(word)+1)[:prefixBytes]
}
