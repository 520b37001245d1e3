// Package engine is the protocol of model engines and plain services, the
// targets that run requests. It is the only package that knows the protocol.
package engine
