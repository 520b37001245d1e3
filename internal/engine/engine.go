package engine

import "github.com/corianderpier/corianderpier/internal/clock"

// Paths and headers of the target API.
const (
	PathCompletions  = "/v1/completions"
	PathAttempts     = "/v1/attempts/"
	PathLoad         = "/v1/load"
	PathHoldings     = "/v1/held"
	PathReservations = "/v1/reservations"
	PathAct          = "/v1/act"
	PathState        = "/v1/state"
	PathOrders       = "/v1/orders"

	HeaderLoad         = "X-Load"          // a Load as JSON, on a response that streams a completion
	HeaderLeaving      = "X-Leaving"       // on any answer: the target takes no new requests
	HeaderNotProcessed = "X-Not-Processed" // the target states that it did not process the request
	HeaderRetryAfter   = "Retry-After"     // with status 503: seconds for which the target wants no requests from this instance
)

// Values of Holding.Kind.
const (
	KindStream      = "stream"
	KindReservation = "reservation"
)

// Span is the part of a prompt's memory that another engine provides under a reservation.
type Span struct {
	Target      string `json:"target"`
	Reservation string `json:"reservation"`
	Tokens      int    `json:"tokens"`
}

// CompletionRequest is the body of a request for a streamed completion.
type CompletionRequest struct {
	Attempt      string `json:"attempt"`
	Owner        string `json:"owner"` // instance and incarnation that own the stream
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt_tokens"`
	MaxTokens    int    `json:"max_tokens"`
	Priority     int    `json:"priority"`
	ResumeOffset int    `json:"from,omitempty"` // bytes of the completion that the caller already has
	Spans        []Span `json:"spans,omitempty"`
}

// Frame is the data of one event in the stream of a completion.
type Frame struct {
	Attempt string `json:"attempt"`
	Offset  int    `json:"offset"` // bytes of the completion before this frame
	Text    string `json:"text"`
	Total   int    `json:"total,omitempty"` // bytes of the whole completion; only in the last frame
	Done    bool   `json:"done,omitempty"`
}

// Load is an engine's report of its own load. It may lag behind the present state.
type Load struct {
	WaitingRequests    int  `json:"waiting"` // requests that wait for memory
	RunningRequests    int  `json:"running"` // requests that have memory
	BacklogTokens      int  `json:"backlog"` // prompt tokens that are not prefilled yet
	UsedMemoryTokens   int  `json:"used"`    // tokens of memory in use by streams and reservations
	WantedMemoryTokens int  `json:"wanted"`  // tokens of memory that the waiting requests need
	MemoryTokens       int  `json:"memory"`  // tokens of memory, used and free
	PrefillRate        int  `json:"prefill"` // prompt tokens per second
	Leaving            bool `json:"leaving,omitempty"`
}

// Notice is what a target says of itself in the header of an answer.
type Notice struct {
	Leaving bool         // it takes no new requests
	Quiet   clock.Millis // for so long it wants no requests from this instance; zero if it does not ask for that
}

// Holding is memory that an engine has allocated to an owner.
type Holding struct {
	ID        string `json:"id"`
	Owner     string `json:"owner"`
	Kind      string `json:"kind"` // KindStream or KindReservation
	Tokens    int    `json:"tokens"`
	AgeMillis int64  `json:"age_ms"`
	Attached  bool   `json:"attached"` // at least one connection reads the stream
}

// Reservation is the body of a request to reserve memory for one attempt.
type Reservation struct {
	ID     string `json:"id"`
	Owner  string `json:"owner"`
	Tokens int    `json:"tokens"`
}

// ActRequest is the body of a request that a plain service execute a call.
type ActRequest struct {
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	Profile string `json:"profile"`
	Body    string `json:"body"`
}

// ActResponse is the response of a plain service to an ActRequest.
type ActResponse struct {
	Attempt string `json:"attempt"`
	Body    string `json:"body"`
}

// State is the model, version, adapter and role that an engine runs.
type State struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	Adapter string `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
	Role    string `json:"role,omitempty" cbor:"4,keyasint,omitempty"`
	Loading bool   `json:"loading,omitempty" cbor:"-"` // the engine is still changing to this state
}

// Matches reports whether two states are equal, ignoring Loading.
func (s State) Matches(other State) bool {
	s.Loading, other.Loading = false, false
	return s == other
}

// Order is the body of a request that an engine change its state.
type Order struct {
	Fence uint64 `json:"fence"` // fencing number; an engine that checks it rejects a lower one than it has seen
	State State  `json:"state"`
}
