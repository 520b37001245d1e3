// Package route decides where and when a request runs.
//
// Requests wait in one queue for each service, shared fairly among customers
// in tokens, until a target has a free slot. Short prompts go to a target by
// local estimates: the load report, corrected by what was sent since. Long
// prompts first reserve memory at the home of a cell of engines, which keeps
// an exact ledger. The baselines against which the policy is measured are
// policies of the same table.
package route
