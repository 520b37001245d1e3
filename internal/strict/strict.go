package strict

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = 200 // of a final response; 101 is one too, but no request here asks for another protocol
	maxStatus = 599
)

// Transport passes on the responses of another transport whose heads are valid.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip sends a request; it fails with an *Error for a response whose head is not valid.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections of the other transport that are not in use.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// check returns what is wrong with the head of a response, or nil.
func check(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return refuse(InvalidStatus, resp.Status)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) { // package net/http takes names with blanks
			return refuse(InvalidField, name)
		}
	}
	return nil
}
