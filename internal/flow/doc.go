// Package flow carries one admitted request to its end: it acquires a target,
// passes the answer on, resumes or repeats what may be repeated, and returns
// the memory.
package flow
