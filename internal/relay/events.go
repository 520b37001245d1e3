package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

const maxEvent = 1 << 20 // bytes

// events splits a stream into whole events.
type events struct {
	from *bufio.Reader
}

func newEvents(body io.Reader) *events { return &events{from: bufio.NewReader(body)} }

// event is one whole event with its closing empty line.
type event struct {
	data []byte
	id   int // -1 without one
}

// next returns the next whole event, io.EOF after the last, and another error if the stream breaks off.
func (e *events) next() (event, error) {
	out := event{id: -1}
	for {
		line, err := e.from.ReadBytes('\n')
		if err != nil {
			if eris.Is(err, io.EOF) && len(out.data) == 0 && len(line) == 0 {
				return event{}, io.EOF
			}
			if eris.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		out.data = append(out.data, line...)
		if len(out.data) > maxEvent {
			return event{}, eris.New("event too large")
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return out, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil {
				return event{}, eris.Wrap(err, "event id")
			}
			out.id = id
		}
	}
}
