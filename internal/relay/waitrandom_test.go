package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: with room that comes and goes, callers that leave, targets that turn requests away and a stop, a request gets no
// outcome or two, room is lost, one that may run once is sent twice after it has run, or one is refused as not run that has run.
func TestWaitersRandomly(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 5))
			capacity := 1 + r.IntN(4)
			s := newWaitSite(t, capacity, 1+r.IntN(40))
			var mu sync.Mutex
			random := func(n int) int { mu.Lock(); defer mu.Unlock(); return r.IntN(n) }
			ran := make(map[string]int) // by request, also in part
			s.answer = func(r Request, _ int) (*Answer, error) {
				time.Sleep(time.Duration(random(8)) * time.Millisecond)
				choice := random(8)
				if choice > 1 {
					mu.Lock()
					ran[r.ID]++
					mu.Unlock()
				}
				switch choice {
				case 0:
					return nil, &Error{Op: "send", Kind: NotSent}
				case 1:
					return answerNotRun(r, 0)
				case 2:
					return nil, &Error{Op: "send", Kind: Broken}
				default:
					return answerDone(r, 0)
				}
			}
			const callers = 80
			outcomes, kinds := make([]int, callers), make([]Kind, callers)
			var group sync.WaitGroup
			for n := range callers {
				kinds[n] = Kind(random(3))
				request := waitingRequest(strconv.Itoa(n), kinds[n])
				request.Priority, request.FirstEventSLO = float64(random(4)), clock.Millis(random(3000))
				request.Deadline = request.Arrived + clock.Millis(50+random(3000))
				ctx, leave := context.WithCancel(t.Context())
				if random(4) == 0 {
					time.AfterFunc(time.Duration(random(150))*time.Millisecond, leave)
				}
				time.Sleep(time.Duration(random(3)) * time.Millisecond)
				group.Go(func() {
					defer leave()
					outcomes[n] = s.serveTo(ctx, request)
				})
			}
			if seed%2 == 0 {
				time.Sleep(50 * time.Millisecond)
				s.Room.Close()
			}
			group.Wait()
			is.Equal(s.Room.length.Load(), int64(0))
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(s.room, capacity)
			is.Equal(len(s.Room.waiters), 0)
			refused := 0
			for n, status := range outcomes {
				id := strconv.Itoa(n)
				if status == http.StatusServiceUnavailable {
					refused++
					is.True(s.refused[id].MayHaveRun || ran[id] == 0)
				}
				is.True(ran[id] <= 1 || kinds[n] == Idempotent)
				is.True(status != http.StatusOK || ran[id] > 0)
			}
			is.Equal(refused, len(s.refusals))
		})
	}
}

// Guards against: callers that break off and come back at once are served more often than those that wait for their turn.
func TestHastyCallersGainNothing(t *testing.T) {
	is := is.New(t)
	s := newWaitSite(t, 4, 256)
	s.answer = func(r Request, _ int) (*Answer, error) {
		time.Sleep(10 * time.Millisecond)
		return answerDone(r, 0)
	}
	ctx, stop := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer stop()
	var mu sync.Mutex
	served := map[bool]int{}
	var group sync.WaitGroup
	for n := range 40 {
		hasty := n%2 == 0
		group.Go(func() {
			for ctx.Err() == nil {
				caller, leave := context.WithCancel(ctx)
				if hasty {
					time.AfterFunc(30*time.Millisecond, leave)
				}
				r := waitingRequest(strconv.Itoa(n), Idempotent)
				r.FirstEventSLO = 3 * clock.Second
				if s.serveTo(caller, r) == http.StatusOK {
					mu.Lock()
					served[hasty]++
					mu.Unlock()
				}
				leave()
			}
		})
	}
	group.Wait()
	t.Logf("served: %d of hasty callers, %d of patient ones", served[true], served[false])
	is.True(served[false] > 20)
	is.True(served[true] < served[false])
}
