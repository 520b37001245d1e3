package loop

import "context"

const queueLength = 1024 // functions

// Loop owns control state: functions given to it run one at a time, in order.
type Loop struct {
	queue chan func()
	done  chan struct{}
}

// New returns a loop that accepts functions at once and runs them in Run.
func New() *Loop {
	return &Loop{queue: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run executes queued functions until the context ends.
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

// Post queues a function and reports whether the loop accepted it.
func (l *Loop) Post(f func()) bool {
	select {
	case <-l.done:
		return false
	case l.queue <- f:
		return true
	}
}

// Call runs a function on the loop and waits for it; it reports false when the loop has ended.
func (l *Loop) Call(f func()) bool {
	ran := make(chan struct{})
	if !l.Post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}
