package strict

import (
	"bytes"
	"net"
)

const (
	maxLineBytes = 32  // of a line of a head that are looked at
	maxHeadLines = 256 // of all heads of a response; net/http needs up to 200 bytes for each, however short it is
)

var (
	chunkedVersion = []byte("HTTP/1.1") // the first one in which a response may have chunks
	chunkedField   = []byte("Transfer-Encoding:")
)

// Conn is a connection for one request whose response net/http reads. It fails before the end of a head in which net/http would miss
// that a field says how long the body is, or that has too many lines.
type Conn struct {
	net.Conn

	head    head
	invalid error // nil until a head is not valid
}

// NewConn wraps a connection of which nothing has been read.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read reads from the connection; it fails with an *Error for a head that is not valid.
func (c *Conn) Read(p []byte) (int, error) {
	if c.invalid != nil {
		return 0, c.invalid // a bufio.Reader asks again after a part of a line
	}
	n, err := c.Conn.Read(p)
	if c.invalid = c.head.add(p[:n]); c.invalid != nil {
		return 0, c.invalid
	}
	return n, err
}

// head looks at the heads of a final response and of the interim ones before it.
type head struct {
	line    []byte // first bytes of the current line
	lines   int    // that have ended, of all heads
	fields  bool   // the status line has been read
	old     bool   // the response is of a version without chunks
	interim bool   // another head follows
	ended   bool   // the body follows
}

// add adds bytes that were read, and returns what is wrong with them, or nil.
func (h *head) add(data []byte) error {
	for !h.ended && len(data) > 0 {
		text, rest, whole := bytes.Cut(data, []byte("\n"))
		h.line = append(h.line, text[:min(len(text), maxLineBytes-len(h.line))]...)
		if !whole {
			return nil
		}
		if err := h.endLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
			return err
		}
		h.line, data = h.line[:0], rest
	}
	return nil
}

// endLine looks at a line of a head, or at its first bytes.
func (h *head) endLine(line []byte) error {
	h.lines++
	switch {
	case h.lines > maxHeadLines:
		return refuse(TooManyLines, string(line))
	case !h.fields:
		version, status, _ := bytes.Cut(line, []byte(" "))
		status = bytes.TrimLeft(status, " ")
		h.fields, h.old = true, bytes.Compare(version, chunkedVersion) < 0
		h.interim = bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
	case len(line) == 0:
		h.fields, h.ended = false, !h.interim
	case line[0] == ' ' || line[0] == '\t': // it goes on with the line before, for those who know that
		return refuse(InvalidField, string(line))
	case h.old && len(line) >= len(chunkedField) && bytes.EqualFold(line[:len(chunkedField)], chunkedField):
		return refuse(InvalidField, string(line))
	}
	return nil
}
