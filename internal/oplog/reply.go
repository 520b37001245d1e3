package oplog

// Verdict is a writer's answer to an attempt.
type Verdict uint8

// The verdicts.
const (
	VerdictDone      Verdict = iota + 1 // the operation ran; the reply holds its outcome
	VerdictNotRun                       // this attempt and those of earlier terms did not run and never will
	VerdictUnknown                      // the operation may have run and will not run again
	VerdictConflict                     // the key was used for an operation with another digest
	VerdictWrongTerm                    // the attempt was not accepted; the reply holds the writer's term, zero if it is not the writer
	VerdictMoved                        // the writer lost the shard before the dispatch; ask the next writer
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"none", "done", "not run", "unknown", "conflict", "wrong term", "moved"}[v]
}

// Attempt is one submission of an operation to a writer. The writer accepts it only in the given term.
type Attempt struct {
	ID    string `cbor:"1,keyasint"` // unique to the attempt
	Shard int    `cbor:"2,keyasint"`
	Term  uint64 `cbor:"3,keyasint"`
	Op    Op     `cbor:"4,keyasint"`
}

// Reply is a writer's answer to an attempt.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint,omitempty"`
	Reason  string  `cbor:"4,keyasint,omitempty"` // why the operation was not run or its outcome is unknown
	Joined  bool    `cbor:"5,keyasint,omitempty"` // another attempt ran the operation
}

// Settlement is the final state of an attempt that the log holds as sent. A writer that has lost the shard sends it to
// the present writer.
type Settlement struct {
	Shard   int     `cbor:"1,keyasint"`
	Key     string  `cbor:"2,keyasint"`
	Attempt string  `cbor:"3,keyasint"`
	State   State   `cbor:"4,keyasint"`
	Outcome Outcome `cbor:"5,keyasint,omitempty"`
}

// Result is the result of dispatching an operation to a target.
type Result struct {
	State   State // Done, NotRun or Unknown
	Outcome Outcome
	Reason  string
}
