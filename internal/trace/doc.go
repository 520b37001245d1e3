// Package trace collects the log lines of one request from the logs of several
// instances and explains how the request ended.
package trace
