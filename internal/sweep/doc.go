// Package sweep reclaims memory on engines that no instance owns any more.
//
// An instance retries the release of its own streams and reservations until
// the engine confirms it. In addition, the home of an engine lists what the
// engine holds and reclaims what belongs to instances that are gone.
package sweep
