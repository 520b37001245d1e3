// Package retry limits retries to a share of the requests in a sliding window,
// so that failures do not multiply the load.
package retry
