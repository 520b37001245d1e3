// Package target calls the targets: it streams answers from model engines and
// has plain services act, and checks that each piece of an answer belongs to
// the attempt that it is taken for.
package target
