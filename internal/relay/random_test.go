package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/ticket"
)

// account counts what a request takes and gives back.
type account struct {
	mu            sync.Mutex
	placed, ended map[uint64]int
	leased        map[string]time.Time // by lease: when it was last acquired or renewed
	released      map[string]bool
	sent          int // attempts that a target may have got
	ran           int // of them, those that it has not refused
}

// broadcast notes placements and their ends from the datagrams of a board.
func (a *account) broadcast(data []byte) {
	var p struct {
		Placed []struct {
			Number uint64 `cbor:"1,keyasint"`
		} `cbor:"2,keyasint"`
		Ended []uint64 `cbor:"4,keyasint"`
	}
	_ = cbor.Unmarshal(data, &p)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range p.Placed {
		a.placed[r.Number]++
	}
	for _, n := range p.Ended {
		a.ended[n]++
	}
}

// tickets returns a manager whose leases are counted.
func (a *account) tickets(r *rand.Rand) *ticket.Manager {
	used := r.IntN(2) == 0
	return &ticket.Manager{
		Reserve: func(_ context.Context, l ticket.Lease, _ clock.Millis) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.leased[l.ID] = time.Now()
			return nil
		},
		Release: func(_ context.Context, l ticket.Lease) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.released[l.ID] = true
			return nil
		},
		InUse:       func(context.Context, ticket.Lease) (bool, error) { return used, nil },
		MaxIdleTime: func() clock.Millis { return 2 * clock.Second },
	}
}

// answer returns a random answer of a target: it may refuse, fail, hang, break or pause.
func (a *account) answer(ctx context.Context, choice, pause, from int) (*Answer, error) {
	a.mu.Lock()
	if choice != 0 {
		a.sent++
	}
	if choice > 1 {
		a.ran++
	}
	a.mu.Unlock()
	wait := time.Duration(pause) * time.Millisecond
	switch choice {
	case 0:
		return nil, &Error{Op: "send", Kind: NotSent}
	case 1:
		return answerNotRun(Request{}, 0)
	case 2:
		select {
		case <-ctx.Done():
			return nil, &Error{Op: "send", Kind: Broken, Err: ctx.Err()}
		case <-time.After(wait):
			return answerWith(500, "error")(Request{}, 0)
		}
	case 3:
		return hung(ctx)
	case 4:
		return answerWith(503, "unproven")(Request{}, 0)
	case 5:
		return breaking(ctx, eventsBetween(from, from), wait, eventsBetween(from+1, from+1)), nil
	default:
		return pausing(ctx, eventsBetween(from, from), wait, eventsBetween(from+1, 12)), nil
	}
}

// breaking answers with two parts and a pause in between, and then breaks.
func breaking(ctx context.Context, first string, pause time.Duration, rest string) *Answer {
	body, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, first)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			_, _ = io.WriteString(w, rest)
		}
		_ = w.CloseWithError(io.ErrUnexpectedEOF)
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}
}

// Guards against: an attempt goes on although a hedge has taken its place, or a hedge takes the place of one that has gone on.
func TestAttemptOrHedge(t *testing.T) {
	is := is.New(t)
	for range 1000 {
		var s sharedProgress
		s.beginAttempt()
		since, advanced := s.snapshot(), make(chan bool)
		go func() { advanced <- s.advance(func(*progress) {}) }()
		ended := s.endUnlessAdvanced(since, Stalled)
		is.True(ended != <-advanced)
	}
}

// Guards against: beside silent engines, a placement or a lease is kept for good, an event is lost or comes twice, a request that
// may run once is sent twice, one that may have run is refused as not run, or one is sent more often than it has attempts.
func TestSilentEnginesRandomly(t *testing.T) {
	t.Parallel()
	const seeds = 24
	for seed := range uint64(seeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 33))
			a := &account{placed: make(map[uint64]int), ended: make(map[uint64]int), leased: make(map[string]time.Time), released: make(map[string]bool)}
			s := &silentSite{engines: 8, maxAttempts: 1 + r.IntN(4), hangs: 1 + r.IntN(3), broadcast: a.broadcast, deadline: clock.Millis(2000 + r.IntN(5000)), retries: 1 + r.IntN(4)}
			if r.IntN(3) == 0 {
				s.leaves = time.Duration(200+r.IntN(5000)) * time.Millisecond
			}
			if r.IntN(3) == 0 {
				s.memory, s.tickets = 800, a.tickets(r)
			}
			request := []Request{resumable, resumable, resumable, {Kind: Stream}, {Kind: Idempotent}, {Kind: AtMostOnce}}[r.IntN(6)]
			choices, pauses := make([]int, 16), make([]int, 16)
			for i := range choices {
				choices[i], pauses[i] = r.IntN(9), r.IntN(3500)
			}
			choices[0], pauses[0] = []int{2, 3, 5, 6, 7, 8}[r.IntN(6)], 1300+r.IntN(2500) // the first target is silent for a while
			n := 0
			s.every = func(ctx context.Context, lastEventID int) (*Answer, error) {
				s.mu.Lock()
				choice, pause := choices[n%16], pauses[n%16]
				n++
				s.mu.Unlock()
				return a.answer(ctx, choice, pause, lastEventID+1)
			}
			got, aborted := s.serve(t, request, "", "", nil)
			done := time.Now()
			time.Sleep(1500 * time.Millisecond) // until all is told and released, and placements have been told again
			a.mu.Lock()
			defer a.mu.Unlock()
			for number := range a.placed {
				is.Equal(a.ended[number], 1)
			}
			for id, renewed := range a.leased {
				is.True(a.released[id])
				is.True(renewed.Sub(done) < 500*time.Millisecond) // one that is renewed as it is released expires
			}
			is.True(a.sent <= s.maxAttempts)
			if request.Kind == AtMostOnce || request.Kind == Stream && !request.Resumable {
				is.True(a.ran <= 1)
			}
			for _, refusal := range s.refusals {
				is.True(refusal.MayHaveRun || a.ran == 0)
			}
			body := got.Body.String()
			if got.Code == http.StatusOK && len(s.refusals) == 0 {
				is.True(strings.HasPrefix(eventsBetween(1, 12), body))
				if !aborted && request.Kind == Stream && s.leaves == 0 {
					is.Equal(body, eventsBetween(1, 12))
				}
			}
		})
	}
}
