// Package stage starts a whole site as real processes for tests and
// measurements. The product does not use it.
package stage
