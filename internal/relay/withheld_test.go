package relay

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against: a request that is withheld from a cold target after it has waited for a connection uses up an attempt, counts as one
// that may have run, or is given up after some such placements.
func TestWithheldPlacedAnew(t *testing.T) {
	is := is.New(t)
	attempts := []attemptFunc{failWith(Withheld), failWith(Withheld), failWith(Withheld), failWith(Withheld), answerWith(200, "fifth")}
	got, target, _ := serve(t, Request{Kind: AtMostOnce, MaxAttempts: 1}, attempts...)
	is.Equal(target.sent, len(attempts))
	is.Equal(got.Body.String(), "fifth")
	got, _, _ = serve(t, Request{Kind: AtMostOnce, MaxAttempts: 1}, failWith(Withheld), answerNotRun)
	is.Equal(got.Code, http.StatusServiceUnavailable)
}
