// Package oplog is the operation log: it lets a call that may not be repeated
// run at most once, and lets an instance say truthfully that a call was not
// run.
//
// Operations are spread by key over shards. A shard is one object of the
// object API, changed only by an update conditional on its version, so each
// version has one writer. Taking a shard over writes a new term; from then on
// no update of a former writer can succeed. An operation is dispatched only
// after the update that records it as sent is confirmed. An update whose
// answer was lost is settled by reading back and comparing the writer's token.
//
// Each attempt is given to a writer under a term, and a writer takes only
// attempts of its present term. A writer can therefore say of attempts of
// earlier terms whether they can still run: an attempt that the log does not
// hold as sent never will. It says nothing of attempts of its own term that it
// has no answer for.
//
// Which instance writes a shard is a matter of the membership view and of
// speed only; no lease and no clock is part of the argument. spec/oplog.pml
// states the protocol for the model checker.
package oplog
