// Package load sends an open-loop load and measures what callers see.
//
// Arrivals are drawn from a seed before the run, so that several policies meet
// the same ones, and each time to first token counts from the planned arrival,
// so that waiting is not left out.
package load
