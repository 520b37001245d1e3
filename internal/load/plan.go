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

// classRange is the range of tokens of a class, and its share of the requests.
type classRange struct {
	class                Class
	minTokens, maxTokens float64
	share                float64
}

var classRanges = []classRange{
	{Short, 1_000, 8_000, 0.70},
	{Medium, 8_000, 100_000, 0.28},
	{Long, 100_000, 1_000_000, 0.02},
}

const (
	prefixBytes          = 4096
	sharedPrefixShare    = 0.3 // of the prompts begin with a document that others of the customer begin with
	documentsPerCustomer = 5   // of each customer
	largeCustomerShare   = 0.5 // of the requests come from the large customers
	largeCustomers       = 2
	customerPrefix       = "customer-"
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
	rate := s.TokensPerSecond / meanPromptTokens()
	var all []Arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / (rate * s.peakRateFactor())
		when := time.Duration(at * float64(time.Second))
		if when >= s.Duration {
			break
		}
		a := drawArrival(random, s, when)
		thinned := random.Float64() >= s.rateFactor(when)/s.peakRateFactor()
		if thinned || (s.OmitLong && a.Class == Long) {
			continue
		}
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

func (s Workload) rateFactor(at time.Duration) float64 {
	if s.RateFactor == nil {
		return 1
	}
	return s.RateFactor(at)
}

// peakRateFactor is the highest factor of the shape.
func (s Workload) peakRateFactor() float64 {
	high := 0.0
	for at := time.Duration(0); at < s.Duration; at += 100 * time.Millisecond {
		high = max(high, s.rateFactor(at))
	}
	return high
}

func drawArrival(random *rand.Rand, s Workload, at time.Duration) Arrival {
	a := Arrival{At: at, MaxOutputTokens: s.MaxOutputTokens}
	dice := random.Float64()
	for _, b := range classRanges {
		a.Class = b.class
		a.PromptTokens = int(b.minTokens * math.Pow(b.maxTokens/b.minTokens, random.Float64()))
		if dice -= b.share; dice < 0 {
			break
		}
	}
	a.Customer = largeCustomers + random.IntN(max(1, s.Customers-largeCustomers))
	if random.Float64() < largeCustomerShare {
		a.Customer = random.IntN(largeCustomers)
	}
	a.Customer = min(a.Customer, s.Customers-1)
	shared, document, unique := random.Float64() < sharedPrefixShare, random.IntN(documentsPerCustomer), random.Uint64()
	prefix := fillerText(unique)
	if shared {
		prefix = fillerText(uint64(a.Customer*documentsPerCustomer + document))
	}
	a.Prompt = prefix + fillerText(unique+1)
	return a
}

// meanPromptTokens is the expected length of a prompt.
func meanPromptTokens() float64 {
	mean := 0.0
	for _, b := range classRanges {
		mean += b.share * (b.maxTokens - b.minTokens) / math.Log(b.maxTokens/b.minTokens)
	}
	return mean
}

func fillerText(seed uint64) string {
	word := time.Duration(seed).String() + " "
	return strings.Repeat(word, prefixBytes/len(word)+1)[:prefixBytes]
}
