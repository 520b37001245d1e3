// Package oplog is the operation log. It lets a call that must not be repeated
// run at most once, and lets an instance say truthfully that a call was not
// run.
//
// Operations are spread over shards by a hash of their key. A shard is one
// object of the object API. It is changed only by compare-and-swap on its
// version, so each version has one writer. An instance takes over a shard by
// writing the next term to it; from then on no update of a former writer can
// succeed. The writer dispatches an operation only after the update that
// records it as sent is confirmed. If the answer to an update is lost, the
// writer reads the shard back and compares its token.
//
// An attempt is submitted to a writer under a term, and a writer accepts only
// attempts of its present term. A writer can therefore tell whether an attempt
// of an earlier term can still run: one that the log does not hold as sent
// never will. A writer's verdict says nothing of other attempts of its own
// term whose verdict was lost; see finalReply.
//
// The membership view decides only which instance should write a shard, for
// speed. Correctness rests on neither leases nor clocks. spec/oplog.pml is the
// specification of the protocol for the model checker.
package oplog
