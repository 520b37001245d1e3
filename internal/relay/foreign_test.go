package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against: a stream has begun and broken off, and what the next target answers in place of its rest, an error or
// another body, reaches the caller inside the stream, or the stream ends as if it were complete.
func TestAnswerInsideStream(t *testing.T) {
	const text = "{\"error\": \"no such session\"}\n\n"
	for name, next := range map[string]attemptFunc{
		"400":                      answerWith(http.StatusBadRequest, text),
		"401":                      answerWith(http.StatusUnauthorized, text),
		"404":                      answerWith(http.StatusNotFound, text),
		"409":                      answerWith(http.StatusConflict, text),
		"410":                      answerWith(http.StatusGone, text),
		"413":                      answerWith(http.StatusRequestEntityTooLarge, text),
		"204":                      answerWith(http.StatusNoContent, ""),
		"206":                      answerWith(http.StatusPartialContent, eventsBetween(3, 4)),
		"302":                      answerWith(http.StatusFound, text),
		"500":                      answerWith(http.StatusInternalServerError, text),
		"503":                      answerWith(http.StatusServiceUnavailable, text),
		"not run":                  answerNotRun,
		"long error":               answerWith(http.StatusNotFound, strings.Repeat(text, maxBufferedBytes)),
		"200, a text":              answerWith(http.StatusOK, text),
		"200, a text and events":   answerWith(http.StatusOK, text+eventsBetween(3, 4)),
		"200, a head and events":   answerWith(http.StatusOK, "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\n"+eventsBetween(3, 4)),
		"200, another type":        answerTyped("application/json", text),
		"200, events of the start": answerWith(http.StatusOK, eventsBetween(1, 4)),
		"200, a gap":               answerWith(http.StatusOK, eventsBetween(4, 6)),
		"200, empty":               answerWith(http.StatusOK, ""),
		"200, cut":                 breakAfter(""),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, _, aborted := serve(t, Request{Kind: Stream, Resumable: true, MaxAttempts: 2}, breakAfter(eventsBetween(1, 2)), next)
			is.True(aborted)
			is.Equal(got.Code, http.StatusOK)
			is.Equal(got.Body.String(), eventsBetween(1, 2))
		})
	}
}

// Guards against: the check of a resumed answer refuses one that goes on with comments before its first event.
func TestCommentsInResumedStream(t *testing.T) {
	is := is.New(t)
	got, _, aborted := serve(t, Request{Kind: Stream, Resumable: true, MaxAttempts: 2},
		breakAfter(eventsBetween(1, 2)), answerWith(http.StatusOK, ": resumed\n\n"+eventsBetween(3, 4)))
	is.True(!aborted)
	is.True(strings.HasPrefix(got.Body.String(), eventsBetween(1, 2)))
	is.True(strings.HasSuffix(got.Body.String(), eventsBetween(3, 4)))
}

// Guards against: a stream whose events have no ids is sent a second time from its start.
func TestUnnumberedStreamNotResumed(t *testing.T) {
	is := is.New(t)
	unnumbered := "data: x\n\ndata: x\n\n"
	broken := func(Request, int) (*Answer, error) {
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(strings.NewReader(unnumbered), errReader{}))}, nil
	}
	got, target, aborted := serve(t, Request{Kind: Stream, Resumable: true, MaxAttempts: 2}, broken, answerWith(http.StatusOK, unnumbered))
	is.True(aborted)
	is.Equal(target.sent, 1)
	is.Equal(got.Body.String(), unnumbered)
}

// answerTyped answers with 200, a content type and a body.
func answerTyped(contentType, body string) attemptFunc {
	return func(Request, int) (*Answer, error) {
		return &Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {contentType}}, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}
