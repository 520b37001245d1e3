// Package pier is a client of the serving layer.
//
// A client asks for the addresses of entry instances, caches them for as long
// as the answer allows, and connects to the instances directly. If an instance
// does not answer or refuses a request, the client tries another address. It
// checks that an answer is complete, and never retries a call that has no
// idempotency key and may have run.
package pier
