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

// outcome is the result of one request as the caller saw it.
type outcome struct {
	key      string
	ran      wire.Ran
	reason   wire.Reason
	err      error
	complete bool // the answer is complete and belongs to this request
	duration time.Duration
}

// ranAndReason returns what an error says about whether the request ran, and why it
// failed.
func ranAndReason(err error) (wire.Ran, wire.Reason) {
	var e *pier.Error
	if errors.As(err, &e) {
		return e.Problem.Ran, e.Problem.Reason
	}
	return wire.RanUnknown, ""
}

// sendBooking sends one call with an idempotency key.
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

// sendPrompt sends one prompt and checks the completion.
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

// outcomes collects outcomes. Methods other than add must be called after all requests
// have ended.
type outcomes struct {
	mu   sync.Mutex
	list []outcome
}

func (l *outcomes) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, o)
}

// summary counts the outcomes by what the callers were told.
func (l *outcomes) summary() string {
	counts := make(map[string]int)
	for _, o := range l.list {
		if o.err == nil {
			counts["complete"]++
			continue
		}
		counts[string(o.ran)+" "+string(o.reason)]++
	}
	return fmt.Sprint(len(l.list), " requests: ", counts)
}

// checkBookings fails the test if a booking was executed twice, an answer was wrong, or
// callers were told that a booking ran, or did not run, and the opposite is true.
func (l *outcomes) checkBookings(tb testing.TB, site *stage.Site) {
	tb.Helper()
	runs := make(map[string]int)
	for _, r := range site.Runs() {
		runs[r.Key]++
	}
	for key, n := range runs {
		if n > 1 {
			tb.Errorf("%s was executed %d times", key, n)
		}
	}
	reportedNotRun := make(map[string]bool) // by key: every caller was told that it did not run
	for _, o := range l.list {
		if _, seen := reportedNotRun[o.key]; !seen {
			reportedNotRun[o.key] = true
		}
		if o.err != nil && o.ran == wire.RanNo {
			continue
		}
		reportedNotRun[o.key] = false
		if o.err == nil && !o.complete {
			tb.Errorf("%s: wrong answer", o.key)
		}
		if o.err == nil && runs[o.key] != 1 {
			tb.Errorf("%s: answered, but executed %d times", o.key, runs[o.key])
		}
	}
	for key, reported := range reportedNotRun {
		if reported && runs[key] > 0 {
			tb.Errorf("%s: every caller was told that it did not run, but it ran", key)
		}
	}
}

// checkDeadline fails the test if an answer came more than lateAllowance after the
// deadline.
func (l *outcomes) checkDeadline(tb testing.TB, deadline time.Duration) {
	tb.Helper()
	for _, o := range l.list {
		if o.duration > deadline+lateAllowance {
			tb.Errorf("%s: answered after %v", o.key, o.duration)
		}
	}
}

// checkComplete fails the test unless every request got its complete answer.
func (l *outcomes) checkComplete(tb testing.TB) {
	tb.Helper()
	for _, o := range l.list {
		if !o.complete {
			tb.Errorf("%s: %v (complete: %v, after %v)", o.key, o.err, o.complete, o.duration)
		}
	}
}
