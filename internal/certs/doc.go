// Package certs loads the TLS certificate for the callers' listener and
// reloads it without a restart when its files change.
package certs
