// Package proof holds the integration tests. They run whole sites as real processes
// and inject faults into the processes and the connections between them.
package proof
