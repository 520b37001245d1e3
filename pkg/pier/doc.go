// Package pier is a client of the serving layer.
//
// A client asks for the addresses of entry instances, keeps the answer for as
// long as it says, and connects to the instances itself. It goes to another
// address when one is silent or refuses, checks that an answer is whole, and
// never repeats a call without a key that may have run.
package pier
