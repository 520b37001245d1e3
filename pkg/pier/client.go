package pier

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/limit"
	"github.com/corianderpier/corianderpier/internal/strict"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	dialTimeout        = 500 * time.Millisecond
	maxProblemBytes    = 64 << 10
	maxAnswerBytes     = 16 << 20 // of the result of a call, or of the text of a prompt's answer
	maxHeaderBytes     = 64 << 10 // of an answer
	defaultMaxTries    = 4
	defaultCallTimeout = 15 * time.Second
)

// Kind classifies an Error.
type Kind string

// The kinds of failure.
const (
	Refused Kind = "refused"                   // an instance refused the request; Problem says why
	Broken  Kind = "broken"                    // the request could not be sent, or no complete answer arrived
	NoEntry Kind = "no entry instance answers" // no address of an entry instance could be obtained
)

// Error reports a failed request.
type Error struct {
	Op      string
	Kind    Kind
	Problem wire.Problem // the instance's answer if Kind is Refused; otherwise only Ran is set
	Err     error
}

func (e *Error) Error() string {
	if e.Kind == Refused {
		return e.Op + ": " + e.Problem.Error()
	}
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client sends the requests of one customer. It is safe for concurrent use.
type Client struct {
	Seeds       []string      // addresses of entry instances that are asked for the addresses to use
	Customer    string        // name
	Zone        string        // availability zone whose entry instances are preferred
	MaxTries    int           // addresses that are tried for one request; 4 if zero
	SeedsOnly   bool          // send requests to the seeds, without asking for addresses
	TLS         *tls.Config   // plain HTTP if nil
	CallTimeout time.Duration // for one try of a call; 15 s if zero

	once       sync.Once
	http       *http.Client
	mu         sync.Mutex
	addresses  wire.Addresses       // the last answer
	refreshAt  time.Time            // when the addresses expire
	avoidUntil map[string]time.Time // by address
}

// Answer is a complete answer to a prompt.
type Answer struct {
	Request          string // request ID
	Text             string
	Entry            string        // address of the entry instance
	Target           string        // ID of the target that generated the answer
	TimeToFirstToken time.Duration // from the call of Complete to the first text
	Tries            int           // addresses tried
}

// Complete sends a prompt and returns the complete answer, or an error that says whether the prompt was run.
func (c *Client) Complete(ctx context.Context, req wire.Completion) (Answer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Answer{}, &Error{Op: "complete", Kind: Broken, Err: err}
	}
	start := time.Now()
	var answer Answer
	var tries int
	// A prompt changes no state, so it is safe to retry.
	err = c.tryAddresses(ctx, "complete", true, func(addr string) error {
		var err error
		answer, err = c.streamAnswer(ctx, addr, body, start)
		return err
	}, &tries)
	answer.Tries = tries
	return answer, err
}

// Call sends a call to a plain service. If a try fails, a call with an idempotency key is retried in any case; a call
// without one is retried only if it is certain that it did not run.
func (c *Client) Call(ctx context.Context, req wire.Call, key string) (wire.Result, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return wire.Result{}, &Error{Op: "call", Kind: Broken, Err: err}
	}
	var result wire.Result
	var tries int
	err = c.tryAddresses(ctx, "call", key != "", func(addr string) error {
		ctx, cancel := context.WithTimeout(ctx, c.callTimeout())
		defer cancel()
		resp, err := c.post(ctx, addr, wire.PathCalls, key, body)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if err := decodeBody(resp.Body, maxAnswerBytes, &result); err != nil {
			return brokenError("call", err)
		}
		return nil
	}, &tries)
	return result, err
}

