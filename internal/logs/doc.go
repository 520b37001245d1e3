// Package logs writes structured logs without ever blocking the code that logs.
//
// Lines are written to the output from a bounded queue, and lines with the same
// message at a limited rate. Lines that exceed either limit are dropped and
// counted in a metric; the rate limit also logs how many it dropped.
package logs
