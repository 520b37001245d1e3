// Package active tells which instances of a large fleet serve callers, which of
// them tell each other of placements, and how they share what is limited.
//
// Nothing is agreed on: each instance works it out from its own view of the
// fleet, and instances whose views differ for a moment tell each other too.
package active
