package load

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/pkg/wire"
)

func testWorkload() Workload {
	return Workload{Seed: 5, Duration: 100 * time.Second, TokensPerSecond: 1_000_000, Customers: 10, MaxOutputTokens: 40}
}

// The same workload gives the same arrivals, and another seed gives others.
func TestPlanIsRepeatable(t *testing.T) {
	is := is.New(t)
	first, second := Plan(testWorkload()), Plan(testWorkload())
	is.Equal(first, second)
	other := testWorkload()
	other.Seed = 6
	is.True(len(Plan(other)) != len(first) || Plan(other)[0] != first[0])
}

// One prompt in fifty is long, the token rate is the requested one, and omitting the
// long prompts leaves the others unchanged.
func TestPlanMeetsWorkload(t *testing.T) {
	is := is.New(t)
	plan := Plan(testWorkload())
	tokens, long := 0, 0
	for _, a := range plan {
		tokens += a.PromptTokens
		if a.Class == Long {
			long++
			is.True(a.PromptTokens >= 100_000 && a.PromptTokens <= 1_000_000)
		}
	}
	share := float64(long) / float64(len(plan))
	is.True(share > 0.015 && share < 0.025)
	perSecond := float64(tokens) / 100
	is.True(perSecond > 900_000 && perSecond < 1_100_000)
	without := testWorkload()
	without.OmitLong = true
	is.Equal(len(Plan(without)), len(plan)-long)
}

// A summary counts each request once, and a plot has a line for each class that has
// answers.
func TestReport(t *testing.T) {
	is := is.New(t)
	results := []Result{
		{Arrival: Arrival{Class: Short, PromptTokens: 10}, TimeToFirstToken: time.Second, TotalTime: 2 * time.Second},
		{Arrival: Arrival{Class: Short}, TotalTime: 9 * time.Second, Reason: wire.ReasonDeadline, Ran: wire.RanUnknown},
		{Arrival: Arrival{Class: Short}, Reason: wire.ReasonOverload, Ran: wire.RanNo},
	}
	s := Summarise(results, func(Class) time.Duration { return 5 * time.Second })[0]
	is.Equal([]int{s.Offered, s.Succeeded, s.Refused, s.Failed, s.Late, s.SucceededTokens}, []int{3, 1, 1, 1, 1, 10})
	var svg strings.Builder
	is.NoErr(Plot(&svg, "title", results))
	is.True(strings.Contains(svg.String(), "<svg"))
	is.True(strings.Contains(svg.String(), "short (1)"))
}
