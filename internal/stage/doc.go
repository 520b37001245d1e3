// Package stage runs a whole site for tests and measurements: entry instances,
// and fakes of the systems that they use, each as a process of its own. The
// product does not use it.
package stage
