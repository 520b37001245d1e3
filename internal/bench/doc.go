// Package bench compares routing policies, and measures the added latency and the
// costs per instance, target and request that docs/CAPACITY.md states, on sites of
// real processes.
package bench
