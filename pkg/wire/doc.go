// Package wire defines the HTTP interface between callers and entry instances:
// paths, headers, JSON messages and the reasons for failure.
package wire
