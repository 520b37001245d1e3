package wire

// Paths, headers, content types and events of the caller interface.
const (
	PathAddresses   = "/v1/addresses"
	PathCompletions = "/v1/completions"
	PathCalls       = "/v1/calls"

	HeaderCustomer       = "X-Customer"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"

	ContentTypeProblem = "application/problem+json"
	ContentTypeEvents  = "text/event-stream"
	EventError         = "error"
	EndOfEvents        = "[DONE]"
)

// Ran says whether a target ran a request.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Problem is the body of every error response: an RFC 9457 object with the extension members ran, reason and request.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"` // HTTP status
	Detail  string `json:"detail,omitempty"`
	Ran     Ran    `json:"ran"`
	Reason  Reason `json:"reason"`
	Request string `json:"request,omitempty"` // request ID
}

// Error formats the problem as one line.
func (p *Problem) Error() string {
	return string(p.Reason) + ": " + p.Detail + " (ran: " + string(p.Ran) + ")"
}

// Address is the address on which one entry instance serves callers.
type Address struct {
	Name string `json:"name"` // of the instance
	Zone string `json:"zone"`
	Addr string `json:"addr"` // host and port
}

// Addresses lists the entry instances that a client should use.
type Addresses struct {
	Addresses     []Address `json:"addresses"`
	KeepMillis    int64     `json:"keep_ms"` // milliseconds for which a client may cache the list
	ConfigVersion uint64    `json:"config"`  // version of the active configuration
}

// Completion is a request for a streamed answer of a model.
type Completion struct {
	Profile      string `json:"profile"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt_tokens,omitempty"` // a lower bound; the entry instance uses the larger of this and its own count
	MaxTokens    int    `json:"max_tokens,omitempty"`
}

// Call is a request to a plain service.
type Call struct {
	Profile string `json:"profile"`
	Body    string `json:"body"`
}

// Frame is one event of a streamed answer.
type Frame struct {
	Request string `json:"request"` // request ID
	Offset  int    `json:"offset"`  // bytes of text before this frame
	Text    string `json:"text"`
	Total   int    `json:"total,omitempty"` // bytes of the whole text, in the last frame
	Done    bool   `json:"done,omitempty"`
	Target  string `json:"target,omitempty"` // ID
}

// Result is the answer to a call that ran.
type Result struct {
	Request string `json:"request"` // request ID
	Ran     Ran    `json:"ran"`
	Status  int    `json:"status"` // HTTP status of the target's answer
	Body    string `json:"body"`
	Target  string `json:"target,omitempty"` // ID
	Joined  bool   `json:"joined,omitempty"` // the call ran for another request with the same idempotency key
}
