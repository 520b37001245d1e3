// Package loop provides an event loop: it runs the functions that read or
// change shared state one at a time on one goroutine, so that this state needs
// no locks.
package loop
