package oplog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// State is the state of an operation.
type State uint8

// The states of an operation.
const (
	Sent    State = iota + 1 // dispatched or about to be dispatched
	Done                     // ran; the outcome is recorded
	Unknown                  // dispatched, but the outcome was lost
	NotRun                   // certain not to have run; never stored
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"none", "sent", "done", "unknown", "not run"}[s]
}

// Outcome is the answer of a target to an operation.
type Outcome struct {
	Status int    `cbor:"1,keyasint"` // HTTP status; zero if the answer was too large to keep
	Body   string `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint"` // target ID
}

// Record is the log's entry for one operation.
type Record struct {
	Key       string       `cbor:"1,keyasint"`           // see function Key
	Digest    string       `cbor:"2,keyasint"`           // see function Digest
	Term      uint64       `cbor:"3,keyasint"`           // the term under which the attempt was submitted
	Attempt   string       `cbor:"4,keyasint"`           // ID of the attempt that is dispatched
	Writer    string       `cbor:"5,keyasint,omitempty"` // the instance that dispatches it; empty once done
	State     State        `cbor:"6,keyasint"`
	CreatedAt clock.Millis `cbor:"7,keyasint"`
	Outcome   Outcome      `cbor:"8,keyasint,omitempty"`
}

// WithOutcome returns a copy of the record in state Done with the outcome.
func (r Record) WithOutcome(o Outcome) Record {
	r.State, r.Outcome, r.Writer = Done, o, ""
	return r
}

// WithState returns a copy of the record in another state.
func (r Record) WithState(s State) Record {
	r.State = s
	return r
}

// finished reports whether the operation is Done or Unknown; neither is ever dispatched again.
func (r Record) finished() bool { return r.State == Done || r.State == Unknown }

// storedShard is the value of a shard's object in the object API.
type storedShard struct {
	Term     uint64    `cbor:"1,keyasint"`           // raised at each takeover
	Writer   string    `cbor:"2,keyasint"`           // instance and incarnation
	Token    string    `cbor:"3,keyasint"`           // unique to the update
	Records  []Record  `cbor:"4,keyasint"`           // those that are not in segments
	Segments []segment `cbor:"5,keyasint,omitempty"` // oldest first
}

// segment refers to an immutable object that holds older records of a shard.
type segment struct {
	Name     string       `cbor:"1,keyasint"` // of the object
	NewestAt clock.Millis `cbor:"2,keyasint"` // time of its newest record
}

func (p storedShard) encode() ([]byte, error) { return cbor.Marshal(p) }

func decodeShard(data []byte) (storedShard, error) {
	var p storedShard
	err := cbor.Unmarshal(data, &p)
	return p, err
}

// Op is an operation: a call that may run at most once.
type Op struct {
	Key            string       `cbor:"1,keyasint"` // see function Key
	Digest         string       `cbor:"2,keyasint"` // see function Digest
	Request        string       `cbor:"3,keyasint"` // request ID
	Profile        string       `cbor:"4,keyasint"`
	Service        string       `cbor:"5,keyasint"`
	IdempotencyKey string       `cbor:"6,keyasint"` // as the caller sent it; passed on to the target
	Body           string       `cbor:"7,keyasint"`
	Deadline       clock.Millis `cbor:"8,keyasint"`
}

// Key returns the key of an operation: a hash of the customer and the idempotency key.
func Key(customer, key string) string { return digest(customer, key) }

// Digest returns a hash of an operation's content, by which the reuse of its key for another call is detected.
func Digest(profile, body string) string { return digest(profile, body) }

// ShardOf returns the number of the shard that holds the operation with the given key.
func ShardOf(key string, shards int) int {
	raw, _ := hex.DecodeString(key[:16])
	return int(binary.BigEndian.Uint64(raw) % uint64(shards))
}

// digest hashes its arguments with their lengths, so that different lists of arguments give different hashes.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
