// Package certs serves the certificate for callers and takes a replaced file
// into use without a restart.
package certs
