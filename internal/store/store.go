package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/limit"
	"github.com/corianderpier/corianderpier/internal/reach"
	"github.com/corianderpier/corianderpier/internal/strict"
)

// MaxValueBytes is the size limit of a value in the object API.
const MaxValueBytes = 1 << 20

const (
	defaultTimeout = 2 * clock.Second
	maxListBytes   = 4 << 20 // of the response to a list
)

// defaultClient refuses responses that are no HTTP.
var defaultClient = &http.Client{Transport: &strict.Transport{Base: http.DefaultTransport}}

// Object is one version of a named value.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Client calls the object API.
type Client struct {
	BaseURL    string       // of the object API, without a trailing slash
	HTTPClient *http.Client // nil for defaultClient
	Timeout    clock.Millis // of one call, to which a watch adds its wait; zero for the default

	reach reach.Monitor
}

// Get reads the current version of an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.get(ctx, "get "+name, name, nil)
}

// Watch waits until an object has a version above the given one. If the wait ends first, it returns the current version
// without a value.
func (c *Client) Watch(ctx context.Context, name string, above uint64, wait clock.Millis) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + c.timeout()).Duration())
	defer cancel()
	query := url.Values{
		"above": {strconv.FormatUint(above, 10)},
		"wait":  {wait.String()},
	}
	return c.get(ctx, "watch "+name, name, query)
}

// List reads all objects whose names start with the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	op := "list " + prefix
	countCall("list")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+"/list?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, &Error{Op: op, Kind: Refused, Err: err}
	}
	resp, err := c.do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{Op: op, Kind: Unavailable, Err: eris.New(resp.Status)}
	}
	data, err := limit.ReadAll(resp.Body, maxListBytes)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	var objects []Object
	if err := json.Unmarshal(data, &objects); err != nil {
		return nil, &Error{Op: op, Kind: Malformed, Err: err}
	}
	return objects, nil
}

// Put replaces the given version of an object, or creates the object if the version is zero, and returns the new version.
func (c *Client) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	op := "put " + name
	if len(value) > MaxValueBytes {
		return 0, &Error{Op: op, Kind: TooLarge}
	}
	countCall("put")
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(name), bytes.NewReader(value))
	if err != nil {
		return 0, &Error{Op: op, Kind: Refused, Err: err}
	}
	if version == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", formatETag(version))
	}
	resp, err := c.do(req)
	if err != nil {
		return 0, &Error{Op: op, Kind: OutcomeUnknown, Err: err}
	}
	defer drainAndClose(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return parseETag(op, resp)
	case http.StatusPreconditionFailed:
		return 0, &Error{Op: op, Kind: Conflict}
	case http.StatusTooManyRequests, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return 0, &Error{Op: op, Kind: Refused, Err: eris.New(resp.Status)}
	default:
		return 0, &Error{Op: op, Kind: OutcomeUnknown, Err: eris.New(resp.Status)}
	}
}

// Delete removes the given version of an object. It succeeds if the object does not exist.
func (c *Client) Delete(ctx context.Context, name string, version uint64) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	op := "delete " + name
	countCall("delete")
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.objectURL(name), nil)
	if err != nil {
		return &Error{Op: op, Kind: Refused, Err: err}
	}
	req.Header.Set("If-Match", formatETag(version))
	resp, err := c.do(req)
	if err != nil {
		return &Error{Op: op, Kind: OutcomeUnknown, Err: err}
	}
	defer drainAndClose(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
		return nil
	case http.StatusPreconditionFailed:
		return &Error{Op: op, Kind: Conflict}
	default:
		return &Error{Op: op, Kind: OutcomeUnknown, Err: eris.New(resp.Status)}
	}
}

// get reads an object; the first word of op is the call's label in the metrics.
func (c *Client) get(ctx context.Context, op, name string, query url.Values) (Object, error) {
	countCall(strings.SplitN(op, " ", 2)[0])
	rawURL := c.objectURL(name)
	if query != nil {
		rawURL += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, rawURL, nil)
	if err != nil {
		return Object{}, &Error{Op: op, Kind: Refused, Err: err}
	}
	resp, err := c.do(req)
	if err != nil {
		return Object{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	defer drainAndClose(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		version, err := parseETag(op, resp)
		return Object{Name: name, Version: version}, err
	case http.StatusNotFound:
		return Object{}, &Error{Op: op, Kind: NotFound}
	default:
		return Object{}, &Error{Op: op, Kind: Unavailable, Err: eris.New(resp.Status)}
	}
	version, err := parseETag(op, resp)
	if err != nil {
		return Object{}, err
	}
	value, err := limit.ReadAll(resp.Body, MaxValueBytes)
	if err != nil {
		return Object{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	return Object{Name: name, Version: version, Value: value}, nil
}

func (c *Client) timeout() clock.Millis {
	if c.Timeout == 0 {
		return defaultTimeout
	}
	return c.Timeout
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout().Duration())
}

func (c *Client) httpClient() *http.Client {
	if c.HTTPClient == nil {
		return defaultClient
	}
	return c.HTTPClient
}

// do sends a request. Whether the API was away is not asked here, so that the wait of a watch does not matter.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	return c.reach.Do(c.httpClient(), req, 0)
}

func (c *Client) objectURL(name string) string { return c.BaseURL + "/objects/" + name }

func countCall(call string) {
	metrics.GetOrCreateCounter(`pier_store_calls_total{call="` + call + `"}`).Inc()
}

func formatETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseETag(op string, resp *http.Response) (uint64, error) {
	tag := strings.Trim(resp.Header.Get("ETag"), `"`)
	version, err := strconv.ParseUint(tag, 10, 64)
	if err != nil {
		return 0, &Error{Op: op, Kind: Malformed, Err: err}
	}
	return version, nil
}

// drainAndClose closes a body after reading up to MaxValueBytes of the rest, so that the connection can be reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxValueBytes))
	_ = body.Close()
}
