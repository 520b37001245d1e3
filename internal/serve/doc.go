// Package serve adds functions and HTTP servers to a group of which all end when one ends.
package serve
