package engine

// Paths of the target interface.
const (
	PathCompletions  = "/v1/completions"
	PathAttempts     = "/v1/attempts/"
	PathLoad         = "/v1/load"
	PathHoldings     = "/v1/held"
	PathReservations = "/v1/reservations"
	PathAct          = "/v1/act"
	PathState        = "/v1/state"
	PathOrders       = "/v1/orders"

	HeaderLoad         = "X-Load" // a Load, on the answer to a prompt
	HeaderLeaving      = "X-Leaving"
	HeaderNotProcessed = "X-Not-Processed" // the target states that it did not act
)

// The kinds of holding.
const (
	KindStream      = "stream"
	KindReservation = "reservation"
)

// Span is a part of a prompt's memory that another engine holds under a reservation.
type Span struct {
	Target      string `json:"target"`
	Reservation string `json:"reservation"`
	Tokens      int    `json:"tokens"`
}

// CompletionRequest asks an engine for a streamed answer.
type CompletionRequest struct {
	Attempt      string `json:"attempt"`
	Owner        string `json:"owner"` // instance and incarnation that the stream belongs to
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt_tokens"`
	MaxTokens    int    `json:"max_tokens"`
	Priority     int    `json:"priority"`
	ResumeOffset int    `json:"from,omitempty"` // bytes of the answer that the caller has
	Spans        []Span `json:"spans,omitempty"`
}

// Frame is one event of an engine's streamed answer.
type Frame struct {
	Attempt string `json:"attempt"`
	Offset  int    `json:"offset"` // bytes of text before this frame
	Text    string `json:"text"`
	Total   int    `json:"total,omitempty"` // bytes of the whole text, in the last frame
	Done    bool   `json:"done,omitempty"`
}

// Load is an engine's report about itself; it lags.
type Load struct {
	WaitingRequests    int  `json:"waiting"` // requests without memory yet
	RunningRequests    int  `json:"running"` // requests with memory
	BacklogTokens      int  `json:"backlog"` // prompt tokens not yet processed
	UsedMemoryTokens   int  `json:"used"`    // tokens of memory owned by streams and reservations
	WantedMemoryTokens int  `json:"wanted"`  // tokens of memory that waiting requests need
	MemoryTokens       int  `json:"memory"`  // tokens of memory in all
	PrefillRate        int  `json:"prefill"` // prompt tokens a second
	Leaving            bool `json:"leaving,omitempty"`
}

// Holding is memory that an engine keeps for an owner.
type Holding struct {
	ID        string `json:"id"`
	Owner     string `json:"owner"`
	Kind      string `json:"kind"` // KindStream or KindReservation
	Tokens    int    `json:"tokens"`
	AgeMillis int64  `json:"age_ms"`
	Attached  bool   `json:"attached"` // a connection reads the stream
}

// Reservation asks an engine to keep memory free for one attempt.
type Reservation struct {
	ID     string `json:"id"`
	Owner  string `json:"owner"`
	Tokens int    `json:"tokens"`
}

// ActRequest asks a plain service to act once.
type ActRequest struct {
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	Profile string `json:"profile"`
	Body    string `json:"body"`
}

// ActResponse is the answer of a plain service.
type ActResponse struct {
	Attempt string `json:"attempt"`
	Body    string `json:"body"`
}

// State is what an engine runs as.
type State struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	Adapter string `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
	Role    string `json:"role,omitempty" cbor:"4,keyasint,omitempty"`
	Loading bool   `json:"loading,omitempty" cbor:"-"` // a change is in progress
}

// Matches reports whether two states are the same but for progress.
func (s State) Matches(other State) bool {
	s.Loading, other.Loading = false, false
	return s == other
}

// Order asks an engine to change its state.
type Order struct {
	Fence uint64 `json:"fence"` // an engine that checks it refuses a lower one than it has seen
	State State  `json:"state"`
}
