package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// endless is a body that repeats a text until limit bytes were read, and counts those.
type endless struct {
	text  string
	limit int
	read  int
}

func (e *endless) Read(p []byte) (int, error) {
	if e.read >= e.limit {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, e.text[e.read%len(e.text):])
	e.read += n
	return n, nil
}

// endlessLimit is far above what may be read of bytes that are no answer.
const endlessLimit = 256 << 20

// answerEndlessly answers with a first part and then without end.
func answerEndlessly(status int, first string, rest *endless) attemptFunc {
	return func(Request, int) (*Answer, error) {
		return &Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(strings.NewReader(first), rest))}, nil
	}
}

// A stream that goes on without an event, after any number of them, is ended; its target's bytes are not read further.
func TestEndlessStream(t *testing.T) {
	for name, text := range map[string]string{
		"line without end":      "x",
		"event without end":     "data: x\n",
		"comments without end":  ": still here\n\n",
		"events without number": "data: x\n\n",
		"empty lines":           "\n",
	} {
		for _, events := range []int{0, 3} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				body := &endless{text: text, limit: endlessLimit}
				got, _, aborted := serve(t, Request{Kind: Stream, MaxAttempts: 1}, answerEndlessly(200, eventsBetween(1, events), body))
				is.True(body.read <= 2*maxUnnumberedBytes)
				is.True(aborted || got.Code == http.StatusBadGateway) // the caller sees that the answer is incomplete
			})
		}
	}
}

// An answer without end is not passed on as if it were whole.
func TestEndlessAnswer(t *testing.T) {
	for _, status := range []int{200, 404, 500} {
		is := is.New(t)
		body := &endless{text: "x", limit: endlessLimit}
		got, _, aborted := serve(t, Request{Kind: AtMostOnce, MaxAttempts: 1}, answerEndlessly(status, "", body))
		is.True(body.read <= 2*maxAnswerBytes)
		is.True(aborted || got.Code == http.StatusBadGateway)
	}
}

// An answer whose declared length is above the limit is refused at once.
func TestTooLongAnswer(t *testing.T) {
	is := is.New(t)
	body := &endless{text: "x", limit: endlessLimit}
	got, _, _ := serve(t, Request{Kind: AtMostOnce, MaxAttempts: 1}, func(Request, int) (*Answer, error) {
		header := http.Header{"Content-Length": {"1000000000"}}
		return &Answer{Status: 200, Header: header, Body: io.NopCloser(body)}, nil
	})
	is.Equal(got.Code, http.StatusBadGateway)
	is.Equal(body.read, 0)
}

// An answer that is larger than what is kept of one is passed on whole; if it breaks, the connection is closed.
func TestLargeAnswer(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("0123456789", 200_000)
	got, _, aborted := serve(t, Request{Kind: Idempotent, MaxAttempts: 2}, answerWith(200, text))
	is.True(!aborted)
	is.True(got.Body.String() == text)
	got, target, aborted := serve(t, Request{Kind: Idempotent, MaxAttempts: 2}, breakAfter(text))
	is.True(aborted)
	is.Equal(target.sent, 1) // a part has reached the caller
	is.True(strings.HasPrefix(got.Body.String(), text))
}
