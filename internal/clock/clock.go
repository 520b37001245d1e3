package clock

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Millis is a number of milliseconds: a duration, or a time since the Unix epoch.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// processStart is the reference for Now. It has a monotonic clock reading, so changes of the system time do not affect Now.
var processStart = time.Now()

// Now returns the time since the Unix epoch: the system time at the start of the process plus the monotonic time since
// then. It never goes backwards.
func Now() Millis {
	return FromDuration(time.Duration(processStart.UnixNano()) + time.Since(processStart))
}

// FromDuration converts a time.Duration, dropping fractions of a millisecond.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration converts a duration to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds returns the number of seconds.
func (m Millis) Seconds() float64 { return float64(m) / float64(Second) }

// Time converts a time since the Unix epoch to a time.Time with a monotonic clock reading.
func (m Millis) Time() time.Time {
	return processStart.Add(m.Duration() - time.Duration(processStart.UnixNano()))
}

// String formats a duration, for example "1.5s".
func (m Millis) String() string { return m.Duration().String() }

// MarshalText formats a duration as it is written in settings.
func (m Millis) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText parses a duration such as "250ms", "2h" or "1e+4ms".
func (m *Millis) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		d, err = parseExponent(string(text))
	}
	if err != nil {
		return fmt.Errorf("not a duration such as 250ms: %q", text)
	}
	*m = FromDuration(d)
	return nil
}

// parseExponent parses a duration of one unit whose number has an exponent, which time.ParseDuration does not accept.
func parseExponent(text string) (time.Duration, error) {
	number := strings.TrimRight(text, "hmsu\u00b5n")
	unit, err := time.ParseDuration("1" + text[len(number):])
	if err != nil {
		return 0, err
	}
	factor, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, err
	}
	return time.Duration(factor * float64(unit)), nil
}

// Every calls f at regular intervals until the context ends. Calls that would come while f runs are left out.
func Every(ctx context.Context, interval Millis, f func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// Sleep waits for a duration. If the context ends first, it returns the context's error.
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
