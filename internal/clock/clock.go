package clock

import (
	"context"
	"fmt"
	"time"
)

// Millis is a point in time since the Unix epoch or a span, in milliseconds.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// started anchors the clock; its monotonic reading makes later ones immune to steps of the time of day.
var started = time.Now()

// Now returns the time since the Unix epoch as of the start of the process, advanced by the monotonic clock.
func Now() Millis { return FromDuration(time.Duration(started.UnixNano()) + time.Since(started)) }

// FromDuration converts a standard duration, rounding down.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration converts a span to the standard type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time converts a point in time to the standard type, with a monotonic reading.
func (m Millis) Time() time.Time {
	return started.Add(m.Duration() - time.Duration(started.UnixNano()))
}

// String formats a span such as "1.5s".
func (m Millis) String() string { return m.Duration().String() }

// MarshalText formats a span as it is written in settings.
func (m Millis) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText parses a span such as "250ms" or "2h".
func (m *Millis) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("not a duration such as 250ms: %q", text)
	}
	*m = FromDuration(d)
	return nil
}

// Sleep waits for a span, or until the context ends and returns its error.
func Sleep(ctx context.Context, d Millis) error {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
