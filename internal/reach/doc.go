// Package reach tells an outage of a server from the loss of a connection to
// it.
//
// Connections may fall silent or be reset while the server is well. A call that
// gets no answer on one that was open at that moment shows only that this one
// was lost. The idle ones, which may have been lost with it, are not used again,
// so that the next call opens a new connection. If that fails as well, or is
// answered late, the server was away.
package reach
