// Package share accounts for the use that customers make of a service, and
// compares it with their fair shares.
//
// The use decays exponentially. Fair shares are weighted max-min shares of the
// capacity: what a customer with a small demand leaves is divided among the
// others. The package holds no clock and sends nothing; the caller passes the
// time and records each use that it makes or hears of.
package share
