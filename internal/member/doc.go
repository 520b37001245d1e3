// Package member keeps each entry instance's view of the others.
//
// An instance probes one peer a period, asks a few others to probe a peer
// that does not answer, and spreads what it learns on the probes. The cost of
// a node does not depend on the number of nodes. Incarnation numbers decide
// between contradicting news: an instance alone raises its own.
package member
