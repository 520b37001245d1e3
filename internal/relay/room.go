package relay

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/queue"
)

// Room lets requests wait until there is room for them at targets.
type Room struct {
	// Queue decides which requests wait, and whose turn it is to be tried. Only its exported fields may be set, and before the first use.
	Queue queue.Queue

	mu      sync.Mutex // of all below and of Queue
	waiters map[*queue.Entry]*waiter
	timer   *time.Timer  // for the next turn; nil before the first
	length  atomic.Int64 // of the queue, to be read without the lock
}

// notice is what a request that waits is told.
type notice uint8

const (
	turn      notice = iota // it is to be tried now
	displaced               // another one has taken its entry
	hopeless                // no target takes it before the end of its longest wait
	closed                  // the instance stops
)

const maxNotices = 2 // to a request: that it has its turn, and then that it has lost its entry

// waiter is a request that waits.
type waiter struct {
	room  *Room
	entry *queue.Entry
	since clock.Millis
	told  chan notice
}

// enabled reports whether requests may wait.
func (r *Room) enabled() bool { return r != nil && r.Queue.Limits().Entries > 0 }

// join lets a request wait after it was not placed for a reason.
func (r *Room) join(e *queue.Entry, cause error) (*waiter, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.add(e, cause)
}

// joinOccupied lets a request wait if others with a similar need wait already; else it returns neither a waiter nor an error.
func (r *Room) joinOccupied(e *queue.Entry) (*waiter, error) {
	if r.length.Load() == 0 {
		return nil, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.Queue.Occupied(e.Need) {
		return nil, nil
	}
	return r.add(e, nil)
}

// add is join with the lock.
func (r *Room) add(e *queue.Entry, cause error) (*waiter, error) {
	now := clock.Now()
	other, err := r.Queue.Join(now, e, cause, waitOf(cause))
	if err != nil {
		return nil, err
	}
	if r.waiters == nil {
		r.waiters = make(map[*queue.Entry]*waiter)
	}
	if other != nil {
		r.drop(other, displaced)
	}
	w := &waiter{room: r, entry: e, since: now, told: make(chan notice, maxNotices)}
	r.waiters[e] = w
	r.advance()
	return w, nil
}

// drop tells a request that it has left the queue.
func (r *Room) drop(e *queue.Entry, why notice) {
	if w := r.waiters[e]; w != nil {
		w.told <- why
		delete(r.waiters, e)
	}
}

// advance tells the request whose turn it is, or arranges for the next turn. It is called with the lock after each change.
func (r *Room) advance() {
	r.length.Store(int64(r.Queue.Len()))
	metrics.GetOrCreateGauge(`pier_queue_length`, nil).Set(float64(r.Queue.Len()))
	now := clock.Now()
	if e := r.Queue.Next(now); e != nil {
		r.waiters[e].told <- turn
		return
	}
	at, ok := r.Queue.NextAt()
	switch {
	case !ok && r.timer != nil:
		r.timer.Stop()
	case ok && r.timer == nil:
		r.timer = time.AfterFunc((at - now).Duration(), r.check)
	case ok:
		r.timer.Reset((at - now).Duration())
	}
}

// check begins a turn that is due.
func (r *Room) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
}

// Signal records that a request has left a target of a service, so that there may be room.
func (r *Room) Signal(service string) {
	if r.length.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Queue.Signal(service)
	r.advance()
}

// Close refuses all requests that wait, as the instance stops. After that none waits.
func (r *Room) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.Queue.Close() {
		r.drop(e, closed)
	}
	r.advance()
}

// cause returns why the last try for a similar need failed.
func (r *Room) cause(n queue.Need) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Queue.Cause(n)
}

// retryAfter returns when a request that is refused should return.
func (r *Room) retryAfter(n queue.Need, earliest, latest clock.Millis) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Queue.RetryAfter(clock.Now(), n, earliest, latest)
}

// fail ends the turn of a request that was not placed.
func (w *waiter) fail(cause error) {
	r := w.room
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.Queue.Fail(clock.Now(), w.entry, cause, waitOf(cause)) {
		r.drop(e, hopeless)
	}
	r.advance()
}

// leave ends the wait of a request, and its turn.
func (w *waiter) leave(result waitResult) {
	r := w.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if result == waitPlaced {
		r.Queue.Placed(clock.Now(), w.entry)
	} else {
		r.Queue.Leave(w.entry)
	}
	delete(r.waiters, w.entry)
	r.advance()
}

// waitResult says how the wait of a request ended.
type waitResult string

// The results; the values go to logs and metrics.
const (
	waitPlaced     waitResult = "placed"
	waitExpired    waitResult = "expired"     // its longest wait is over
	waitHopeless   waitResult = "hopeless"    // no target takes it within its longest wait
	waitDisplaced  waitResult = "displaced"   // another request took its entry in the full queue
	waitDraining   waitResult = "draining"    // the instance stops
	waitCallerGone waitResult = "caller_gone" // its caller disconnected
	waitEnded      waitResult = "ended"       // its deadline passed, or the instance stopped
	waitBarred     waitResult = "barred"      // its deadline is too near, or it is quarantined
	waitRefused    waitResult = "refused"     // it cannot be placed for another reason than room
	waitFailed     waitResult = "failed"      // by a fault of the program
)

// recordWait counts and logs the end of a request's wait.
func recordWait(request string, result waitResult, waited clock.Millis, left int64) {
	metrics.GetOrCreateCounter(`pier_queue_left_total{reason="` + string(result) + `"}`).Inc()
	slog.Info("request waited for room", "request", request, "result", result, "waited_ms", int64(waited), "queue", left)
}

// recordNoWait counts and logs that a request may not wait.
func recordNoWait(request string, err error) {
	kind := kindOfQueue(err)
	metrics.GetOrCreateCounter(`pier_queue_refused_total{reason="` + string(kind) + `"}`).Inc()
	slog.Info("request may not wait for room", "request", request, "why", kind)
}

// kindOfQueue returns why a request may not wait; empty for nil.
func kindOfQueue(err error) queue.Kind {
	var e *queue.Error
	if eris.As(err, &e) {
		return e.Kind
	}
	return ""
}

// waitOf returns the time until a target may take a request that was not placed; zero if that is not known.
func waitOf(err error) clock.Millis {
	var e *board.Error
	if eris.As(err, &e) {
		return e.Wait
	}
	return 0
}

// isShort reports whether a request was not placed for want of room, which may be there soon.
func isShort(err error) bool {
	var e *board.Error
	return eris.As(err, &e) && (e.Kind == board.Costly || e.Kind == board.Full || e.Kind == board.Limited)
}
