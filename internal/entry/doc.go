// Package entry assembles an entry instance, a server process of the layer, from
// its components and runs it.
package entry
