// Command pierload sends requests to a site: the examples, or a measured load.
// It also publishes configuration and instance list for sites of stand-ins.
package main
