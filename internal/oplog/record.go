package oplog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// State is how far an operation has come.
type State uint8

// The states of an operation.
const (
	Sent    State = iota + 1 // dispatched, or about to be
	Done                     // the outcome is recorded
	Unknown                  // dispatched, and the outcome was lost
	NotRun                   // proved not to have run; never stored
)

// String names the state.
func (s State) String() string {
	return [...]string{"none", "sent", "done", "unknown", "not run"}[s]
}

// Outcome is the answer of a target.
type Outcome struct {
	Status int    `cbor:"1,keyasint"` // HTTP status
	Body   string `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint"`
}

// Record is what the log holds of one operation.
type Record struct {
	Key     string       `cbor:"1,keyasint"` // see Key
	Digest  string       `cbor:"2,keyasint"` // of profile and body
	Term    uint64       `cbor:"3,keyasint"` // of the writer that it was given to
	Attempt string       `cbor:"4,keyasint"`
	Writer  string       `cbor:"5,keyasint,omitempty"` // while sent
	State   State        `cbor:"6,keyasint"`
	At      clock.Millis `cbor:"7,keyasint"`
	Outcome Outcome      `cbor:"8,keyasint,omitempty"`
}

// WithOutcome returns a copy that is done.
func (r Record) WithOutcome(o Outcome) Record {
	r.State, r.Outcome, r.Writer = Done, o, ""
	return r
}

// WithState returns a copy in another state.
func (r Record) WithState(s State) Record {
	r.State = s
	return r
}

func (r Record) finished() bool { return r.State == Done || r.State == Unknown }

// storedShard is the value of a shard's object.
type storedShard struct {
	Term     uint64    `cbor:"1,keyasint"`
	Writer   string    `cbor:"2,keyasint"`
	Token    string    `cbor:"3,keyasint"` // unique to the update
	Records  []Record  `cbor:"4,keyasint"`
	Segments []segment `cbor:"5,keyasint,omitempty"`
}

// segment names an immutable object that holds older records.
type segment struct {
	Name  string       `cbor:"1,keyasint"`
	Until clock.Millis `cbor:"2,keyasint"` // time of its newest record
}

func (p storedShard) encode() ([]byte, error) { return cbor.Marshal(p) }

func decodeShard(data []byte) (storedShard, error) {
	var p storedShard
	err := cbor.Unmarshal(data, &p)
	return p, err
}

// Op is a call that may run at most once.
type Op struct {
	Key            string       `cbor:"1,keyasint"` // see Key
	Digest         string       `cbor:"2,keyasint"`
	Request        string       `cbor:"3,keyasint"`
	Profile        string       `cbor:"4,keyasint"`
	Service        string       `cbor:"5,keyasint"`
	IdempotencyKey string       `cbor:"6,keyasint"` // the caller's own key, for the target
	Body           string       `cbor:"7,keyasint"`
	Deadline       clock.Millis `cbor:"8,keyasint"`
}

// Key identifies an operation by customer and idempotency key.
func Key(customer, key string) string { return digest(customer, key) }

// Digest identifies the content of an operation.
func Digest(profile, body string) string { return digest(profile, body) }

// ShardOf maps an operation to its shard.
func ShardOf(key string, shards int) int {
	raw, _ := hex.DecodeString(key[:16])
	return int(binary.BigEndian.Uint64(raw) % uint64(shards))
}

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
