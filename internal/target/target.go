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
	"github.com/corianderpier/corianderpier/internal/engine"
)

const (
	dialTimeout  = 500 * time.Millisecond
	controlTime  = clock.Second // for load reports, reservations and releases
	maxLine      = 1 << 20      // bytes of one event
	maxAnswer    = 1 << 20      // bytes of a plain service's answer
	idlePerHost  = 32
	idleLifetime = 30 * time.Second
)

// Client holds the connections to targets.
type Client struct {
	Scheme string // "http" or "https"

	streams *http.Client // a connection for each stream, never used again
	control *http.Client
}

// Init sets up the connections.
func (l *Client) Init() {
	if l.Scheme == "" {
		l.Scheme = "http"
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	l.streams = &http.Client{Transport: &http.Transport{
		DialContext:       dialer.DialContext,
		DisableKeepAlives: true, // an abandoned answer must not reach the next request
	}}
	l.control = &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleLifetime,
	}}
}

// Stream runs or resumes a prompt on an engine and passes each checked frame on; it returns how many bytes of text were passed on.
func (l *Client) Stream(ctx context.Context, addr string, ask engine.CompletionRequest, resume bool, stall clock.Millis, seen func(engine.Load), pass func(engine.Frame) error) (int, error) {
	path := engine.PathCompletions
	if resume {
		path = engine.PathAttempts + ask.Attempt
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(stall.Duration(), cancel)
	defer watch.Stop()
	resp, err := l.post(ctx, l.streams, addr, path, ask)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var load engine.Load
	if json.Unmarshal([]byte(resp.Header.Get(engine.HeaderLoad)), &load) == nil {
		seen(load)
	}
	c := &check{attempt: ask.Attempt, offset: ask.ResumeOffset, pass: pass}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 4096), maxLine)
	for !c.done && lines.Scan() {
		if err := c.line(lines.Bytes()); err != nil {
			return c.offset - ask.ResumeOffset, err
		}
		watch.Reset(stall.Duration())
	}
	passed := c.offset - ask.ResumeOffset
	if c.done {
		return passed, nil
	}
	if !watch.Stop() {
		return passed, &Error{Op: "stream", Kind: Stalled}
	}
	return passed, &Error{Op: "stream", Kind: Broken, Err: lines.Err()}
}

// check accepts only the next piece of one attempt's answer.
type check struct {
	attempt string
	offset  int
	done    bool
	pass    func(engine.Frame) error
}

func (c *check) line(line []byte) error {
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	if !ok {
		return nil
	}
	var f engine.Frame
	if err := json.Unmarshal(data, &f); err != nil {
		return c.foreign("malformed")
	}
	if f.Attempt != c.attempt {
		return c.foreign("attempt")
	}
	if f.Offset != c.offset {
		return c.foreign("offset")
	}
	next := c.offset + len(f.Text)
	if f.Done && f.Total != next {
		return c.foreign("total")
	}
	c.offset, c.done = next, f.Done
	return c.pass(f)
}

func (c *check) foreign(what string) error {
	metrics.GetOrCreateCounter(`pier_target_foreign_total{what="` + what + `"}`).Inc()
	return &Error{Op: "stream", Kind: Mismatched, Err: eris.New(what)}
}

// Act has a plain service act once. An error of kind Untouched or Leaving proves that it did not act.
func (l *Client) Act(ctx context.Context, addr string, ask engine.ActRequest) (string, int, error) {
	resp, err := l.post(ctx, l.streams, addr, engine.PathAct, ask)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var acted engine.ActResponse
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return "", 0, &Error{Op: "act", Kind: Broken, Err: err}
	}
	if err := json.Unmarshal(body, &acted); err != nil {
		return "", 0, &Error{Op: "act", Kind: Broken, Err: err}
	}
	if acted.Attempt != ask.Attempt {
		metrics.GetOrCreateCounter(`pier_target_foreign_total{what="attempt"}`).Inc()
		return "", 0, &Error{Op: "act", Kind: Mismatched}
	}
	return acted.Body, resp.StatusCode, nil
}

// Load reads an engine's report about itself.
func (l *Client) Load(ctx context.Context, addr string) (engine.Load, error) {
	var load engine.Load
	return load, l.simple(ctx, http.MethodGet, addr, engine.PathLoad, nil, &load)
}

// Holdings lists the memory that an engine keeps for owners.
func (l *Client) Holdings(ctx context.Context, addr string) ([]engine.Holding, error) {
	var held []engine.Holding
	return held, l.simple(ctx, http.MethodGet, addr, engine.PathHoldings, nil, &held)
}

// Release frees a stream or reservation and stops its work.
func (l *Client) Release(ctx context.Context, addr, id string) error {
	return l.simple(ctx, http.MethodDelete, addr, engine.PathHoldings+"/"+id, nil, nil)
}

// Reserve keeps memory of an engine free for an attempt.
func (l *Client) Reserve(ctx context.Context, addr string, ask engine.Reservation) error {
	return l.simple(ctx, http.MethodPost, addr, engine.PathReservations, ask, nil)
}

// State reads what an engine runs as.
func (l *Client) State(ctx context.Context, addr string) (engine.State, error) {
	var state engine.State
	return state, l.simple(ctx, http.MethodGet, addr, engine.PathState, nil, &state)
}

// Order asks an engine to change its state, on a connection of its own.
func (l *Client) Order(ctx context.Context, addr string, o engine.Order) error {
	resp, err := l.post(ctx, l.streams, addr, engine.PathOrders, o)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (l *Client) simple(ctx context.Context, method, addr, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTime.Duration())
	defer cancel()
	resp, err := l.send(ctx, l.control, method, addr, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if into == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(into); err != nil {
		return &Error{Op: path, Kind: Broken, Err: err}
	}
	return nil
}

func (l *Client) post(ctx context.Context, client *http.Client, addr, path string, body any) (*http.Response, error) {
	return l.send(ctx, client, http.MethodPost, addr, path, body)
}

// send makes one call; an error tells whether the target can have processed it.
func (l *Client) send(ctx context.Context, client *http.Client, method, addr, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, &Error{Op: path, Kind: NotProcessed, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, l.Scheme+"://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, &Error{Op: path, Kind: NotProcessed, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, &Error{Op: path, Kind: sendKind(err), Err: err}
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

// sendKind tells a dial that failed, which proves that nothing was processed, from a lost answer.
func sendKind(err error) Kind {
	var op *net.OpError
	if eris.As(err, &op) && op.Op == "dial" {
		return NotProcessed
	}
	return Broken
}
