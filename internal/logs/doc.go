// Package logs writes structured logs without ever making their writer wait.
//
// Lines wait in a bounded queue for whoever reads the output. A kind of line,
// known by its message, is written at a bounded rate. What is left out is
// counted, and the count is written.
package logs
