// Package front serves callers over HTTP: it checks requests, enforces the
// limits and reports every failure as a problem document.
package front
