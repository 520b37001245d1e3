package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/detour"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/limit"
	"github.com/corianderpier/corianderpier/internal/strict"
)

const (
	dialTimeout    = 500 * time.Millisecond
	controlTimeout = clock.Second // of each short call
	maxEventBytes  = 1 << 20
	maxAnswerBytes = 1 << 20  // of an answer that is not a stream; a longer one fails
	maxHeaderBytes = 64 << 10 // of an answer
	maxSilentBytes = 64 << 10 // of a stream between two frames with text; comments tell that an engine still works
)

// Client sends HTTP requests to targets.
type Client struct {
	Scheme   string                             // "http" or "https"
	OnNotice func(addr string, n engine.Notice) // called with what a target says of itself in an answer; nil if nobody heeds it
	// Dial opens a connection to a target within dialTimeout. Nil for a direct one.
	Dial func(ctx context.Context, t detour.Target) (net.Conn, error)

	httpClient *http.Client // opens a new connection for each call
}

// Init creates the HTTP client; it is called before any other method.
func (c *Client) Init() {
	if c.Scheme == "" {
		c.Scheme = "http"
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, t detour.Target) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", t.Addr)
		}
	}
	c.httpClient = &http.Client{Transport: &strict.Transport{Base: &http.Transport{
		DialContext: c.dial, MaxResponseHeaderBytes: maxHeaderBytes,
		DisableKeepAlives: true, // a late copy or the rest of an abandoned answer must not be read as the answer to the next request
	}}}
}

// purpose is the key under which the context of a call has a detour.Target without an address: what its connection is for.
type purpose struct{}

// withPurpose returns a context for a call whose connection is for a request, or for control.
func withPurpose(ctx context.Context, t detour.Target) context.Context {
	return context.WithValue(ctx, purpose{}, t)
}

// dial opens a connection, or fails after dialTimeout. An address serves as the target's ID, since a client knows no other.
func (c *Client) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	t, _ := ctx.Value(purpose{}).(detour.Target)
	t.ID, t.Addr = addr, addr
	conn, err := c.Dial(ctx, t)
	if err != nil || c.Scheme != "http" {
		return conn, err
	}
	return strict.NewConn(conn), nil
}

// Stream runs a prompt on an engine, or resumes it, and calls onFrame with each valid frame of the answer.
// It returns the number of bytes of text forwarded, also with an error. It fails with kind
// Stalled when nothing arrives for stallTimeout, and calls onLoad with the load that the engine reports in a header.
func (c *Client) Stream(ctx context.Context, addr string, prompt engine.CompletionRequest, resume bool, stallTimeout clock.Millis, onLoad func(engine.Load), onFrame func(engine.Frame) error) (int, error) {
	path := engine.PathCompletions
	if resume {
		path = engine.PathAttempts + prompt.Attempt
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stallTimer := time.AfterFunc(stallTimeout.Duration(), cancel)
	defer stallTimer.Stop()
	resp, err := c.post(withPurpose(ctx, detour.Target{Request: prompt.Attempt}), addr, path, prompt)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var load engine.Load
	if json.Unmarshal([]byte(resp.Header.Get(engine.HeaderLoad)), &load) == nil {
		onLoad(load)
	}
	checker := &frameChecker{attempt: prompt.Attempt, offset: prompt.ResumeOffset, onFrame: onFrame}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 4096), maxEventBytes)
	for !checker.complete && scanner.Scan() {
		if err := checker.checkLine(scanner.Bytes()); err != nil {
			return checker.offset - prompt.ResumeOffset, err
		}
		stallTimer.Reset(stallTimeout.Duration())
	}
	forwarded := checker.offset - prompt.ResumeOffset
	if checker.complete {
		return forwarded, nil
	}
	if !stallTimer.Stop() {
		return forwarded, &Error{Op: "stream", Kind: Stalled}
	}
	return forwarded, &Error{Op: "stream", Kind: Broken, Err: scanner.Err()}
}

// frameChecker forwards frames that continue the answer of one attempt and rejects all others.
type frameChecker struct {
	attempt     string
	offset      int // bytes of text accepted so far, counted from the start of the answer
	complete    bool
	silentBytes int                      // received since the last frame with text
	onFrame     func(engine.Frame) error // called with each accepted frame
}

// checkLine checks one line of the event stream and forwards the frame in it; lines other than data are ignored.
func (c *frameChecker) checkLine(line []byte) error {
	if c.silentBytes > maxSilentBytes {
		return &Error{Op: "stream", Kind: Broken, Err: eris.Errorf("more than %d bytes without text", maxSilentBytes)}
	}
	c.silentBytes += len(line) + 1
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	if !ok {
		return nil
	}
	var frame engine.Frame
	if err := json.Unmarshal(data, &frame); err != nil {
		return c.mismatch("malformed")
	}
	if frame.Attempt != c.attempt {
		return c.mismatch("attempt")
	}
	if frame.Offset != c.offset {
		return c.mismatch("offset")
	}
	next := c.offset + len(frame.Text)
	if frame.Done && frame.Total != next {
		return c.mismatch("total")
	}
	if next > c.offset {
		c.silentBytes = 0
	}
	c.offset, c.complete = next, frame.Done
	return c.onFrame(frame)
}

