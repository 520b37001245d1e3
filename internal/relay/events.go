package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	maxEventBytes      = 64 << 10 // of one event; a longer one fails the attempt
	maxUnnumberedBytes = 64 << 10 // of events without an id since the last one with an id; more fail the attempt
)

// eventReader splits a stream of server-sent events into single events.
type eventReader struct {
	source     *bufio.Reader
	unnumbered int // bytes received since the last event with an id
}

// newEventReader returns an eventReader for the body of an answer.
func newEventReader(body io.Reader) *eventReader { return &eventReader{source: bufio.NewReader(body)} }

// event is one server-sent event.
type event struct {
	data []byte // as received, with the empty line that ends it
	id   int    // -1 if the event has none
}

// isComment reports whether the event consists of comments alone.
func (e event) isComment() bool {
	for line := range bytes.Lines(e.data) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// next returns the next event. The error is io.EOF if the stream ends between events, and io.ErrUnexpectedEOF if it ends
// within one.
func (r *eventReader) next() (event, error) {
	next := event{id: -1}
	for {
		line, err := r.readLine(maxEventBytes - len(next.data))
		if err != nil {
			if eris.Is(err, io.EOF) && len(next.data) == 0 && len(line) == 0 {
				return event{}, io.EOF
			}
			if eris.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		next.data = append(next.data, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return next, r.countUnnumbered(next)
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil {
				return event{}, eris.Wrap(err, "invalid event id")
			}
			next.id = id
		}
	}
}

// readLine returns the next line with its newline. A line that exceeds the limit fails before the rest of it is read.
func (r *eventReader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, eris.Errorf("event is larger than %d bytes", maxEventBytes)
		}
		line = append(line, part...)
		if !eris.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// countUnnumbered fails if too much has been received since the last event with an id, as a target that sends comments or
// empty lines without end sends no answer.
func (r *eventReader) countUnnumbered(received event) error {
	if received.id >= 0 {
		r.unnumbered = 0
		return nil
	}
	if r.unnumbered += len(received.data); r.unnumbered > maxUnnumberedBytes {
		return eris.Errorf("more than %d bytes without an event id", maxUnnumberedBytes)
	}
	return nil
}
