package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const fetchTimeout = 600 * clock.Millis(1) // of a fetch from a peer, after which the source is polled instead

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
	OutageSeenAt  func() clock.Millis                                    // when the source was last seen to be away; nil if each failure shows it

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
