// Package feed keeps the newest version of a shared object on every instance.
//
// A few instances watch the source. The others learn of a newer version from
// the messages between instances and read it from the peer that has it or from
// the source. All instances also poll the source at a low rate. A version below
// the active one is never applied.
//
// Instances also tell each other how long ago the source had nothing newer. One
// that was not told for too long looks at the source itself, as those that watch
// may be cut off from it.
package feed
