// Package model predicts how long a model engine takes.
//
// An engine works in passes. A pass advances every answer that is being
// written by a few steps and reads a bounded number of prompt tokens, so that
// a long prompt beside short answers lengthens their pauses.
package model
