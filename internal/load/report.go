package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	maxRecorded = int64(10 * time.Minute / time.Microsecond)
	digits      = 3 // significant, of recorded values
)

// Summary is the report on the requests of one class.
type Summary struct {
	Class    Class               `json:"class"`
	Offered  int                 `json:"offered"`
	Good     int                 `json:"good"`    // whole answers in time
	Late     int                 `json:"late"`    // answers, whole or not, after the deadline
	Refused  int                 `json:"refused"` // told not run
	Failed   int                 `json:"failed"`
	First50  Millis              `json:"first50_ms"`
	First95  Millis              `json:"first95_ms"`
	First99  Millis              `json:"first99_ms"`
	Gap95    Millis              `json:"gap95_ms"`
	Reasons  map[wire.Reason]int `json:"reasons,omitempty"`
	GoodWork int                 `json:"goodwork"` // prompt tokens of the whole answers in time
}

// Millis is a time in milliseconds with fractions, for reports.
type Millis float64

// Summarise reports on the results of each class; the deadline is that of the class.
func Summarise(results []Result, deadline func(Class) time.Duration) []Summary {
	var all []Summary
	for _, class := range Classes() {
		s := Summary{Class: class, Reasons: make(map[wire.Reason]int)}
		first := hdrhistogram.New(1, maxRecorded, digits)
		gap := hdrhistogram.New(1, maxRecorded, digits)
		for _, r := range results {
			if r.Arrival.Class == class {
				s.add(r, deadline(class), first, gap)
			}
		}
		s.First50, s.First95, s.First99 = quantile(first, 50), quantile(first, 95), quantile(first, 99)
		s.Gap95 = quantile(gap, 95)
		all = append(all, s)
	}
	return all
}

// lateGrace is the bound past the deadline by which an answer still counts as on time.
const lateGrace = 500 * time.Millisecond

func (s *Summary) add(r Result, deadline time.Duration, first, gap *hdrhistogram.Histogram) {
	s.Offered++
	switch {
	case r.Reason != "" && r.Ran == wire.RanNo:
		s.Refused++
	case r.Reason != "":
		s.Failed++
	case r.Whole <= deadline+lateGrace:
		s.Good++
		s.GoodWork += r.Arrival.Tokens
	}
	if r.Whole > deadline+lateGrace {
		s.Late++
	}
	if r.Reason != "" {
		s.Reasons[r.Reason]++
		return
	}
	_ = first.RecordValue(r.First.Microseconds())
	_ = gap.RecordValue(r.Gap.Microseconds())
}

func quantile(h *hdrhistogram.Histogram, q float64) Millis {
	if h.TotalCount() == 0 {
		return 0
	}
	return Millis(float64(h.ValueAtQuantile(q)) / 1000)
}

// Header is the first line of a table of summaries.
func Header() string {
	return "RUN\tCLASS\tOFFERED\tGOOD\tREFUSED\tFAILED\tLATE\tFIRST p50\tp95\tp99\tGAP p95\tREASONS"
}

// Row formats a summary as a line of the table.
func (s Summary) Row(name string) string {
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%v", name, s.Class, s.Offered, s.Good, s.Refused, s.Failed, s.Late,
		s.First50, s.First95, s.First99, s.Gap95, s.Reasons)
}

// String formats a time for a table.
func (m Millis) String() string { return fmt.Sprintf("%.0f ms", float64(m)) }
