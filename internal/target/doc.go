// Package target is the HTTP client for targets: it streams answers from
// model engines and runs operations on plain services, and checks that each
// frame of an answer belongs to the attempt that asked for it.
package target
