// Package feed keeps the newest version of a shared object on every instance.
//
// A few instances watch the source. The others learn from the probes that a
// newer version exists and read it from the source or from the peer that has
// it. A version below the highest one seen is never taken.
package feed
