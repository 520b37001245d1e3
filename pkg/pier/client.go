package pier

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	dialTimeout        = 500 * time.Millisecond
	addressTimeout     = time.Second
	maxLine            = 1 << 20 // bytes of one event
	maxProblem         = 64 << 10
	defaultTries       = 4
	silentLimit        = 3 * time.Second  // without a byte of a streamed answer; an instance sends at least a comment each second
	uploadTime         = time.Microsecond // allowed for each byte of a prompt
	defaultCallTimeout = 15 * time.Second
	avoidTime          = 5 * time.Second // for which a failed address is used last
)

// Kind classifies a failure.
type Kind string

// The kinds of failure.
const (
	Refused Kind = "refused" // the Problem tells why
	Broken  Kind = "broken"  // the connection ended before the whole answer
	NoEntry Kind = "no entry instance answers"
)

// Error is a failed request.
type Error struct {
	Op      string
	Kind    Kind
	Problem wire.Problem // with Ran set also when no instance answered
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

// Client sends requests for one customer; it is safe for concurrent use.
type Client struct {
	Seeds       []string // addresses to ask first
	Customer    string
	Zone        string        // entry instances of this availability zone are preferred
	MaxTries    int           // addresses tried for one request; zero for 4
	SeedsOnly   bool          // uses the seeds alone and asks for no addresses
	TLS         *tls.Config   // nil for plain HTTP
	CallTimeout time.Duration // without an answer to a call, before another address is tried; zero for 15 s

	once  sync.Once
	http  *http.Client
	mu    sync.Mutex
	known wire.Addresses
	until time.Time
	avoid map[string]time.Time
}

// Answer is a whole answer to a prompt.
type Answer struct {
	Request          string
	Text             string
	Entry            string        // address of the entry instance
	Target           string        // that generated the answer
	TimeToFirstToken time.Duration // until the first text
	Tries            int
}

// Complete sends a prompt and returns the whole answer, or an error that says whether it ran.
func (c *Client) Complete(ctx context.Context, ask wire.Completion) (Answer, error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return Answer{}, &Error{Op: "complete", Kind: Broken, Err: err}
	}
	start := time.Now()
	var answer Answer
	var tries int
	// A prompt may be repeated: it changes nothing.
	err = c.each(ctx, "complete", true, func(addr string) error {
		var err error
		answer, err = c.stream(ctx, addr, body, start)
		return err
	}, &tries)
	answer.Tries = tries
	return answer, err
}

// Call has a plain service act. With a key it is safe to repeat; without one it is sent again only if it certainly did not run.
func (c *Client) Call(ctx context.Context, ask wire.Call, key string) (wire.Result, error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return wire.Result{}, &Error{Op: "call", Kind: Broken, Err: err}
	}
	var result wire.Result
	var tries int
	err = c.each(ctx, "call", key != "", func(addr string) error {
		ctx, cancel := context.WithTimeout(ctx, c.callTimeout())
		defer cancel()
		resp, err := c.post(ctx, addr, wire.PathCalls, key, body)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if err := json.NewDecoder(resp.Body).Decode(&result); err != nil {
			return &Error{Op: "call", Kind: Broken, Err: err, Problem: wire.Problem{Ran: wire.RanUnknown}}
		}
		return nil
	}, &tries)
	return result, err
}

// each tries addresses until one answers, as long as a repetition does no harm.
func (c *Client) each(ctx context.Context, op string, repeatable bool, try func(addr string) error, tries *int) error {
	limit := c.MaxTries
	if limit == 0 {
		limit = defaultTries
	}
	last := error(&Error{Op: op, Kind: NoEntry, Problem: wire.Problem{Ran: wire.RanNo}})
	touched := false // an instance may have run it
	for *tries = 1; *tries <= limit && ctx.Err() == nil; *tries++ {
		addr, err := c.pick(ctx)
		if err != nil {
			last = err
			continue
		}
		err = try(addr)
		if err == nil {
			return nil
		}
		last = err
		var e *Error
		if !eris.As(err, &e) {
			return err
		}
		if e.Kind == Refused && !elsewhere(e.Problem) {
			return merge(e, touched)
		}
		c.shun(addr)
		if e.Problem.Ran != wire.RanNo {
			touched = true
			if !repeatable {
				return e
			}
		}
	}
	var e *Error
	if eris.As(last, &e) {
		return merge(e, touched)
	}
	return last
}

// merge keeps a refusal of the last try from hiding that an earlier try may have run.
func merge(e *Error, touched bool) error {
	if touched && e.Problem.Ran == wire.RanNo {
		e.Problem.Ran = wire.RanUnknown
	}
	return e
}

// elsewhere reports whether another instance may take what this one refused.
func elsewhere(p wire.Problem) bool {
	switch p.Reason {
	case wire.ReasonDraining, wire.ReasonNotReady, wire.ReasonIsolated, wire.ReasonEntryMemory:
		return p.Ran == wire.RanNo
	default:
		return false
	}
}

