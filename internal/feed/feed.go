package feed

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	watchTime    = 10 * clock.Second     // of one watch call
	startPeriod  = 200 * clock.Millis(1) // between tries to get a first version while the source does not answer
	emptyPeriod  = clock.Second          // between tries while the source answers that there is none yet
	retryPause   = 500 * clock.Millis(1)
	maxBegins    = 4                     // tries at once to get a first version
	fetchTimeout = 600 * clock.Millis(1) // of a fetch from a peer, after which the source is asked
	gatherPause  = 100 * clock.Millis(1) // after a change, so that changes in quick succession cost one watch
)

// Feed follows one object.
type Feed struct {
	Name          string
	Read          func(ctx context.Context) (store.Object, error)
	Watch         func(ctx context.Context, above uint64, wait clock.Millis) (store.Object, error)
	Fetch         func(ctx context.Context, peer string) (store.Object, error) // from another instance
	Peers         func() []string                                              // addresses of other instances
	ShouldWatch   func() bool                                                  // whether this instance is to watch
	PollInterval  func() clock.Millis                                          // between looks at the source by an instance that does not watch
	Apply         func(o store.Object) error                                   // takes a newer version into force
	OnUpdate      func()                                                       // a newer version is in force; nil for nothing
	WatchDuration clock.Millis                                                 // of one watch call; zero for the default

	mu        sync.Mutex
	current   atomic.Pointer[store.Object]
	hints     chan hint
	reached   atomic.Int64  // when the source last answered, milliseconds
	beginning atomic.Int32  // tries to get a first version
	missed    atomic.Int64  // when the source last failed to answer, milliseconds
	known     atomic.Uint64 // highest version that a peer is known to have
	behind    atomic.Int64  // since when a version above the one in force is known, milliseconds; zero if none is
}

type hint struct {
	version uint64
	peer    string
}

// Start prepares the feed.
func (f *Feed) Start() { f.hints = make(chan hint, 1) }

// Current returns the object in force; its version is zero before the first.
func (f *Feed) Current() store.Object {
	if o := f.current.Load(); o != nil {
		return *o
	}
	return store.Object{}
}

// LastSuccess returns when the source last answered.
func (f *Feed) LastSuccess() clock.Millis { return clock.Millis(f.reached.Load()) }

// LastFailure returns when the source last failed to answer; zero if it never did.
func (f *Feed) LastFailure() clock.Millis { return clock.Millis(f.missed.Load()) }

// Hint tells the feed that a peer has a version.
func (f *Feed) Hint(version uint64, peer string) {
	if version <= f.Current().Version {
		return
	}
	if version > f.known.Load() {
		f.known.Store(version)
	}
	f.behind.CompareAndSwap(0, int64(clock.Now()))
	select {
	case f.hints <- hint{version, peer}:
	default:
	}
}

// Refresh has the source asked soon, as what it last told may be old.
func (f *Feed) Refresh() {
	select {
	case f.hints <- hint{}:
	default:
	}
}

// StaleFor returns for how long a version above the one in force has been known.
func (f *Feed) StaleFor() clock.Millis {
	if since := f.behind.Load(); since != 0 {
		return clock.Now() - clock.Millis(since)
	}
	return 0
}

// Run follows the object until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	go f.watch(ctx)
	for ctx.Err() == nil {
		wait := f.PollInterval()
		first := f.Current().Version == 0
		if first {
			wait = startPeriod
			if f.LastSuccess() > 0 {
				wait = emptyPeriod
			}
			f.tryBegin(ctx)
		}
		select {
		case <-ctx.Done():
		case h := <-f.hints:
			f.follow(ctx, h)
		case <-time.After(wait.Duration()):
			if !first {
				f.poll(ctx)
			}
		}
	}
	return nil
}

// tryBegin begins without waiting for the tries before, since a connection that was lost is silent for long; few are
// in progress at once.
func (f *Feed) tryBegin(ctx context.Context) {
	if f.beginning.Add(1) > maxBegins {
		f.beginning.Add(-1)
		return
	}
	go func() {
		defer f.beginning.Add(-1)
		f.begin(ctx)
	}()
}

// begin asks the source and some peers, since a starting instance cannot tell an old version from the newest.
func (f *Feed) begin(ctx context.Context) {
	var group sync.WaitGroup
	peers := f.Peers()
	for _, peer := range peers[:min(len(peers), 3)] {
		group.Go(func() { f.fetch(ctx, peer) })
	}
	group.Go(func() { f.poll(ctx) })
	group.Wait()
}

func (f *Feed) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.ShouldWatch() || f.Current().Version == 0 {
			_ = clock.Sleep(ctx, retryPause)
			continue
		}
		wait := f.WatchDuration
		if wait == 0 {
			wait = watchTime
		}
		watchCtx, cancel := context.WithTimeout(ctx, 2*wait.Duration())
		o, err := f.Watch(watchCtx, f.Current().Version, wait)
		cancel()
		if err != nil {
			f.failed("watch", err)
			_ = clock.Sleep(ctx, retryPause)
			continue
		}
		f.reached.Store(int64(clock.Now()))
		if f.take(o) {
			_ = clock.Sleep(ctx, gatherPause)
		}
	}
}

func (f *Feed) poll(ctx context.Context) {
	o, err := f.look(ctx)
	if err != nil {
		f.failed("read", err)
		return
	}
	f.reached.Store(int64(clock.Now()))
	f.take(o)
}

// look reads the object, or nothing if it has not changed.
func (f *Feed) look(ctx context.Context) (store.Object, error) {
	if version := f.Current().Version; version > 0 {
		return f.Watch(ctx, version, 0)
	}
	return f.Read(ctx)
}

// follow reads a version that a peer is known to have: from the peer, since the source may be slow or down.
func (f *Feed) follow(ctx context.Context, h hint) {
	if h.peer != "" {
		f.fetch(ctx, h.peer)
	}
	if h.peer == "" || f.Current().Version < h.version {
		f.poll(ctx)
	}
}

func (f *Feed) fetch(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	o, err := f.Fetch(ctx, peer)
	if err != nil {
		f.failed("fetch", err)
		return
	}
	f.take(o)
}

// take puts a newer version into force and reports whether it was newer.
func (f *Feed) take(o store.Object) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := f.Current().Version
	if o.Version < highest {
		metrics.GetOrCreateCounter(`pier_feed_refused_total{feed="` + f.Name + `",reason="older"}`).Inc()
		return false
	}
	if o.Version == highest || len(o.Value) == 0 {
		return false
	}
	if err := f.Apply(o); err != nil {
		metrics.GetOrCreateCounter(`pier_feed_refused_total{feed="` + f.Name + `",reason="invalid"}`).Inc()
		slog.Error("object refused", "feed", f.Name, "version", o.Version, "error", err)
		return false
	}
	f.current.Store(&o)
	if o.Version >= f.known.Load() {
		f.behind.Store(0)
	}
	slog.Info("object in force", "feed", f.Name, "version", o.Version)
	if f.OnUpdate != nil {
		f.OnUpdate()
	}
	return true
}

func (f *Feed) failed(call string, err error) {
	if call != "fetch" {
		f.missed.Store(int64(clock.Now()))
	}
	metrics.GetOrCreateCounter(`pier_feed_failed_total{feed="` + f.Name + `",call="` + call + `"}`).Inc()
	slog.Debug("source not reached", "feed", f.Name, "call", call, "error", err)
}
