package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	defaultWatchDuration = 10 * clock.Second     // how long the source holds a watch call open
	firstReadInterval    = 200 * clock.Millis(1) // between attempts to read a first version while the source does not answer
	noSourceInterval     = 20 * clock.Millis(1)  // between attempts while neither the source nor a peer may be asked yet
	emptySourceInterval  = clock.Second          // between attempts while the source answers that there is no version yet
	emptyPeersInterval   = 300 * clock.Millis(1) // between attempts while only peers answer that they have none
	retryDelay           = 500 * clock.Millis(1) // after a failed watch; doubled for each consecutive one
	maxRetryDelay        = clock.Second          // after several failures of the source
	maxFirstFetches      = 3                     // peers asked at once for a first version
	maxFirstReads        = 4                     // concurrent attempts to read a first version
	fetchTimeout         = 600 * clock.Millis(1) // of a fetch from a peer, after which the source is polled instead
	coalesceDelay        = 100 * clock.Millis(1) // after a watch, so that a burst of changes costs one call, and answers without news few
)

// Feed keeps an instance's copy of one shared object up to date.
type Feed struct {
	Name          string
	Read          func(ctx context.Context) (Object, error)
	Watch         func(ctx context.Context, above Version, wait clock.Millis) (Object, error)
	Fetch         func(ctx context.Context, peer string) (Object, error) // reads the object from another instance
	Peers         func() []string                                        // addresses of the other instances
	ReadsFirst    func() bool                                            // whether a first version is read from the source too; nil for always
	ShouldWatch   func() bool                                            // whether this instance watches the source
	PollInterval  func() clock.Millis                                    // between polls of the source, watching or not
	Apply         func(o Object) error                                   // validates and activates a newer version
	OnUpdate      func()                                                 // called after a newer version became active; may be nil
	WatchDuration func() clock.Millis                                    // of one watch call at the source; nil for the default
	HintInterval  func() clock.Millis                                    // shortest time between reads from peers; nil for none
	MaxAge        clock.Millis                                           // without a confirmation, until the source is polled; zero for any
	LookSpread    func() clock.Millis                                    // over which instances that do so at once spread; nil for the least
	OnFound       func()                                                 // called when a look has found a newer version; may be nil
	OnConfirmed   func()                                                 // called when the active version was confirmed; may be nil
	OutageSeenAt  func() clock.Millis                                    // when the source itself was last seen to be away; nil if each failure shows that

	mu              sync.Mutex
	current         atomic.Pointer[state]
	hints           chan hint
	reconsider      chan struct{}           // see Reconsider
	peerAnswered    atomic.Bool             // a peer has answered a fetch, with a version or without
	lastSuccess     atomic.Int64            // when the source last answered, milliseconds since the epoch
	firstReads      atomic.Int32            // attempts to read a first version that are in progress
	openSourceReads atomic.Int32            // reads of the source among these
	nextSourceRead  clock.Millis            // earliest time of the next such read
	failing         atomic.Bool             // the source has not answered since a call to it failed
	recoveredAt     atomic.Int64            // see RecoveredAt, milliseconds since the epoch
	confirmedAt     atomic.Int64            // see ConfirmedAt, milliseconds since the epoch
	staleSince      atomic.Int64            // when a version above the active one was first announced; zero for none
	highestKnown    atomic.Pointer[Version] // highest version that a peer has announced; nil for none
}

// hint says that a peer has a version; its zero value only asks for a poll of the source.
type hint struct {
	version Version
	peer    string
	digest  uint64 // of a value that differs from the active one of the same version; zero for none
}

// Init prepares the feed for Hint, Refresh, Reconsider and Run.
func (f *Feed) Init() {
	f.hints = make(chan hint, 1)
	f.reconsider = make(chan struct{}, 1)
}

// Current returns the active object, whose version is zero before the first update.
func (f *Feed) Current() Object {
	if s := f.current.Load(); s != nil {
		return s.Object
	}
	return Object{}
}

// LastSuccess returns when the source last answered.
func (f *Feed) LastSuccess() clock.Millis { return clock.Millis(f.lastSuccess.Load()) }

// RecoveredAt returns when the source last answered after an outage, as this instance or a peer has seen, or zero if it never
// did.
func (f *Feed) RecoveredAt() clock.Millis { return clock.Millis(f.recoveredAt.Load()) }

// Shared returns the active object as peers get it.
func (f *Feed) Shared() Object {
	o := f.Current()
	if at := f.RecoveredAt(); at > 0 {
		o.RecoveredAgo = max(clock.Now()-at, 1)
	}
	return o
}

// Hint tells the feed that a peer has a version, so that it is read at once.
func (f *Feed) Hint(version Version, peer string) {
	if !version.After(f.Current().Version) {
		return
	}
	f.raiseHighestKnown(version)
	f.staleSince.CompareAndSwap(0, int64(clock.Now()))
	f.send(hint{version: version, peer: peer})
}

// send passes a hint to Run, unless one is waiting already.
func (f *Feed) send(h hint) {
	select {
	case f.hints <- h:
	default:
	}
}