// mismatch counts a rejected frame and returns the error; what is the field that differs.
func (c *frameChecker) mismatch(what string) error {
	metrics.GetOrCreateCounter(`pier_target_foreign_total{what="` + what + `"}`).Inc()
	return &Error{Op: "stream", Kind: Mismatched, Err: eris.New(what)}
}

// Act runs an operation on a plain service and returns the body and status of the answer. An error of kind NotProcessed
// or Leaving proves that the operation did not run.
func (c *Client) Act(ctx context.Context, addr string, call engine.ActRequest) (string, int, error) {
	resp, err := c.post(withPurpose(ctx, detour.Target{Request: call.Attempt}), addr, engine.PathAct, call)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var result engine.ActResponse
	body, err := limit.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return "", 0, &Error{Op: "act", Kind: Broken, Err: err}
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return "", 0, &Error{Op: "act", Kind: Broken, Err: err}
	}
	if result.Attempt != call.Attempt {
		metrics.GetOrCreateCounter(`pier_target_foreign_total{what="attempt"}`).Inc()
		return "", 0, &Error{Op: "act", Kind: Mismatched}
	}
	return result.Body, resp.StatusCode, nil
}

// Load fetches the load report of an engine.
func (c *Client) Load(ctx context.Context, addr string) (engine.Load, error) {
	var load engine.Load
	err := c.controlCall(ctx, http.MethodGet, addr, engine.PathLoad, nil, &load)
	return load, err
}

// Holdings lists the memory that an engine keeps, with the owner of each holding.
func (c *Client) Holdings(ctx context.Context, addr string) ([]engine.Holding, error) {
	var holdings []engine.Holding
	err := c.controlCall(ctx, http.MethodGet, addr, engine.PathHoldings, nil, &holdings)
	return holdings, err
}

// Release frees the memory of a stream or reservation on an engine and stops its work.
func (c *Client) Release(ctx context.Context, addr, id string) error {
	return c.controlCall(ctx, http.MethodDelete, addr, engine.PathHoldings+"/"+id, nil, nil)
}

// Reserve reserves memory on an engine for an attempt.
func (c *Client) Reserve(ctx context.Context, addr string, reservation engine.Reservation) error {
	return c.controlCall(ctx, http.MethodPost, addr, engine.PathReservations, reservation, nil)
}

// State fetches the current state of an engine.
func (c *Client) State(ctx context.Context, addr string) (engine.State, error) {
	var state engine.State
	err := c.controlCall(ctx, http.MethodGet, addr, engine.PathState, nil, &state)
	return state, err
}

// Order asks an engine to change its state, over a new connection.
func (c *Client) Order(ctx context.Context, addr string, order engine.Order) error {
	resp, err := c.post(withPurpose(ctx, detour.Target{Control: true}), addr, engine.PathOrders, order)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// controlCall makes a short call with a timeout and decodes the answer into result, unless result is nil.
func (c *Client) controlCall(ctx context.Context, method, addr, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout.Duration())
	defer cancel()
	resp, err := c.send(withPurpose(ctx, detour.Target{Control: true}), method, addr, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if result == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(result); err != nil {
		return &Error{Op: path, Kind: Broken, Err: err}
	}
	return nil
}

func (c *Client) post(ctx context.Context, addr, path string, body any) (*http.Response, error) {
	return c.send(ctx, http.MethodPost, addr, path, body)
}

// send sends one request; the kind of an error tells whether the target may have processed it. A status of 400 or above
// is returned as an error.
func (c *Client) send(ctx context.Context, method, addr, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, &Error{Op: path, Kind: NotProcessed, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Scheme+"://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, &Error{Op: path, Kind: NotProcessed, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, &Error{Op: path, Kind: transportErrorKind(err), Err: err}
	}
	if n := parseNotice(resp); n != (engine.Notice{}) && c.OnNotice != nil {
		c.OnNotice(addr, n)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	_ = resp.Body.Close()
	kind := Refused
	if resp.Header.Get(engine.HeaderNotProcessed) != "" {
		kind = NotProcessed
	}
	if kind == NotProcessed && resp.Header.Get(engine.HeaderLeaving) != "" {
		kind = Leaving
	}
	return nil, &Error{Op: path, Kind: kind, Err: eris.New(resp.Status)}
}

// transportErrorKind tells a failed dial, which proves that nothing was processed, from a lost answer, which proves nothing.
func transportErrorKind(err error) Kind {
	var opErr *net.OpError
	var dial *detour.Error
	if eris.As(err, &dial) || eris.As(err, &opErr) && opErr.Op == "dial" {
		return NotProcessed
	}
	return Broken
}
