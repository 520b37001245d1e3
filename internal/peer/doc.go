// Package peer carries calls and datagrams between entry instances.
//
// Calls use QUIC, one stream each, with mutual authentication. Datagrams are
// encrypted and share the UDP port. Each outgoing connection has a UDP socket
// of its own, so that a NAT or firewall on the path that has lost its state for
// one connection does not affect the next.
package peer