// raiseHighestKnown records a version that a peer has announced.
func (f *Feed) raiseHighestKnown(version Version) {
	for {
		old := f.highestKnown.Load()
		if old != nil && !version.After(*old) || f.highestKnown.CompareAndSwap(old, &version) {
			return
		}
	}
}

// Refresh makes Run poll the source at once, for when a watch may have missed changes.
func (f *Feed) Refresh() { f.send(hint{}) }

// StaleFor returns how long ago a version above the active one was first announced, or zero if there is none.
func (f *Feed) StaleFor() clock.Millis {
	if since := f.staleSince.Load(); since != 0 {
		return clock.Now() - clock.Millis(since)
	}
	return 0
}

// Run keeps the object up to date until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	go f.watch(ctx)
	go f.keepFresh(ctx)
	go f.compareFirst(ctx)
	var nextFirstRead clock.Millis
	for ctx.Err() == nil {
		wait := f.PollInterval()
		first := f.Current().IsZero()
		if first {
			now := clock.Now()
			if now >= nextFirstRead {
				nextFirstRead = now + f.firstReadInterval()
				f.startFirstRead(ctx)
			}
			wait = nextFirstRead - now
		}
		select {
		case <-ctx.Done():
		case h := <-f.hints:
			f.followHint(ctx, h)
		case <-time.After(wait.Duration()):
			if !first {
				f.poll(ctx)
			}
		}
	}
	return nil
}

// firstReadInterval returns the time from one attempt to read a first version to the next.
func (f *Feed) firstReadInterval() clock.Millis {
	switch {
	case !f.readsFirst() && len(f.Peers()) == 0:
		return noSourceInterval
	case f.LastSuccess() > 0:
		return emptySourceInterval
	case f.peerAnswered.Load():
		return emptyPeersInterval
	default:
		return firstReadInterval
	}
}

// startFirstRead starts an attempt without waiting for earlier ones, since a call on a lost connection fails only after
// a long timeout. At most maxFirstReads are in progress.
func (f *Feed) startFirstRead(ctx context.Context) {
	if f.firstReads.Add(1) > maxFirstReads {
		f.firstReads.Add(-1)
		return
	}
	withSource := f.readsFirst() && f.takeSourceTurn()
	go func() {
		defer f.firstReads.Add(-1)
		f.readFirst(ctx, withSource)
	}()
}

// takeSourceTurn reports whether the source may be read for a first version now. While earlier such reads last, the time to
// the next one doubles: a source that is slow because hundreds ask it gets no slower by it. Only Run calls it.
func (f *Feed) takeSourceTurn() bool {
	now := clock.Now()
	if now < f.nextSourceRead {
		return false
	}
	others := f.openSourceReads.Add(1) - 1
	f.nextSourceRead = now + firstReadInterval<<others
	return true
}

// readFirst reads from up to three peers, since a starting instance cannot tell an old version from the newest, and from the
// source if it is its turn.
func (f *Feed) readFirst(ctx context.Context, withSource bool) {
	var group sync.WaitGroup
	peers := f.Peers()
	group.Go(func() { f.ReadFrom(ctx, peers[:min(len(peers), f.firstFetches())]) })
	if withSource {
		group.Go(func() {
			defer f.openSourceReads.Add(-1)
			f.poll(ctx)
		})
	}
	group.Wait()
}

// ReadFrom reads the object from peers at once, and returns when each has answered or failed.
func (f *Feed) ReadFrom(ctx context.Context, peers []string) {
	var group sync.WaitGroup
	for _, peer := range peers {
		group.Go(func() { f.fetchFromPeer(ctx, peer) })
	}
	group.Wait()
}

// compareFirst reads the object from some peers if the first version came from the source before there were any to ask. Their version
// may be as high although their value is older; the source does not say so, as its list does not tell what was removed.
func (f *Feed) compareFirst(ctx context.Context) {
	for f.Current().IsZero() || len(f.Peers()) == 0 {
		if clock.Sleep(ctx, firstReadInterval) != nil {
			return
		}
	}
	if peers := f.Peers(); !f.peerAnswered.Load() {
		f.ReadFrom(ctx, peers[:min(len(peers), maxFirstFetches)])
	}
}

// readsFirst reports whether a first version is read from the source too.
func (f *Feed) readsFirst() bool { return f.ReadsFirst == nil || f.ReadsFirst() }

// firstFetches returns how many peers are asked for a first version at once: fewer when they have answered that they have
// none either.
func (f *Feed) firstFetches() int {
	if f.peerAnswered.Load() {
		return 1
	}
	return maxFirstFetches
}

func (f *Feed) watch(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		if !f.ShouldWatch() || f.Current().IsZero() {
			f.awaitDuty(ctx)
			continue
		}
		duration := f.watchDuration()
		wait := duration
		if f.failing.Load() {
			wait = 0 // the answer tells at once that the source is back, and not only when something changes
		}
		began := clock.Now()
		watchCtx, cancel := context.WithTimeout(ctx, 2*duration.Duration())
		o, err := f.Watch(watchCtx, f.Current().Version, wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.recordSourceFailure("watch", began, err)
			_ = clock.Sleep(ctx, began+retryPause(delay)-clock.Now())
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = retryDelay
		f.recordSuccess()
		f.applyFromSource(o)
		_ = clock.Sleep(ctx, coalesceDelay)
	}
}

