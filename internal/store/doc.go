// Package store is the client of the platform's object API.
//
// The object API keeps named values of up to a megabyte. Each change gives a
// value a new version that never recurs, and a change may be conditional on
// the version it replaces. This package is the only one that knows the
// protocol: HTTP with ETag, If-Match and If-None-Match, and a long poll as
// the watch.
package store
