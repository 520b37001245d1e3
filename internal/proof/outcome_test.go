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

// lateAllowance is how long after its deadline a request may be answered at most.
const lateAllowance = 500 * time.Millisecond

// outcome is what a caller was told of one request.
type outcome struct {
	key      string
	ran      wire.Ran
	reason   wire.Reason
	err      error
	complete bool // the caller has its own and whole answer
	duration time.Duration
}

// ranAndReason returns what an error says of whether the request ran.
func ranAndReason(err error) (wire.Ran, wire.Reason) {
	var e *pier.Error
	if errors.As(err, &e) {
		return e.Problem.Ran, e.Problem.Reason
	}
	return wire.RanUnknown, ""
}

// sendBooking sends one call with a key.
func sendBooking(ctx context.Context, c *pier.Client, key string) outcome {
	start := time.Now()
	result, err := c.Call(ctx, wire.Call{Profile: "hold", Body: "body of " + key}, key)
	o := outcome{key: key, err: err, duration: time.Since(start), ran: result.Ran}
	if err != nil {
		o.ran, o.reason = ranAndReason(err)
		return o
	}
	o.complete = result.Body == fake.Receipt(key, "body of "+key)
	return o
}

// sendPrompt sends one prompt.
func sendPrompt(ctx context.Context, c *pier.Client, profile, name string, tokens, output int) outcome {
	start := time.Now()
	prompt := strings.Repeat(name+" ", 10)
	answer, err := c.Complete(ctx, wire.Completion{Profile: profile, Prompt: prompt, PromptTokens: tokens, MaxTokens: output})
	o := outcome{key: name, err: err, duration: time.Since(start), ran: wire.RanYes}
	if err != nil {
		o.ran, o.reason = ranAndReason(err)
		return o
	}
	o.complete = answer.Text == fake.CompletionText(prompt, output)
	return o
}

// outcomes collects outcomes.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (t *outcomes) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, o)
}

// summary counts the outcomes by what was told.
func (t *outcomes) summary() string {
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
func (t *outcomes) checkBookings(tb testing.TB, site *stage.Site) {
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
		if o.err == nil && !o.complete {
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

// checkDeadline fails the test if an answer came later than the deadline and the bound.
func (t *outcomes) checkDeadline(tb testing.TB, deadline time.Duration) {
	tb.Helper()
	for _, o := range t.all {
		if o.duration > deadline+lateAllowance {
			tb.Errorf("%s: answered after %v", o.key, o.duration)
		}
	}
}

// checkComplete fails the test unless every request was answered whole.
func (t *outcomes) checkComplete(tb testing.TB) {
	tb.Helper()
	for _, o := range t.all {
		if !o.complete {
			tb.Errorf("%s: %v (whole: %v, after %v)", o.key, o.err, o.complete, o.duration)
		}
	}
}
