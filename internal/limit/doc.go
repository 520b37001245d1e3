// Package limit reads bytes from outside up to a limit. What is longer fails
// instead of being taken as whole.
package limit
