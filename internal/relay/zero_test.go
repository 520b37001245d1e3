package relay

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against: the first event of a stream comes twice if its id is zero and its target fails after it (ORDER).
func TestStreamFromZeroResumes(t *testing.T) {
	for name, resumed := range map[string]struct {
		answer  string
		aborted bool
	}{
		"after event 0":      {eventsBetween(1, 6), false},
		"from the beginning": {eventsBetween(0, 6), true}, // by a target that takes no part in resuming
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			told := false
			resume := func(r Request, lastEventID int) (*Answer, error) {
				told = r.HasEvent && lastEventID == 0
				return answerWith(200, resumed.answer)(r, lastEventID)
			}
			r := Request{Kind: Stream, Resumable: true, MaxAttempts: 2}
			got, _, aborted := serve(t, r, breakAfter(eventsBetween(0, 0)), resume)
			is.True(told)
			is.Equal(aborted, resumed.aborted)
			if !aborted {
				is.Equal(got.Body.String(), eventsBetween(0, 6))
			} else {
				is.Equal(got.Body.String(), eventsBetween(0, 0))
			}
		})
	}
}

// A caller that has event 0 gets the stream from event 1 on; one that has none gets it from its first event on, whatever its id.
func TestCallerWithEventZero(t *testing.T) {
	is := is.New(t)
	got, _, _ := serve(t, Request{Kind: Stream, MaxAttempts: 1, HasEvent: true}, answerWith(200, eventsBetween(1, 3)))
	is.Equal(got.Body.String(), eventsBetween(1, 3))
	_, _, aborted := serve(t, Request{Kind: Stream, MaxAttempts: 1}, answerWith(200, eventsBetween(7, 9)))
	is.True(!aborted)
}
