package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const maxLineBytes = 1 << 20 // bytes

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
}

// Trace holds the log lines about one request.
type Trace struct {
	RequestID    string
	Lines        []Line // by time
	TargetEvents []Line // lines about its targets within targetEventWindow of its own, by time
}

// targetEventWindow is the greatest time between a line of the request and one about its target that is shown with it.
const targetEventWindow = 3 * time.Second

// Read collects the lines of a request from the logs of several instances. It skips lines that are not JSON.
func Read(request string, logs ...io.Reader) (Trace, error) {
	t := Trace{RequestID: request}
	var others []Line
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(make([]byte, 4096), maxLineBytes)
		for lines.Scan() {
			l, ok := parseLine(lines.Text())
			switch {
			case !ok:
			case l.Fields["request"] == request:
				t.Lines = append(t.Lines, l)
			case l.Fields["target"] != nil && l.Fields["request"] == nil:
				others = append(others, l)
			}
		}
		if err := lines.Err(); err != nil {
			return t, fmt.Errorf("read log: %w", err)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(t.Lines, byTime)
	slices.SortStableFunc(others, byTime)
	for _, o := range others {
		if t.isNearRequest(o) {
			t.TargetEvents = append(t.TargetEvents, o)
		}
	}
	return t, nil
}

// isNearRequest reports whether a line names the same target as a line of the request, within targetEventWindow of it.
func (t Trace) isNearRequest(o Line) bool {
	for _, l := range t.Lines {
		if l.Fields["target"] == o.Fields["target"] && o.Time.Sub(l.Time).Abs() < targetEventWindow {
			return true
		}
	}
	return false
}

func parseLine(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return Line{}, false
	}
	when, _ := fields["time"].(string)
	l := Line{Fields: fields}
	l.Time, _ = time.Parse(time.RFC3339Nano, when)
	l.Instance, _ = fields["instance"].(string)
	l.Message, _ = fields["msg"].(string)
	for _, name := range []string{"time", "level", "msg", "instance"} {
		delete(fields, name)
	}
	return l, true
}

// explanations maps the values of the log keys outcome and reason to text for operators.
var explanations = map[string]string{
	"answered":         "a target answered, and the whole answer was forwarded",
	"error":            "the target itself answered with an error, which was forwarded",
	"caller_gone":      "the caller closed its connection; see left_ms for whether its deadline had passed",
	"scarce":           "refused: nearly all slots of the engines were in use, and the answer would have been late; it has not run",
	"costly":           "refused: the engines were loaded and the prompt would have delayed other requests past their limits; it has not run",
	"full":             "refused: no engine had enough free memory; it has not run",
	"too_large":        "refused: all engines together have too little memory; it has not run",
	"limited":          "refused: all targets had reached the rates that they name or bear while they are cold; it has not run",
	"no_target":        "refused: no target of the service was listed; look for log lines of the feed servers",
	"not_ready":        "refused: the instance had no configuration yet",
	"draining":         "refused: the instance was shutting down and was no longer named to callers; it has not run",
	"stopped":          "the instance shut down before there was an answer; it has not run, unless the caller got 502",
	"no_route":         "the active configuration had no such route",
	"no_key":           "the active configuration had no such key",
	"refused":          "each target that was tried reported that it had not run the request",
	"expired":          "the deadline passed before any target was tried",
	"timed_out":        "the deadline passed while a target was processing it; it may have run",
	"target_failed":    "a target may have run it and gave no complete answer; see the failed attempts",
	"memory":           "refused: the instance had no memory left for its head, its body or its answer; it has not run",
	"body_late":        "refused: its body did not come in time; it has not run",
	"body_too_large":   "refused: its body was longer than max_body_bytes; it has not run",
	"header_too_large": "refused: its head was longer than max_header_bytes; it has not run",
	"evacuated":        "refused: all targets of the service were in evacuated availability zones; it has not run",
	"share":            "refused: all targets were in use and the customer used far more than its share; it has not run",
}

// Explanation explains how the request ended, or why the logs do not show its end.
func (t Trace) Explanation() string {
	for _, l := range slices.Backward(t.Lines) {
		for _, field := range []string{"outcome", "reason"} {
			if outcome, ok := l.Fields[field].(string); ok && explanations[outcome] != "" {
				return outcome + ": " + explanations[outcome]
			}
		}
	}
	if len(t.Lines) == 0 {
		return "not in these logs: it reached none of these instances, or its lines were dropped"
	}
	return "no end in these logs: the instance stopped first, or the request is still in progress"
}

// Print writes the lines and the explanation as text.
func (t Trace) Print(out io.Writer) {
	for _, l := range t.Lines {
		_, _ = fmt.Fprintln(out, l)
	}
	if len(t.TargetEvents) > 0 {
		_, _ = fmt.Fprintln(out, "its targets, meanwhile:")
	}
	for _, l := range t.TargetEvents {
		_, _ = fmt.Fprintln(out, l)
	}
	_, _ = fmt.Fprintln(out, "cause:", t.Explanation())
}

// String formats the line with its fields sorted by name.
func (l Line) String() string {
	text := l.Time.Format("15:04:05.000") + " " + l.Instance + " " + l.Message
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return text
}
