package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: a request of a customer over its share that is refused for another reason, as if it might have run, or without the
// time after which its customer is within its share; a placement that does not know the customer and its priority.
func TestRefusedForShare(t *testing.T) {
	is := is.New(t)
	target := &fakeTarget{}
	relay, _ := newRelay(t, target.send)
	var asked board.Requirements
	relay.Place = func(n board.Requirements) (*board.Placement, error) {
		asked = n
		return nil, &board.Error{Op: "place", Kind: board.Share, Wait: 1200}
	}
	var got Refusal
	relay.Refuse = func(_ http.ResponseWriter, _ Request, refusal Refusal) { got = refusal }
	r := Request{ID: "r", Service: "desk", Kind: Idempotent, Customer: "importer", Priority: 2, MaxAttempts: 2, Arrived: clock.Now(), Deadline: clock.Now() + clock.Second}
	r.OperatorDeadline = r.Deadline
	relay.Serve(context.Background(), httptest.NewRecorder(), r)
	is.Equal(got, Refusal{Reason: Share, RetryAfter: 1200})
	is.Equal(asked.Customer, "importer")
	is.Equal(asked.Priority, 2.0)
	is.Equal(target.sent, 0)
}
