package wire

// Paths and headers of the caller interface.
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

// Ran tells whether a request was run by a target.
type Ran string

// The possible answers to whether a request was run.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Problem is the body of every failed answer, an RFC 9457 object with two members of our own.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Ran     Ran    `json:"ran"`
	Reason  Reason `json:"reason"`
	Request string `json:"request,omitempty"`
}

// Error formats the problem in one line.
func (p *Problem) Error() string {
	return string(p.Reason) + ": " + p.Detail + " (ran: " + string(p.Ran) + ")"
}

// Address is where one entry instance serves callers.
type Address struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// Addresses is the answer to the question which entry instances to use.
type Addresses struct {
	Addresses     []Address `json:"addresses"`
	KeepMillis    int64     `json:"keep_ms"` // milliseconds the answer may be kept
	ConfigVersion uint64    `json:"config"`  // version of the configuration in force
}

// Completion asks a model for a streamed answer.
type Completion struct {
	Profile      string `json:"profile"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt_tokens,omitempty"` // a lower bound; the entry takes the larger of this and its own count
	MaxTokens    int    `json:"max_tokens,omitempty"`
}

// Call asks a plain service to act.
type Call struct {
	Profile string `json:"profile"`
	Body    string `json:"body"`
}

// Frame is one event of a streamed answer.
type Frame struct {
	Request string `json:"request"`
	Offset  int    `json:"offset"` // bytes of text before this frame
	Text    string `json:"text"`
	Total   int    `json:"total,omitempty"` // bytes of the whole text, in the last frame
	Done    bool   `json:"done,omitempty"`
	Target  string `json:"target,omitempty"`
}

// Result is the answer to a call that ran.
type Result struct {
	Request string `json:"request"`
	Ran     Ran    `json:"ran"`
	Status  int    `json:"status"` // HTTP status of the target's answer
	Body    string `json:"body"`
	Target  string `json:"target,omitempty"`
	Joined  bool   `json:"joined,omitempty"` // an earlier request with the same key ran it
}
