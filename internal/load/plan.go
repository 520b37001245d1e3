package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Class is a range of prompt lengths.
type Class string

// Classes of prompts.
const (
	Short  Class = "short"  // 1,000 to 8,000 tokens
	Medium Class = "medium" // 8,000 to 100,000 tokens
	Long   Class = "long"   // 100,000 to 1,000,000 tokens
)

// Classes returns all classes, shortest prompts first.
func Classes() []Class { return []Class{Short, Medium, Long} }

// classRange is the prompt length of a class, and the share of the requests that are
// of the class. Lengths are distributed log-uniformly over the range.
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
	halfPromptBytes      = 4096 // length of the first and of the second half of a prompt's text
	sharedPrefixShare    = 0.3  // share of prompts whose first half is one of the customer's documents
	documentsPerCustomer = 5    // that the prompts of a customer share as first halves
	largeCustomerShare   = 0.5  // share of requests that the large customers send
	largeCustomers       = 2
	customerPrefix       = "customer-"
)

// Workload describes the load to generate.
type Workload struct {
	Seed            uint64
	Duration        time.Duration
	TokensPerSecond float64                        // prompt tokens per second, on average while the rate factor is 1
	RateFactor      func(at time.Duration) float64 // multiplies the rate at a time of the run; nil for 1
	OmitLong        bool                           // omits the long prompts; the other arrivals stay the same
	Customers       int
	MaxOutputTokens int // of each request
}

// Arrival is a planned request.
type Arrival struct {
	At              time.Duration // since the start of the run
	Class           Class
	Customer        int // index, as CustomerName takes it
	PromptTokens    int
	MaxOutputTokens int
	Prompt          string
}

// Plan draws the arrivals of a workload as a Poisson process. A rate that varies is
// obtained by thinning: arrivals are drawn at the peak rate, and dropped at random.
// The same workload gives the same arrivals.
func Plan(workload Workload) []Arrival {
	random := rand.New(rand.NewPCG(workload.Seed, workload.Seed))
	rate := workload.TokensPerSecond / meanPromptTokens()
	var all []Arrival
	for seconds := 0.0; ; {
		seconds += random.ExpFloat64() / (rate * workload.peakRateFactor())
		at := time.Duration(seconds * float64(time.Second))
		if at >= workload.Duration {
			break
		}
		a := drawArrival(random, workload, at)
		thinned := random.Float64() >= workload.rateFactor(at)/workload.peakRateFactor()
		if thinned || (workload.OmitLong && a.Class == Long) {
			continue
		}
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// rateFactor returns the rate factor at a time of the run.
func (w Workload) rateFactor(at time.Duration) float64 {
	if w.RateFactor == nil {
		return 1
	}
	return w.RateFactor(at)
}

// peakRateFactor returns the highest rate factor, sampled every 100 ms.
func (w Workload) peakRateFactor() float64 {
	peak := 0.0
	for at := time.Duration(0); at < w.Duration; at += 100 * time.Millisecond {
		peak = max(peak, w.rateFactor(at))
	}
	return peak
}

// drawArrival draws the class, length, customer and text of a request.
func drawArrival(random *rand.Rand, workload Workload, at time.Duration) Arrival {
	a := Arrival{At: at, MaxOutputTokens: workload.MaxOutputTokens}
	draw := random.Float64()
	for _, r := range classRanges {
		a.Class = r.class
		a.PromptTokens = int(r.minTokens * math.Pow(r.maxTokens/r.minTokens, random.Float64()))
		if draw -= r.share; draw < 0 {
			break
		}
	}
	a.Customer = largeCustomers + random.IntN(max(1, workload.Customers-largeCustomers))
	if random.Float64() < largeCustomerShare {
		a.Customer = random.IntN(largeCustomers)
	}
	a.Customer = min(a.Customer, workload.Customers-1)
	shared, document, unique := random.Float64() < sharedPrefixShare, random.IntN(documentsPerCustomer), random.Uint64()
	prefix := fillerText(unique)
	if shared {
		prefix = fillerText(uint64(a.Customer*documentsPerCustomer + document))
	}
	a.Prompt = prefix + fillerText(unique+1)
	return a
}

// meanPromptTokens returns the expected length of a prompt in tokens.
func meanPromptTokens() float64 {
	mean := 0.0
	for _, r := range classRanges {
		mean += r.share * (r.maxTokens - r.minTokens) / math.Log(r.maxTokens/r.minTokens)
	}
	return mean
}

// fillerText returns half of a prompt's text, which depends on the seed only.
func fillerText(seed uint64) string {
	word := time.Duration(seed).String() + " "
	return strings.Repeat(word, halfPromptBytes/len(word)+1)[:halfPromptBytes]
}
