// Package ticket holds memory on engines for one prompt that is too large for
// a single engine.
//
// Each engine grants its part as a lease that the holder renews, so that the
// memory of a holder that is gone, or of an order that an engine carries out
// late, lapses by itself within seconds.
package ticket
