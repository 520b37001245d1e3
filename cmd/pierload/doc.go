// Command pierload sends the example requests of a site or a measured load to
// entry instances. It also publishes the configuration and the instance list of
// a site that runs on fakes.
package main
