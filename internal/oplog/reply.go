package oplog

// Verdict is a writer's answer to an attempt.
type Verdict uint8

// The verdicts.
const (
	VerdictDone      Verdict = iota + 1 // the operation ran; the outcome is given
	VerdictNotRun                       // this attempt and those of earlier terms never run
	VerdictUnknown                      // the operation may have run and never runs again
	VerdictConflict                     // the key belongs to another operation
	VerdictWrongTerm                    // the attempt was not taken; the term is given
	VerdictMoved                        // the writer lost the shard; the next writer knows
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"none", "done", "not run", "unknown", "conflict", "wrong term", "moved"}[v]
}

// Attempt is an operation given to a writer under a term.
type Attempt struct {
	ID    string `cbor:"1,keyasint"`
	Shard int    `cbor:"2,keyasint"`
	Term  uint64 `cbor:"3,keyasint"`
	Op    Op     `cbor:"4,keyasint"`
}

// Reply is the answer to an attempt.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint,omitempty"`
	Reason  string  `cbor:"4,keyasint,omitempty"` // why it was not run
	Joined  bool    `cbor:"5,keyasint,omitempty"` // another attempt ran it
}

// Settlement is what a former writer learns of an operation after it lost the shard.
type Settlement struct {
	Shard   int     `cbor:"1,keyasint"`
	Key     string  `cbor:"2,keyasint"`
	Attempt string  `cbor:"3,keyasint"`
	State   State   `cbor:"4,keyasint"`
	Outcome Outcome `cbor:"5,keyasint,omitempty"`
}

// Result is what became of a dispatch.
type Result struct {
	State   State // Done, NotRun or Unknown
	Outcome Outcome
	Reason  string
}
