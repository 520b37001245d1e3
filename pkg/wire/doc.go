// Package wire defines the messages between callers and entry instances.
package wire
