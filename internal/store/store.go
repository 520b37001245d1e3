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
)

// MaxValueBytes is the largest value that the object API holds, in bytes.
const MaxValueBytes = 1 << 20

const defaultTimeout = 2 * clock.Second

// Object is one version of a named value.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Client calls the object API.
type Client struct {
	BaseURL    string       // URL without a trailing slash
	HTTPClient *http.Client // nil for the default client
	Timeout    clock.Millis // of one call, but for watches; zero for the default
}

// Get reads the present version of an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	return c.read(ctx, "get "+name, name, nil)
}

// Watch waits until an object has a version above the given one; it returns that version unchanged when the wait ends first.
func (c *Client) Watch(ctx context.Context, name string, above uint64, wait clock.Millis) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + c.timeout()).Duration())
	defer cancel()
	query := url.Values{
		"above": {strconv.FormatUint(above, 10)},
		"wait":  {wait.String()},
	}
	return c.read(ctx, "watch "+name, name, query)
}

// List reads all objects whose names begin with the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	op := "list " + prefix
	count("list")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+"/list?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, &Error{Op: op, Kind: Refused, Err: err}
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	defer discard(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{Op: op, Kind: Unavailable, Err: eris.New(resp.Status)}
	}
	var objects []Object
	if err := json.NewDecoder(resp.Body).Decode(&objects); err != nil {
		return nil, &Error{Op: op, Kind: Malformed, Err: err}
	}
	return objects, nil
}

// Put replaces the given version of an object, or creates it when the version is zero, and returns the new version.
func (c *Client) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	op := "put " + name
	if len(value) > MaxValueBytes {
		return 0, &Error{Op: op, Kind: TooLarge}
	}
	count("put")
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.url(name), bytes.NewReader(value))
	if err != nil {
		return 0, &Error{Op: op, Kind: Refused, Err: err}
	}
	if version == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", quote(version))
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return 0, &Error{Op: op, Kind: OutcomeUnknown, Err: err}
	}
	defer discard(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return parseTag(op, resp)
	case http.StatusPreconditionFailed:
		return 0, &Error{Op: op, Kind: Conflict}
	case http.StatusTooManyRequests, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return 0, &Error{Op: op, Kind: Refused, Err: eris.New(resp.Status)}
	default:
		return 0, &Error{Op: op, Kind: OutcomeUnknown, Err: eris.New(resp.Status)}
	}
}

// Delete removes the given version of an object.
func (c *Client) Delete(ctx context.Context, name string, version uint64) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	op := "delete " + name
	count("delete")
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.url(name), nil)
	if err != nil {
		return &Error{Op: op, Kind: Refused, Err: err}
	}
	req.Header.Set("If-Match", quote(version))
	resp, err := c.client().Do(req)
	if err != nil {
		return &Error{Op: op, Kind: OutcomeUnknown, Err: err}
	}
	defer discard(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
		return nil
	case http.StatusPreconditionFailed:
		return &Error{Op: op, Kind: Conflict}
	default:
		return &Error{Op: op, Kind: OutcomeUnknown, Err: eris.New(resp.Status)}
	}
}

func (c *Client) read(ctx context.Context, op, name string, query url.Values) (Object, error) {
	count(strings.SplitN(op, " ", 2)[0])
	target := c.url(name)
	if query != nil {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Object{}, &Error{Op: op, Kind: Refused, Err: err}
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return Object{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	defer discard(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		version, err := parseTag(op, resp)
		return Object{Name: name, Version: version}, err
	case http.StatusNotFound:
		return Object{}, &Error{Op: op, Kind: NotFound}
	default:
		return Object{}, &Error{Op: op, Kind: Unavailable, Err: eris.New(resp.Status)}
	}
	version, err := parseTag(op, resp)
	if err != nil {
		return Object{}, err
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
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

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout().Duration())
}

func (c *Client) client() *http.Client {
	if c.HTTPClient == nil {
		return http.DefaultClient
	}
	return c.HTTPClient
}

func (c *Client) url(name string) string { return c.BaseURL + "/objects/" + name }

func count(call string) {
	metrics.GetOrCreateCounter(`pier_store_calls_total{call="` + call + `"}`).Inc()
}

func quote(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseTag(op string, resp *http.Response) (uint64, error) {
	tag := strings.Trim(resp.Header.Get("ETag"), `"`)
	version, err := strconv.ParseUint(tag, 10, 64)
	if err != nil {
		return 0, &Error{Op: op, Kind: Malformed, Err: err}
	}
	return version, nil
}

func discard(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxValueBytes))
	_ = body.Close()
}
