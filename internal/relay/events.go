package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

const maxEventBytes = 1 << 20 // of one event; a longer one fails the attempt

// eventReader splits a stream of server-sent events into single events.
type eventReader struct {
	source *bufio.Reader
}

// newEventReader returns an eventReader for the body of an answer.
func newEventReader(body io.Reader) *eventReader { return &eventReader{source: bufio.NewReader(body)} }

// event is one server-sent event.
type event struct {
	data []byte // as received, with the empty line that ends it
	id   int    // -1 if the event has none
}

// next returns the next event. The error is io.EOF if the stream ends between events, and io.ErrUnexpectedEOF if it ends
// within one.
func (r *eventReader) next() (event, error) {
	next := event{id: -1}
	for {
		line, err := r.source.ReadBytes('\n')
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
		if len(next.data) > maxEventBytes {
			return event{}, eris.Errorf("event is larger than %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return next, nil
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
