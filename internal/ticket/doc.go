// Package ticket leases memory on engines for a prompt that is too large for a
// single engine.
//
// A lease expires within seconds unless it is renewed. That frees the memory of
// an instance that has died, and of a reserve call that an engine carries out
// after it was released.
package ticket