// pick returns an address: a kept one while the answer may be kept, avoiding those that failed lately.
func (c *Client) pick(ctx context.Context) (string, error) {
	c.mu.Lock()
	stale := time.Now().After(c.until)
	c.mu.Unlock()
	if stale && !c.SeedsOnly {
		if err := c.refresh(ctx); err != nil {
			return "", err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.Seeds
	if !c.SeedsOnly {
		all = addrsOf(c.known)
	}
	if len(all) == 0 {
		return "", &Error{Op: "addresses", Kind: NoEntry, Problem: wire.Problem{Ran: wire.RanNo}}
	}
	var fresh []string
	for _, addr := range all {
		if time.Now().After(c.avoid[addr]) {
			fresh = append(fresh, addr)
		}
	}
	if len(fresh) == 0 {
		c.until = time.Time{} // ask again next time
		fresh = all
	}
	return fresh[rand.IntN(len(fresh))], nil
}

func addrsOf(a wire.Addresses) []string {
	var addrs []string
	for _, address := range a.Addresses {
		addrs = append(addrs, address.Addr)
	}
	return addrs
}

func (c *Client) shun(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoid == nil {
		c.avoid = make(map[string]time.Time)
	}
	c.avoid[addr] = time.Now().Add(avoidTime)
}

// refresh asks known addresses and then the seeds which instances to use.
func (c *Client) refresh(ctx context.Context) error {
	c.mu.Lock()
	ask := addrsOf(c.known)
	c.mu.Unlock()
	ask = append(ask, shuffled(c.Seeds)...)
	var last error
	for _, addr := range ask {
		answer, err := c.askAddresses(ctx, addr)
		if err != nil || len(answer.Addresses) == 0 {
			last = err
			continue
		}
		c.mu.Lock()
		c.known = answer
		c.until = time.Now().Add(time.Duration(answer.KeepMillis) * time.Millisecond)
		c.mu.Unlock()
		return nil
	}
	return &Error{Op: "addresses", Kind: NoEntry, Err: last, Problem: wire.Problem{Ran: wire.RanNo}}
}

func (c *Client) askAddresses(ctx context.Context, addr string) (wire.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme()+addr+wire.PathAddresses+"?zone="+c.Zone, nil)
	if err != nil {
		return wire.Addresses{}, err
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return wire.Addresses{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return wire.Addresses{}, eris.New(resp.Status)
	}
	var answer wire.Addresses
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, err
}

// stream sends the prompt to one address and takes the answer only if it is whole.
func (c *Client) stream(ctx context.Context, addr string, body []byte, start time.Time) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(silentLimit+time.Duration(len(body))*uploadTime, cancel)
	defer silent.Stop()
	resp, err := c.post(ctx, addr, wire.PathCompletions, "", body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	silent.Reset(silentLimit)
	answer := Answer{Entry: addr}
	var text bytes.Buffer
	failing := false
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 4096), maxLine)
	for lines.Scan() {
		silent.Reset(silentLimit)
		line := lines.Bytes()
		if string(line) == "event: "+wire.EventError {
			failing = true
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if failing {
			return Answer{}, refusal("complete", data)
		}
		var f wire.Frame
		if err := json.Unmarshal(data, &f); err != nil || f.Offset != text.Len() {
			return Answer{}, broken("complete", eris.New("a piece of the answer is out of place"))
		}
		if answer.TimeToFirstToken == 0 {
			answer.TimeToFirstToken = time.Since(start)
		}
		text.WriteString(f.Text)
		if f.Done {
			if f.Total != text.Len() {
				return Answer{}, broken("complete", eris.New("the answer is not whole"))
			}
			answer.Request, answer.Target, answer.Text = f.Request, f.Target, text.String()
			return answer, nil
		}
	}
	return Answer{}, broken("complete", lines.Err())
}

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
	resp, err := c.client().Do(req)
	if err != nil {
		ran := wire.RanUnknown
		var op *net.OpError
		if eris.As(err, &op) && op.Op == "dial" {
			ran = wire.RanNo
		}
		return nil, &Error{Op: path, Kind: Broken, Err: err, Problem: wire.Problem{Ran: ran}}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblem))
	return nil, refusal(path, data)
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

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		dialer := &net.Dialer{Timeout: dialTimeout}
		c.http = &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, TLSClientConfig: c.TLS, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
		}}
	})
	return c.http
}

func refusal(op string, data []byte) error {
	var p wire.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Ran == "" {
		return broken(op, eris.New("the refusal could not be read"))
	}
	return &Error{Op: op, Kind: Refused, Problem: p}
}

func broken(op string, err error) error {
	return &Error{Op: op, Kind: Broken, Err: err, Problem: wire.Problem{Ran: wire.RanUnknown}}
}

func shuffled(in []string) []string {
	out := append([]string(nil), in...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
