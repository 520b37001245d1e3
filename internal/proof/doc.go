// Package proof holds the integration tests: real processes, and faults
// between them.
package proof
