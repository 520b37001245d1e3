// Package trace finds what became of one request in the logs of many instances.
package trace
