// Package model predicts how long a model engine takes.
//
// An engine batches continuously, in passes. A pass runs a few decode steps
// for every sequence and prefills a bounded number of prompt tokens, so a long
// prompt lengthens the gaps between the events of answers on the same engine.
package model
