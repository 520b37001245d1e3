// Package serve adds functions and HTTP servers to a run.Group, in which all stop when one of them returns.
package serve
