package load

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/corianderpier/corianderpier/pkg/pier"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// Result is the outcome of one request as the caller saw it.
type Result struct {
	Arrival          Arrival
	TimeToFirstToken time.Duration // from the planned arrival
	TotalTime        time.Duration // from the planned arrival
	MeanTokenGap     time.Duration // after the first token
	Tries            int
	Ran              wire.Ran
	Reason           wire.Reason // of the failure; empty for a complete answer
}

// Runner sends the requests of a plan.
type Runner struct {
	EntryAddrs []string
	ProfileFor func(c Class) string
	Warmup     time.Duration // results of arrivals before this time are omitted
}

// Run sends every request at its planned time, whether or not earlier ones have been
// answered, and waits for all answers.
func (r *Runner) Run(ctx context.Context, plan []Arrival) []Result {
	clients := make(map[int]*pier.Client)
	for _, a := range plan {
		if clients[a.Customer] == nil {
			clients[a.Customer] = &pier.Client{Seeds: r.EntryAddrs, Customer: CustomerName(a.Customer)}
		}
	}
	results := make([]Result, len(plan))
	var group sync.WaitGroup
	start := time.Now()
	for i, a := range plan {
		if wait := a.At - time.Since(start); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		group.Go(func() { results[i] = r.send(ctx, clients[a.Customer], a, start.Add(a.At)) })
	}
	group.Wait()
	var counted []Result
	for _, result := range results {
		if result.Arrival.At >= r.Warmup {
			counted = append(counted, result)
		}
	}
	return counted
}

// send sends one request and waits for its answer.
func (r *Runner) send(ctx context.Context, client *pier.Client, a Arrival, planned time.Time) Result {
	sent := time.Now()
	answer, err := client.Complete(ctx, wire.Completion{
		Profile: r.ProfileFor(a.Class), Prompt: a.Prompt, PromptTokens: a.PromptTokens, MaxTokens: a.MaxOutputTokens,
	})
	result := Result{Arrival: a, TotalTime: time.Since(planned), TimeToFirstToken: sent.Sub(planned) + answer.TimeToFirstToken, Tries: answer.Tries, Ran: wire.RanYes}
	if err == nil {
		if a.MaxOutputTokens > 1 {
			result.MeanTokenGap = (result.TotalTime - result.TimeToFirstToken) / time.Duration(a.MaxOutputTokens-1)
		}
		return result
	}
	result.Reason = "broken"
	var e *pier.Error
	if errors.As(err, &e) {
		result.Ran = e.Problem.Ran
		if e.Problem.Reason != "" {
			result.Reason = e.Problem.Reason
		}
	}
	return result
}

// CustomerName returns the name of customer i of a workload.
func CustomerName(i int) string { return customerPrefix + strconv.Itoa(i) }
