// Package retry bounds the repeats of requests by a share of the first tries,
// over a sliding window.
package retry
