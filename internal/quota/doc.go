// Package quota accounts for the memory and the connections that callers use.
//
// An Account counts the bytes of all holders, which are connections. It never
// blocks: a reservation succeeds, after others were closed for it if need be,
// or is refused. A Gate bounds the number of connections to a port.
package quota
