// Package detour opens connections to targets, and lets another instance carry a connection while this instance's own link to the
// target fails.
//
// Whether a target is reached is a matter of each pair of instance and target: a link. A Dialer keeps the state of the links of its
// instance. A connection that another instance carries is the same to both ends as a direct one; the carrier only passes bytes on, so
// that all decisions about a request stay at the instance that received it. A carrier dials directly, never through a third instance.
package detour
