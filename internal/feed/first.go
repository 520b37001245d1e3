package feed

import (
	"context"
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	firstReadInterval   = 200 * clock.Millis(1) // between attempts to read a first version while the source does not answer
	noSourceInterval    = 20 * clock.Millis(1)  // between attempts while neither the source nor a peer may be asked yet
	emptySourceInterval = clock.Second          // between attempts while the source answers that there is no version yet
	emptyPeersInterval  = 300 * clock.Millis(1) // between attempts while only peers answer that they have none
	maxFirstFetches     = 3                     // peers asked at once for a first version
	maxFirstReads       = 4                     // concurrent attempts to read a first version
)

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
