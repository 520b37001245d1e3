// Package relay forwards one request to a target and the answer to the caller.
//
// It decides which target is tried, whether a failed attempt may be retried,
// when to give up, and what the caller is told. The caller's side and the
// targets' side of the wire format are supplied as functions.
package relay
