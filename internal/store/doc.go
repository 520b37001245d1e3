// Package store is the client of the platform's object API.
//
// The object API stores named values of up to 1 MiB. Each change gives a value
// a new version that is never reused, and a change may be conditional on the
// version that it replaces. This package is the only one that knows the
// protocol: HTTP with ETag, If-Match and If-None-Match, and long polling for
// watches.
package store
