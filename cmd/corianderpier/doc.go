// Command corianderpier runs an entry instance: the server process of the layer
// that accepts requests from callers and routes them to targets.
package main
