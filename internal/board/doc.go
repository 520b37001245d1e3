// Package board tracks the requests of all instances in progress on each
// target, and chooses the target for a request.
//
// An instance broadcasts each placement at once to the others of its cell, and
// all its requests in progress once a second, so that a lost datagram or a
// restarted instance matters only briefly. Which instances form a cell is not
// decided here. Each instance chooses on its own: there is no central
// scheduler whose failure would have to be detected.
package board
