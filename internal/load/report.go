package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3 // precision of the recorded values
)

// Summary is the result of the requests of one class.
type Summary struct {
	Class           Class               `json:"class"`
	Offered         int                 `json:"offered"`
	Succeeded       int                 `json:"good"`    // complete answers in time
	Late            int                 `json:"late"`    // answers, complete or not, after the deadline
	Refused         int                 `json:"refused"` // reported as not run
	Failed          int                 `json:"failed"`  // other errors
	FirstTokenP50   Millis              `json:"first50_ms"`
	FirstTokenP95   Millis              `json:"first95_ms"`
	FirstTokenP99   Millis              `json:"first99_ms"`
	TokenGapP95     Millis              `json:"gap95_ms"`
	Reasons         map[wire.Reason]int `json:"reasons,omitempty"`
	SucceededTokens int                 `json:"goodwork"` // prompt tokens of the requests that succeeded
}

// Millis is a duration in milliseconds, with fractions.
type Millis float64

// Summarise returns a summary of each class, given the deadline of each class.
func Summarise(results []Result, deadline func(Class) time.Duration) []Summary {
	var all []Summary
	for _, class := range Classes() {
		s := Summary{Class: class, Reasons: make(map[wire.Reason]int)}
		first := hdrhistogram.New(1, maxRecordedMicros, significantDigits)
		gap := hdrhistogram.New(1, maxRecordedMicros, significantDigits)
		for _, r := range results {
			if r.Arrival.Class == class {
				s.add(r, deadline(class), first, gap)
			}
		}
		s.FirstTokenP50, s.FirstTokenP95, s.FirstTokenP99 = quantile(first, 50), quantile(first, 95), quantile(first, 99)
		s.TokenGapP95 = quantile(gap, 95)
		all = append(all, s)
	}
	return all
}

// lateAllowance is how long after the deadline an answer still counts as in time.
const lateAllowance = 500 * time.Millisecond

// add counts a result and records its times if the answer was complete.
func (s *Summary) add(r Result, deadline time.Duration, first, gap *hdrhistogram.Histogram) {
	s.Offered++
	switch {
	case r.Reason != "" && r.Ran == wire.RanNo:
		s.Refused++
	case r.Reason != "":
		s.Failed++
	case r.TotalTime <= deadline+lateAllowance:
		s.Succeeded++
		s.SucceededTokens += r.Arrival.PromptTokens
	}
	if r.TotalTime > deadline+lateAllowance {
		s.Late++
	}
	if r.Reason != "" {
		s.Reasons[r.Reason]++
		return
	}
	_ = first.RecordValue(r.TimeToFirstToken.Microseconds())
	_ = gap.RecordValue(r.MeanTokenGap.Microseconds())
}

// quantile returns a percentile of recorded microseconds, or 0 without records.
func quantile(h *hdrhistogram.Histogram, q float64) Millis {
	if h.TotalCount() == 0 {
		return 0
	}
	return Millis(float64(h.ValueAtQuantile(q)) / 1000)
}

// TableHeader returns the header of a table of summaries, with tabs between columns.
func TableHeader() string {
	return "RUN\tCLASS\tOFFERED\tGOOD\tREFUSED\tFAILED\tLATE\tFIRST p50\tp95\tp99\tGAP p95\tREASONS"
}

// TableRow returns the row of a summary in the table, with tabs between columns.
func (s Summary) TableRow(name string) string {
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%v", name, s.Class, s.Offered, s.Succeeded, s.Refused, s.Failed, s.Late,
		s.FirstTokenP50, s.FirstTokenP95, s.FirstTokenP99, s.TokenGapP95, s.Reasons)
}

// String formats the duration for a table.
func (m Millis) String() string { return fmt.Sprintf("%.0f ms", float64(m)) }
