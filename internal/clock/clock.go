package clock

import (
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

// Now returns the wall clock time.
func Now() Millis { return Millis(time.Now().UnixMilli()) }

// Of converts a standard duration, rounding down.
func Of(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration converts a span to the standard type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time converts a point in time to the standard type.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)) }

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
	*m = Of(d)
	return nil
}
