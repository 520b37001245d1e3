// Package board keeps the work in progress on each target, of all instances,
// and chooses where a request runs.
//
// Every instance tells the others at once where it has placed a request, and
// repeats all of its work in progress once a second, so that a lost datagram
// or a restarted instance does not matter for long. Each instance chooses
// alone: there is no scheduler whose loss has to be noticed.
package board
