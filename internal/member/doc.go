// Package member is a gossip membership protocol among entry instances, in the
// manner of SWIM.
//
// Each interval an instance probes one peer, asks a few others to probe a peer
// that does not answer, and spreads rumors with its probes. The cost for an
// instance does not depend on the number of instances. Incarnation numbers
// decide between contradicting rumors: only an instance itself raises its own.
//
// View.Active chooses, by the view alone, the few instances that serve callers;
// the others stand by.
package member