// Reconsider makes Run ask ShouldWatch again at once.
func (f *Feed) Reconsider() {
	select {
	case f.reconsider <- struct{}{}:
	default:
	}
}

// awaitDuty waits until this instance may be one that watches.
func (f *Feed) awaitDuty(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.reconsider:
	case <-time.After(retryDelay.Duration()):
	}
}

// watchDuration returns how long the source is asked to hold a watch call open.
func (f *Feed) watchDuration() clock.Millis {
	if f.WatchDuration == nil {
		return defaultWatchDuration
	}
	return f.WatchDuration()
}

// retryPause returns the time from one failed watch to the next: a random part of a delay, at least half of it, so that instances
// which lose the source at the same moment do not ask again at the same moment.
func retryPause(delay clock.Millis) clock.Millis {
	return delay/2 + clock.Millis(rand.Int64N(int64(delay/2)+1))
}

func (f *Feed) poll(ctx context.Context) {
	began := clock.Now()
	o, err := f.readIfChanged(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.recordSourceFailure("read", began, err)
		return
	}
	f.recordSuccess()
	f.applyFromSource(o)
}

// applyFromSource activates what the source has answered if it is newer. Either way the source had nothing newer than what is
// active then, unless that was rejected.
func (f *Feed) applyFromSource(o Object) {
	answered := clock.Now()
	f.applyIfNewer(o)
	if current := f.Current(); !current.IsZero() && !o.Version.After(current.Version) {
		f.raiseConfirmedAt(answered)
	}
}

// readIfChanged reads the object; its value is empty if it has not changed since the active version.
func (f *Feed) readIfChanged(ctx context.Context) (Object, error) {
	if current := f.Current(); !current.IsZero() {
		return f.Watch(ctx, current.Version, 0)
	}
	return f.Read(ctx)
}

// followHint reads the announced version from the peer, since the source may be slow or down, and polls the source
// unless the peer returned that version or a newer one. A first version is read from the source by the attempts to read one
// alone, so that hundreds of instances that start together do not all ask it, and without a pause, which would delay these.
func (f *Feed) followHint(ctx context.Context, h hint) {
	if h.peer != "" {
		f.fetchFromPeer(ctx, h.peer)
	}
	active := f.current.Load()
	if active == nil {
		return
	}
	differs := h.digest != 0 && h.version == active.Version && h.digest != active.digest // the peer's may be the newer one, or not
	if h.peer == "" || h.version.After(active.Version) || differs {
		f.poll(ctx)
	}
	f.pauseHints(ctx)
}

// pauseHints waits for HintInterval. Hints that arrive meanwhile are followed together.
func (f *Feed) pauseHints(ctx context.Context) {
	if f.HintInterval != nil {
		_ = clock.Sleep(ctx, f.HintInterval())
	}
}

func (f *Feed) fetchFromPeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	o, err := f.Fetch(ctx, peer)
	if err != nil {
		f.recordFailure("fetch", err)
		return
	}
	f.peerAnswered.Store(true)
	if o.RecoveredAgo > 0 {
		raise(&f.recoveredAt, int64(clock.Now()-o.RecoveredAgo))
	}
	o.RecoveredAgo = 0
	f.applyIfNewer(o)
}

// recordSuccess records that the source has answered.
func (f *Feed) recordSuccess() {
	now := clock.Now()
	last := clock.Millis(f.lastSuccess.Swap(int64(now)))
	if !f.failing.Swap(false) {
		return
	}
	away := f.wasAway(last)
	if away {
		raise(&f.recoveredAt, int64(now))
	}
	slog.Info("source answers again", "feed", f.Name, "last_answer_ms", int64(now-last), "away", away)
}

// wasAway reports whether the source was away at any time since a point in time. If it was not, a connection to it was lost.
func (f *Feed) wasAway(since clock.Millis) bool {
	return f.OutageSeenAt == nil || f.OutageSeenAt() >= since
}

// raise sets a point in time to a later one, and reports whether it was earlier.
func raise(value *atomic.Int64, at int64) bool {
	for {
		old := value.Load()
		if at <= old {
			return false
		}
		if value.CompareAndSwap(old, at) {
			return true
		}
	}
}

// recordSourceFailure records that a call to the source has failed, unless the source has answered another one since.
func (f *Feed) recordSourceFailure(call string, began clock.Millis, err error) {
	if f.LastSuccess() <= began && !f.failing.Swap(true) {
		slog.Info("source does not answer", "feed", f.Name, "call", call, "after_ms", int64(clock.Now()-began), "error", err.Error())
	}
	f.recordFailure(call, err)
}

// recordFailure counts and logs a call that has failed.
func (f *Feed) recordFailure(call string, err error) {
	metrics.GetOrCreateCounter(`pier_feed_failed_total{feed="` + f.Name + `",call="` + call + `"}`).Inc()
	slog.Debug("object not read", "feed", f.Name, "call", call, "error", err)
}
