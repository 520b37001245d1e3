// Package entry assembles one entry instance from its slices and runs it.
package entry
