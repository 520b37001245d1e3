package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// Call is one request of a client, as it is written on the wire.
type Call struct {
	Method, Path, Host, Key, Body string
	Deadline                      time.Duration
	Header                        []string // further lines
	ID                            string
}

// Reply is what a client got.
type Reply struct {
	Status int // zero if there was no answer
	Header http.Header
	Body   string
	Err    error // the answer is not complete, or there is none
	Took   time.Duration
}

// Whole reports whether there was a complete answer.
func (r Reply) Whole() bool { return r.Err == nil && r.Status > 0 }

// Do sends a request on a connection of its own and reads the answer.
func (c *Call) Do(rec *Record, addr string) Reply {
	if c.ID == "" {
		c.ID = fmt.Sprintf("req-%06d", requestNumber.Add(1))
	}
	began := time.Now()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		rec.Line("client %s: no connection to %s", c.ID, addr)
		return Reply{Err: err}
	}
	defer func() { _ = conn.Close() }()
	r := c.On(conn, bufio.NewReader(conn))
	r.Took = time.Since(began)
	rec.Line("client %s: %s %s key=%q %q to %s -> %d, %d bytes, %v, %d ms", c.ID, c.Method, c.Path, c.Key, c.Header, addr, r.Status, len(r.Body), errText(r.Err), r.Took.Milliseconds())
	return r
}

// On sends a request on an open connection and reads the answer.
func (c *Call) On(conn net.Conn, br *bufio.Reader) Reply {
	_ = conn.SetDeadline(time.Now().Add(c.Deadline + 500*time.Millisecond))
	if _, err := io.WriteString(conn, c.Text()); err != nil {
		return Reply{Err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: c.Method})
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

// Text returns the request as it is written on the wire.
func (c *Call) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.Method, c.Path, c.Host, c.ID, c.Deadline.Milliseconds())
	if c.Key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", c.Key)
	}
	for _, h := range c.Header {
		b.WriteString(h + "\r\n")
	}
	if c.Body != "" || c.Method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n" + c.Body)
	return b.String()
}

func errText(err error) string {
	if err == nil {
		return "complete"
	}
	return err.Error()
}
