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
	forwardTimeout  = 30 * clock.Second     // after which a settlement that could not be sent is dropped
	forwardInterval = 200 * clock.Millis(1) // between attempts to send a settlement
	updateBurst     = 2                     // updates of a shard that need not wait for its rate limit
)

// Log is the part of the operation log that runs on one instance: it is the writer of some of the shards.
type Log struct {
	Self     string // instance and incarnation
	Settings func() config.Operations

	// Get, Put and Delete are the calls of the object API.
	Get    func(ctx context.Context, name string) (store.Object, error)
	Put    func(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	Delete func(ctx context.Context, name string, version uint64) error

	// Dispatch runs an operation on a target.
	Dispatch func(ctx context.Context, attempt string, op Op) Result
	// WriterAlive reports whether a former writer may still send a settlement.
	WriterAlive func(writer string) bool
	// Forward sends a settlement to the present writer.
	Forward func(ctx context.Context, s Settlement) error

	ctx    context.Context
	mu     sync.Mutex
	shards map[int]*shard // by number
	serial atomic.Uint64  // of the last update, for its token
	active atomic.Int64   // operations and settlements in progress
}

// Init initializes the log. Its goroutines end with the context.
func (l *Log) Init(ctx context.Context) {
	l.ctx = ctx
	l.shards = make(map[int]*shard)
}

// Open makes this instance the writer of a shard, if it is not already, and returns the shard's term.
func (l *Log) Open(ctx context.Context, number int) (uint64, error) {
	s := l.shard(number)
	done := make(chan openResult, 1)
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

// Submit submits an attempt to this instance and waits for the verdict. The attempt goes on if the context ends first.
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

// Settle records a settlement from a former writer. It returns false if this instance is not the shard's writer.
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

// Find returns the record of an operation, if this instance is the shard's writer and has one.
func (l *Log) Find(number int, key string) (Record, bool) {
	s := l.shard(number)
	var found Record
	ok := false
	s.loop.Call(func() {
		if e := s.entries[key]; s.owned && e != nil {
			found, ok = e.Record, true
		}
	})
	return found, ok
}

// WaitIdle waits until no operation and no settlement is in progress. If the context ends first, it returns the context's
// error.
func (l *Log) WaitIdle(ctx context.Context) error {
	for l.active.Load() > 0 {
		if err := clock.Sleep(ctx, forwardInterval/4); err != nil {
			return err
		}
	}
	return nil
}

// shard returns this instance's state of a shard. It creates it and starts its loop on first use.
func (l *Log) shard(number int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[number]
	if s == nil {
		settings := l.Settings()
		perShard := rate.Limit(float64(settings.WritesPerSecond) / float64(settings.ShardCount))
		s = &shard{log: l, number: number, loop: loop.New(), limit: rate.NewLimiter(perShard, updateBurst)}
		l.shards[number] = s
		go func() { _ = s.loop.Run(l.ctx) }()
	}
	return s
}

// token returns a string that identifies one update; no other update of any instance has the same.
func (l *Log) token() string {
	return l.Self + "/" + strconv.FormatUint(l.serial.Add(1), 10)
}

// forward sends a settlement to the present writer, and retries until it is accepted or forwardTimeout is over.
func (l *Log) forward(s Settlement) {
	l.active.Add(1)
	defer l.active.Add(-1)
	ctx, cancel := context.WithTimeout(l.ctx, forwardTimeout.Duration())
	defer cancel()
	for {
		if err := l.Forward(ctx, s); err == nil {
			return
		}
		if clock.Sleep(ctx, forwardInterval) != nil {
			eventCounter("settlement_lost").Inc()
			return
		}
	}
}

// objectName returns the name of a shard's object.
func objectName(shard int) string { return "oplog/" + strconv.Itoa(shard) }

// HomeKey returns the key by which instances are ranked for a shard. The first of the rank, the shard's home, should be
// its writer.
func HomeKey(shard int) string { return objectName(shard) }
