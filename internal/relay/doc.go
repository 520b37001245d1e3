// Package relay passes one request on to a target and its answer back.
//
// It decides which target is tried, what may be repeated, when to give up,
// and what the caller is told. What the request looks like on the wire of
// either side is given to it as functions.
package relay
