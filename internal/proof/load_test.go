package proof

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/stage"
	"github.com/corianderpier/corianderpier/pkg/pier"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// lateBound is how long after its deadline a request may be answered at most.
const lateBound = 500 * time.Millisecond

// outcome is what a caller was told of one request.
type outcome struct {
	key    string
	ran    wire.Ran
	reason wire.Reason
	err    error
	whole  bool // the caller has its own and whole answer
	took   time.Duration
}

// ranOf returns what an error says of whether the request ran.
func ranOf(err error) (wire.Ran, wire.Reason) {
	var e *pier.Error
	if errors.As(err, &e) {
		return e.Problem.Ran, e.Problem.Reason
	}
	return wire.RanUnknown, ""
}

// book sends one call with a key.
func book(ctx context.Context, c *pier.Client, key string) outcome {
	start := time.Now()
	result, err := c.Call(ctx, wire.Call{Profile: "hold", Body: "body of " + key}, key)
	o := outcome{key: key, err: err, took: time.Since(start), ran: result.Ran}
	if err != nil {
		o.ran, o.reason = ranOf(err)
		return o
	}
	o.whole = result.Body == fake.Receipt(key, "body of "+key)
	return o
}

// read sends one prompt.
func read(ctx context.Context, c *pier.Client, profile, name string, tokens, output int) outcome {
	start := time.Now()
	prompt := strings.Repeat(name+" ", 10)
	answer, err := c.Complete(ctx, wire.Completion{Profile: profile, Prompt: prompt, PromptTokens: tokens, MaxTokens: output})
	o := outcome{key: name, err: err, took: time.Since(start), ran: wire.RanYes}
	if err != nil {
		o.ran, o.reason = ranOf(err)
		return o
	}
	o.whole = answer.Text == fake.CompletionText(prompt, output)
	return o
}

// tally collects outcomes.
type tally struct {
	mu  sync.Mutex
	all []outcome
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, o)
}

// summary counts the outcomes by what was told.
func (t *tally) summary() string {
	counts := make(map[string]int)
	for _, o := range t.all {
		if o.err == nil {
			counts["whole"]++
			continue
		}
		counts[string(o.ran)+" "+string(o.reason)]++
	}
	return fmt.Sprint(len(t.all), " requests: ", counts)
}

// checkBookings fails the test if a key ran twice, a caller was told something untrue, or an answer was not whole.
func (t *tally) checkBookings(tb testing.TB, site *stage.Site) {
	tb.Helper()
	runs := make(map[string]int)
	for _, r := range site.Runs() {
		runs[r.Key]++
	}
	for key, n := range runs {
		if n > 1 {
			tb.Errorf("%s ran %d times", key, n)
		}
	}
	allNo := make(map[string]bool)
	for _, o := range t.all {
		if _, seen := allNo[o.key]; !seen {
			allNo[o.key] = true
		}
		if o.err != nil && o.ran == wire.RanNo {
			continue
		}
		allNo[o.key] = false
		if o.err == nil && !o.whole {
			tb.Errorf("%s: the answer is not its own", o.key)
		}
		if o.err == nil && runs[o.key] != 1 {
			tb.Errorf("%s: answered, and ran %d times", o.key, runs[o.key])
		}
	}
	for key, no := range allNo {
		if no && runs[key] > 0 {
			tb.Errorf("%s: every caller was told not run, and it ran", key)
		}
	}
}

// checkTimes fails the test if an answer came later than the deadline and the bound.
func (t *tally) checkTimes(tb testing.TB, deadline time.Duration) {
	tb.Helper()
	for _, o := range t.all {
		if o.took > deadline+lateBound {
			tb.Errorf("%s: answered after %v", o.key, o.took)
		}
	}
}

// checkWhole fails the test unless every request was answered whole.
func (t *tally) checkWhole(tb testing.TB) {
	tb.Helper()
	for _, o := range t.all {
		if !o.whole {
			tb.Errorf("%s: %v (whole: %v, after %v)", o.key, o.err, o.whole, o.took)
		}
	}
}
