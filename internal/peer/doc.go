// Package peer carries messages between entry instances.
//
// Calls go over QUIC, one stream a call, mutually authenticated. Probes go as
// sealed datagrams over the same UDP port. Every dialled connection has a
// socket of its own, so that a device on the path that has lost track of one
// connection does not affect the next.
package peer
