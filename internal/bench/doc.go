// Package bench measures policies side by side, the added latency, and the
// slopes of the capacity page, on sites of real processes.
package bench
