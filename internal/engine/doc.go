// Package engine defines the HTTP protocol of targets: model engines, which
// stream the completion of a prompt, and plain services, which execute a call.
// No other package defines the protocol's paths, headers or messages.
package engine
