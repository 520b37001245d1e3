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

// Result is what a caller saw of one request.
type Result struct {
	Arrival          Arrival
	TimeToFirstToken time.Duration // from the planned arrival
	TotalTime        time.Duration // from the planned arrival
	MeanTokenGap     time.Duration // mean time between tokens
	Tries            int
	Ran              wire.Ran
	Reason           wire.Reason // empty for a whole answer
}

// Runner sends planned requests.
type Runner struct {
	EntryAddrs []string
	ProfileFor func(c Class) string
	Warmup     time.Duration // results of earlier arrivals are left out
}

// Run sends every request at its time, whatever became of the earlier ones, and waits for all answers.
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

// CustomerName names the customers of a planned load.
func CustomerName(i int) string { return customerPrefix + strconv.Itoa(i) }
