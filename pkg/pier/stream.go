package pier

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/limit"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	maxEventBytes     = 1 << 20          // in a line of a streamed answer
	maxSilentBytes    = 64 << 10         // of a streamed answer between two frames with text
	idleTimeout       = 3 * time.Second  // without a line of a streamed answer; an instance sends at least a comment each second
	uploadTimePerByte = time.Microsecond // added to idleTimeout for each byte of a prompt
)

// streamAnswer sends the prompt to one address and reads the streamed answer. It returns an error unless the answer is
// complete.
func (c *Client) streamAnswer(ctx context.Context, addr string, body []byte, start time.Time) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout+time.Duration(len(body))*uploadTimePerByte, cancel)
	defer idleTimer.Stop()
	resp, err := c.post(ctx, addr, wire.PathCompletions, "", body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	idleTimer.Reset(idleTimeout)
	reader := answerReader{answer: Answer{Entry: addr}, start: start}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 4096), maxEventBytes)
	for lines.Scan() {
		idleTimer.Reset(idleTimeout)
		complete, err := reader.addLine(lines.Bytes())
		if err != nil {
			return Answer{}, err
		}
		if complete {
			return reader.answer, nil
		}
	}
	return Answer{}, brokenError("complete", lines.Err())
}

// answerReader puts a streamed answer together.
type answerReader struct {
	answer      Answer
	start       time.Time // when the request was made
	text        bytes.Buffer
	isError     bool // the next frame is an error event
	silentBytes int  // received since the last frame with text
}

// addLine adds a line of the stream, and reports whether the answer is complete.
func (a *answerReader) addLine(line []byte) (bool, error) {
	if a.silentBytes > maxSilentBytes {
		return false, brokenError("complete", eris.New("too much without text"))
	}
	a.silentBytes += len(line) + 1
	if string(line) == "event: "+wire.EventError {
		a.isError = true
		return false, nil
	}
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	switch {
	case !ok:
		return false, nil
	case a.isError:
		return false, refusedError("complete", data)
	}
	var frame wire.Frame
	if err := json.Unmarshal(data, &frame); err != nil || frame.Offset != a.text.Len() {
		return false, brokenError("complete", eris.New("frame cannot be decoded or does not continue the answer"))
	}
	return frame.Done, a.addFrame(frame)
}

// addFrame adds a frame that continues the answer.
func (a *answerReader) addFrame(frame wire.Frame) error {
	if a.answer.TimeToFirstToken == 0 {
		a.answer.TimeToFirstToken = time.Since(a.start)
	}
	a.text.WriteString(frame.Text)
	if a.text.Len() > maxAnswerBytes {
		return brokenError("complete", limit.ErrTooLong)
	}
	if frame.Text != "" {
		a.silentBytes = 0
	}
	if !frame.Done {
		return nil
	}
	if frame.Total != a.text.Len() {
		return brokenError("complete", eris.New("answer ends before its total length"))
	}
	a.answer.Request, a.answer.Target, a.answer.Text = frame.Request, frame.Target, a.text.String()
	return nil
}
