package oplog

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	forwardTime  = 30 * clock.Second // for which a settlement is repeated
	forwardPause = 200 * clock.Millis(1)
	burst        = 2 // updates of a shard that need not wait for its rate
)

// Log is one instance's part in the operation log.
type Log struct {
	Self        string // instance and incarnation
	Settings    func() config.Operations
	Get         func(ctx context.Context, name string) (store.Object, error)
	Put         func(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	Delete      func(ctx context.Context, name string, version uint64) error
	Dispatch    func(ctx context.Context, attempt string, op Op) Result
	WriterAlive func(writer string) bool                      // whether a former writer may still send a settlement
	Forward     func(ctx context.Context, s Settlement) error // gives a settlement to the present writer

	ctx    context.Context
	mu     sync.Mutex
	shards map[int]*shard
	serial atomic.Uint64
	active atomic.Int64 // operations and settlements in progress
}

// Start prepares the log; its goroutines end with the context.
func (l *Log) Start(ctx context.Context) {
	l.ctx = ctx
	l.shards = make(map[int]*shard)
}

// Open makes this instance the writer of a shard and returns its term.
func (l *Log) Open(ctx context.Context, n int) (uint64, error) {
	s := l.shard(n)
	done := make(chan opened, 1)
	s.loop.Post(func() { s.open(done) })
	select {
	case o := <-done:
		return o.term, o.err
	case <-ctx.Done():
		return 0, &Error{Op: "open", Kind: Unavailable, Err: ctx.Err()}
	case <-l.ctx.Done():
		return 0, &Error{Op: "open", Kind: Closed}
	}
}

// Submit gives an attempt to this instance and waits for the verdict; the attempt goes on when the wait ends early.
func (l *Log) Submit(ctx context.Context, a Attempt) (Reply, error) {
	s := l.shard(a.Shard)
	reply := make(chan Reply, 1)
	s.loop.Post(func() { s.submit(a, reply) })
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return Reply{}, &Error{Op: "submit", Kind: Unavailable, Err: ctx.Err()}
	case <-l.ctx.Done():
		return Reply{}, &Error{Op: "submit", Kind: Closed}
	}
}

// Settle takes in what a former writer learned and reports whether this instance writes the shard.
func (l *Log) Settle(s Settlement) bool {
	shard := l.shard(s.Shard)
	owned := false
	shard.loop.Call(func() {
		owned = shard.owned
		if owned {
			shard.settle(s)
		}
	})
	return owned
}

// Find returns what this instance knows of an operation, if it writes the shard.
func (l *Log) Find(n int, key string) (Record, bool) {
	s := l.shard(n)
	var found Record
	ok := false
	s.loop.Call(func() {
		if e := s.entries[key]; s.owned && e != nil {
			found, ok = e.Record, true
		}
	})
	return found, ok
}

// Wait returns once no operation and no settlement is in progress.
func (l *Log) Wait(ctx context.Context) error {
	for l.active.Load() > 0 {
		if err := clock.Sleep(ctx, forwardPause/4); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) shard(n int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[n]
	if s == nil {
		settings := l.Settings()
		perShard := rate.Limit(float64(settings.WritesPerSecond) / float64(settings.ShardCount))
		s = &shard{log: l, n: n, loop: loop.New(), limit: rate.NewLimiter(perShard, burst)}
		l.shards[n] = s
		go func() { _ = s.loop.Run(l.ctx) }()
	}
	return s
}

// token returns a string that no other update of any instance carries.
func (l *Log) token() string {
	return l.Self + "/" + strconv.FormatUint(l.serial.Add(1), 10)
}

// forward repeats a settlement until the present writer has it or its time is over.
func (l *Log) forward(s Settlement) {
	l.active.Add(1)
	defer l.active.Add(-1)
	ctx, cancel := context.WithTimeout(l.ctx, forwardTime.Duration())
	defer cancel()
	for {
		if err := l.Forward(ctx, s); err == nil {
			return
		}
		if clock.Sleep(ctx, forwardPause) != nil {
			counter("settlement_lost").Inc()
			return
		}
	}
}

func objectName(n int) string { return "oplog/" + strconv.Itoa(n) }

// HomeKey is the key by whose rank the instances share the shards out.
func HomeKey(shard int) string { return objectName(shard) }
