package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Raw is a fake target whose answers are bytes, which need not be HTTP.
type Raw struct {
	// Answer writes the answer to a request to its connection, and reports whether the connection is kept for the next one.
	Answer func(conn net.Conn, r *http.Request) bool
	Unread bool // the body of a request is not read before its answer

	listener net.Listener
}

// Listen opens a port on the loopback interface and serves it until Close.
func (f *Raw) Listen() error {
	var err error
	f.listener, err = ListenEach(f.serve)
	return err
}

// Addr returns the address of the port.
func (f *Raw) Addr() string { return f.listener.Addr().String() }

// Close closes the port; connections that are open are served on.
func (f *Raw) Close() error { return f.listener.Close() }

// serve answers the requests on a connection. It reads each one's body before, unless that is left unread.
func (f *Raw) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if !f.Unread {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil || !f.Answer(conn, r) {
			return
		}
	}
}
