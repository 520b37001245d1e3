// Package sweep returns memory of engines that no instance owns any more.
//
// An instance repeats the release of its own streams and reservations until
// the engine confirms it. The home of an engine also compares what the engine
// holds with the instances that are present.
package sweep
