package loop

import "context"

const queueLength = 1024 // functions; Post blocks while the queue is full

// Loop runs functions one at a time, in the order in which they were posted. State that only these functions touch needs
// no locks.
type Loop struct {
	queue chan func()
	done  chan struct{}
}

// New returns a loop. Functions may be posted at once; they run when Run is called.
func New() *Loop {
	return &Loop{queue: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run runs queued functions until the context ends; those still queued then are dropped.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.queue:
			f()
		}
	}
}

// Post queues a function and reports whether it was queued. A function still in the queue when Run ends never runs.
func (l *Loop) Post(f func()) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case <-l.done:
		return false
	case l.queue <- f:
		return true
	}
}

// Call runs a function on the loop and waits until it returns; it returns false if the loop ends first. It must not be
// called from the loop itself, which would deadlock.
func (l *Loop) Call(f func()) bool {
	finished := make(chan struct{})
	if !l.Post(func() { f(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	}
}
