// Package load generates an open-loop load and measures what callers see.
//
// Arrivals are drawn from a seed before the run, so that several policies can be
// compared on the same arrivals. Times are measured from the planned arrival and
// not from the actual send, so that a delay in sending counts as latency.
package load