// tryAddresses calls try with one address after another until it succeeds, up to MaxTries times, and counts the tries. It
// stops at a refusal that another instance would repeat, and at a request that may have run and is not idempotent.
func (c *Client) tryAddresses(ctx context.Context, op string, idempotent bool, try func(addr string) error, tries *int) error {
	limit := c.MaxTries
	if limit == 0 {
		limit = defaultMaxTries
	}
	lastErr := error(&Error{Op: op, Kind: NoEntry, Problem: wire.Problem{Ran: wire.RanNo}})
	mayHaveRun := false // in one of the tries
	for n := 1; n <= limit && ctx.Err() == nil; n++ {
		*tries = n
		addr, err := c.pickAddress(ctx)
		if err != nil {
			lastErr = err
			continue
		}
		err = try(addr)
		if err == nil {
			return nil
		}
		lastErr = err
		var e *Error
		if !eris.As(err, &e) {
			return err
		}
		if e.Kind == Refused && !mayRetryElsewhere(e.Problem) {
			return adjustRan(e, mayHaveRun)
		}
		c.avoidAddress(addr)
		if e.Problem.Ran != wire.RanNo {
			mayHaveRun = true
			if !idempotent {
				return e
			}
		}
	}
	var e *Error
	if eris.As(lastErr, &e) {
		return adjustRan(e, mayHaveRun)
	}
	return lastErr
}

// adjustRan changes a last error that says "not run" to unknown if an earlier try may have run.
func adjustRan(e *Error, mayHaveRun bool) error {
	if mayHaveRun && e.Problem.Ran == wire.RanNo {
		e.Problem.Ran = wire.RanUnknown
	}
	return e
}

// mayRetryElsewhere reports whether another instance may accept a request that one has refused.
func mayRetryElsewhere(p wire.Problem) bool {
	switch p.Reason {
	case wire.ReasonDraining, wire.ReasonNotReady, wire.ReasonIsolated, wire.ReasonEntryMemory:
		return p.Ran == wire.RanNo
	default:
		return false
	}
}

// decodeBody decodes a body of at most the given number of bytes.
func decodeBody(body io.Reader, most int64, into any) error {
	data, err := limit.ReadAll(body, most)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// post sends a request to one address and returns the response if its status is 200. Otherwise the error says that the
// request did not run if it was not sent, because no connection could be opened, or if the instance says so.
func (c *Client) post(ctx context.Context, addr, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme()+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: path, Kind: Broken, Err: err, Problem: wire.Problem{Ran: wire.RanNo}}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderCustomer, c.Customer)
	if key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, key)
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		ran := wire.RanUnknown
		var opErr *net.OpError
		if eris.As(err, &opErr) && opErr.Op == "dial" {
			ran = wire.RanNo
		}
		return nil, &Error{Op: path, Kind: Broken, Err: err, Problem: wire.Problem{Ran: ran}}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	return nil, refusedError(path, data)
}

func (c *Client) callTimeout() time.Duration {
	if c.CallTimeout == 0 {
		return defaultCallTimeout
	}
	return c.CallTimeout
}

func (c *Client) scheme() string {
	if c.TLS == nil {
		return "http://"
	}
	return "https://"
}

func (c *Client) httpClient() *http.Client {
	c.once.Do(func() {
		dialer := &net.Dialer{Timeout: dialTimeout}
		c.http = &http.Client{Transport: &strict.Transport{Base: &http.Transport{
			DialContext: dialer.DialContext, TLSClientConfig: c.TLS, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}}}
	})
	return c.http
}

// refusedError returns the error for a problem that an instance has sent as a response or as an error event.
func refusedError(op string, data []byte) error {
	var problem wire.Problem
	if err := json.Unmarshal(data, &problem); err != nil || problem.Ran == "" {
		return brokenError(op, eris.New("problem cannot be decoded"))
	}
	return &Error{Op: op, Kind: Refused, Problem: problem}
}

// brokenError returns the error for a request that was sent and may have run.
func brokenError(op string, err error) error {
	return &Error{Op: op, Kind: Broken, Err: err, Problem: wire.Problem{Ran: wire.RanUnknown}}
}
