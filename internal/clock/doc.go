// Package clock provides the project's millisecond time type and a clock that
// changes of the system time do not affect.
package clock
