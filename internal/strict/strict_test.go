package strict

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

// closeCounter is a body that counts how often it is closed.
type closeCounter struct {
	io.Reader
	closed int
}

// Close counts.
func (c *closeCounter) Close() error {
	c.closed++
	return nil
}

// roundTrip is a function as a transport.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip calls the function.
func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against: a response with an invalid head is passed on, its connection stays open, or one with a valid head is refused.
func TestTransport(t *testing.T) {
	sound := http.Header{"X-Sound": {"v"}, "x-lower": {""}, "!#$%&'*+-.^_`|~09": {"v"}}
	for name, c := range map[string]struct {
		status int
		header http.Header
		want   Kind // empty for a valid head
	}{
		"lowest":   {200, sound, ""},
		"highest":  {599, sound, ""},
		"zero":     {0, sound, InvalidStatus},
		"too low":  {199, sound, InvalidStatus},
		"too high": {600, sound, InvalidStatus},
		"blank":    {200, http.Header{"X Sound": {"v"}}, InvalidField},
		"control":  {200, http.Header{"X\x01Sound": {"v"}}, InvalidField},
		"empty":    {200, http.Header{"": {"v"}}, InvalidField},
		"long":     {404, http.Header{strings.Repeat("x ", 1000): {"v"}}, InvalidField},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := &closeCounter{Reader: strings.NewReader("body")}
			transport := &Transport{Base: roundTrip(func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: c.status, Header: c.header, Body: body}, nil
			})}
			resp, err := transport.RoundTrip(&http.Request{})
			if c.want == "" {
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
				is.Equal(body.closed, 0)
				return
			}
			var e *Error
			is.True(eris.As(err, &e))
			is.Equal(e.Kind, c.want)
			is.True(resp == nil)
			is.Equal(body.closed, 1)
			is.True(len(err.Error()) < 200)
		})
	}
}
