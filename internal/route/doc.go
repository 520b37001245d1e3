// Package route decides on which target a request runs, and when.
//
// Requests wait in one queue per service until a target has a free slot. The
// queue serves customers in proportion to their weights, counted in tokens.
//
// The target of a short prompt is chosen by estimates of this instance: the
// last load report of each target, corrected by what this instance sent since.
// A long prompt first reserves memory in the ledger of a cell, a group of
// engines. One instance, the home of the cell, keeps that ledger, so that its
// account of granted memory is exact.
//
// The baselines that the default policy is measured against are policies of
// the same table.
package route
