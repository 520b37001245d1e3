// Package answer checks the heads of HTTP responses. It refuses what package
// net/http takes as the head of a response although it is none.
package answer
