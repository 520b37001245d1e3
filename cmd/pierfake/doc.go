// Command pierfake runs a fake of a system that entry instances depend on: the
// object API, model engines or plain services. It is for tests, the demo and
// benchmarks only.
package main
