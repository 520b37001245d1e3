// Package front is the HTTP interface for callers. It validates requests,
// enforces the limits of customers and profiles, and answers every failure with
// a problem document (RFC 9457), or with an error event once a stream has begun.
package front
