package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// newFeed runs a feed that reads version 1 first and whose watch calls are answered by watch. It also returns the
// number of watch calls.
func newFeed(t *testing.T, watch func(calls int64) (Object, error)) (*Feed, *atomic.Int64) {
	t.Helper()
	calls := &atomic.Int64{}
	return runFeed(t, func(context.Context, clock.Millis) (Object, error) { return watch(calls.Add(1)) }, always), calls
}

// always is the answer of an instance that watches.
func always() bool { return true }

// runFeed runs a feed that reads version 1 first and then watches while it should.
func runFeed(t *testing.T, watch func(ctx context.Context, wait clock.Millis) (Object, error), shouldWatch func() bool) *Feed {
	t.Helper()
	f := &Feed{
		Name: "test", Peers: func() []string { return nil }, ShouldWatch: shouldWatch,
		PollInterval: func() clock.Millis { return clock.Minute }, Apply: func(Object) error { return nil },
		Read: func(context.Context) (Object, error) {
			return Object{Version: Version{Number: 1}, Value: []byte("1")}, nil
		},
		Watch: func(ctx context.Context, _ Version, wait clock.Millis) (Object, error) { return watch(ctx, wait) },
		Fetch: func(context.Context, string) (Object, error) { return Object{}, eris.New("no peer") },
	}
	f.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	return f
}

// A watch that fails at once is retried at a bounded rate.
func TestWatchOfFailingSource(t *testing.T) {
	is := is.New(t)
	_, calls := newFeed(t, func(int64) (Object, error) { return Object{}, eris.New("reset") })
	time.Sleep(3 * retryDelay.Duration())
	is.True(calls.Load() >= 1)
	is.True(calls.Load() <= 4)
}

// Guards against: an instance notices that the source is back so late after an outage that too little of the time in which a
// target that leaves must be given up is left.
func TestReturnNoticedSoon(t *testing.T) {
	const (
		outage        = 1600 * clock.Millis(1) // several failed watches
		noticedWithin = 1250 * clock.Millis(1) // half of what remains of that time when targets have written their entries again
	)
	is := is.New(t)
	back := clock.Now() + firstReadInterval + retryDelay + outage
	f := runFeed(t, func(ctx context.Context, wait clock.Millis) (Object, error) {
		if clock.Now() < back {
			return Object{}, eris.New("reset")
		}
		return Object{Version: Version{Number: 1}}, clock.Sleep(ctx, wait) // nothing changes
	}, always)
	_ = clock.Sleep(context.Background(), back+noticedWithin-clock.Now())
	is.True(f.RecoveredAt() >= back)
}

// Guards against: a call that fails on a lost connection counts as an outage of the source, so that what is missing from the next answer
// counts as expired in it.
func TestLostConnectionIsNoOutage(t *testing.T) {
	for name, c := range map[string]struct {
		seen   bool         // a call shows the outage
		lasts  clock.Millis // until the source answers again
		first  bool         // the source has not answered before; the first version is a peer's
		outage bool
	}{
		"first call lost":        {lasts: retryDelay, first: true, outage: false},
		"lost connection":        {lasts: retryDelay, outage: false},
		"outage":                 {lasts: retryDelay, seen: true, outage: true},
		"outage seen by no call": {lasts: 3 * maxRetryDelay, outage: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := Object{Version: Version{Number: 1}, Value: []byte("1")}
			var seenAt, lostAt, answers atomic.Int64
			f := &Feed{
				Name: "test", Peers: func() []string { return []string{"peer"} }, ShouldWatch: always,
				PollInterval: func() clock.Millis { return clock.Minute }, Apply: func(Object) error { return nil },
				ReadsFirst: func() bool { return !c.first },
				Read:       func(context.Context) (Object, error) { return first, nil },
				Fetch: func(context.Context, string) (Object, error) {
					if !c.first {
						return Object{}, eris.New("no version")
					}
					return first, nil
				},
				Watch: func(ctx context.Context, _ Version, wait clock.Millis) (Object, error) {
					lostAt.CompareAndSwap(0, int64(clock.Now()))
					if clock.Now() < clock.Millis(lostAt.Load())+c.lasts {
						if c.seen {
							seenAt.Store(int64(clock.Now()))
						}
						return Object{}, eris.New("reset")
					}
					answers.Add(1)
					return Object{Version: Version{Number: 1}}, clock.Sleep(ctx, wait)
				},
				OutageSeenAt: func() clock.Millis { return clock.Millis(seenAt.Load()) },
				MaxAge:       2 * maxRetryDelay,
			}
			f.Init()
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go func() { _ = f.Run(ctx) }()
			for end := clock.Now() + c.lasts + 4*maxRetryDelay; answers.Load() < 2 && clock.Now() < end; {
				_ = clock.Sleep(ctx, 10)
			}
			is.True(answers.Load() > 0)
			is.Equal(f.RecoveredAt() > 0, c.outage)
		})
	}
}

// Guards against: feeds that lose the source at the same moment all ask again at the same moments, so that nobody notices its
// return between these.
func TestRetriesSpread(t *testing.T) {
	const feeds = 6
	is := is.New(t)
	seen := make(map[clock.Millis]bool) // moments of the second retry
	for range feeds {
		first, second := retryPause(retryDelay), retryPause(maxRetryDelay)
		is.True(first >= retryDelay/2 && first <= retryDelay)
		is.True(second >= maxRetryDelay/2 && second <= maxRetryDelay)
		seen[first+second] = true
	}
	is.True(len(seen) > feeds/2)
}

// A burst of changes costs at most one watch call per coalesceDelay.
func TestChangesCoalesced(t *testing.T) {
	is := is.New(t)
	f, calls := newFeed(t, func(n int64) (Object, error) {
		return Object{Version: Version{Number: uint64(n) + 1}, Value: []byte("x")}, nil
	})
	time.Sleep(retryDelay.Duration() + 5*coalesceDelay.Duration())
	is.True(f.Current().Version.Number > 1)
	is.True(calls.Load() <= 11)
}

// Pattern: the first read hangs on a connection that no longer answers. A later attempt gets the first version without
// waiting for that read to time out.
func TestFirstReadHangs(t *testing.T) {
	is := is.New(t)
	var reads atomic.Int64
	f := &Feed{
		Name: "test", Peers: func() []string { return nil }, ShouldWatch: func() bool { return false },
		PollInterval: func() clock.Millis { return clock.Minute }, Apply: func(Object) error { return nil },
		Read: func(ctx context.Context) (Object, error) {
			if reads.Add(1) == 1 {
				<-ctx.Done()
				return Object{}, ctx.Err()
			}
			return Object{Version: Version{Number: 1}, Value: []byte("1")}, nil
		},
	}
	f.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	time.Sleep(3 * firstReadInterval.Duration())
	is.Equal(f.Current().Version.Number, uint64(1))
}

// Pattern: the source has dropped its history, so that a watch misses a change. Refresh polls the source at once.
func TestRefresh(t *testing.T) {
	is := is.New(t)
	var version atomic.Uint64
	version.Store(1)
	read := func() (Object, error) {
		return Object{Version: Version{Number: version.Load()}, Value: []byte("x")}, nil
	}
	f := &Feed{
		Name: "test", Peers: func() []string { return nil }, ShouldWatch: always,
		PollInterval: func() clock.Millis { return clock.Minute }, Apply: func(Object) error { return nil },
		Read: func(context.Context) (Object, error) { return read() },
		Watch: func(ctx context.Context, _ Version, wait clock.Millis) (Object, error) {
			if wait > 0 {
				<-ctx.Done() // no change is reported
				return Object{}, ctx.Err()
			}
			return read()
		},
	}
	f.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	time.Sleep(2 * firstReadInterval.Duration())
	is.Equal(f.Current().Version.Number, uint64(1))
	version.Store(2)
	f.Refresh()
	time.Sleep(100 * time.Millisecond)
	is.Equal(f.Current().Version.Number, uint64(2))
}

// Guards against: hundreds of instances that start together make the source slow, and each asks it again and again meanwhile.
func TestSlowSourceAskedLess(t *testing.T) {
	const elapsed = firstReadInterval + 2*firstReadInterval + firstReadInterval // the third read is due, the fourth is not for long
	is := is.New(t)
	var reads atomic.Int64
	f := &Feed{
		Name: "test", Peers: func() []string { return nil }, ShouldWatch: func() bool { return false },
		PollInterval: func() clock.Millis { return clock.Minute }, Apply: func(Object) error { return nil },
		Read: func(ctx context.Context) (Object, error) {
			reads.Add(1)
			<-ctx.Done()
			return Object{}, ctx.Err()
		},
	}
	f.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	began := clock.Now()
	go func() { _ = f.Run(ctx) }()
	_ = clock.Sleep(ctx, elapsed)
	asked, allowed := reads.Load(), int64(0)
	for due, gap := began, firstReadInterval; due <= clock.Now(); due, gap = due+gap, 2*gap {
		allowed++
	}
	t.Log(asked, "reads")
	is.True(asked >= 2) // one may hang on a lost connection
	is.True(asked <= allowed)
}

// While the source answers that there is no version yet, it is polled once a second, and a first version is applied
// within about that time.
func TestEmptySource(t *testing.T) {
	is := is.New(t)
	var reads atomic.Int64
	var written atomic.Bool
	f := &Feed{
		Name: "test", Peers: func() []string { return nil }, ShouldWatch: always,
		PollInterval: func() clock.Millis { return clock.Minute }, Apply: func(Object) error { return nil },
		Read: func(context.Context) (Object, error) {
			reads.Add(1)
			if !written.Load() {
				return Object{}, nil
			}
			return Object{Version: Version{Number: 7}, Value: []byte("7")}, nil
		},
		Watch: func(ctx context.Context, _ Version, wait clock.Millis) (Object, error) {
			return Object{}, clock.Sleep(ctx, wait)
		},
	}
	f.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	time.Sleep(2500 * time.Millisecond)
	is.True(reads.Load() <= 5)
	written.Store(true)
	time.Sleep(1200 * time.Millisecond)
	is.Equal(f.Current().Version.Number, uint64(7))
}

// Guards against: an instance that starts while the source is away, and has read an old version from the peers that it asked, keeps
// that although another peer tells of a newer one.
func TestFirstVersionOfPeersBehind(t *testing.T) {
	is := is.New(t)
	version := func(n uint64) Object { return Object{Version: Version{Number: n}, Value: []byte("x")} }
	f := &Feed{
		Name: "test", Peers: func() []string { return []string{"behind-1", "behind-2", "behind-3", "newest"} },
		ShouldWatch: func() bool { return true }, PollInterval: func() clock.Millis { return clock.Minute }, Apply: func(Object) error { return nil },
		Read:  func(context.Context) (Object, error) { return Object{}, eris.New("down") },
		Watch: func(context.Context, Version, clock.Millis) (Object, error) { return Object{}, eris.New("down") },
		Fetch: func(_ context.Context, peer string) (Object, error) {
			if peer == "newest" {
				return version(2), nil
			}
			return version(1), nil
		},
	}
	f.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	waitForVersion(t, f, 1)
	f.Hint(Version{Number: 2}, "newest")
	waitForVersion(t, f, 2)
	f.Hint(Version{Number: 1}, "behind-1")
	f.ReadFrom(ctx, []string{"behind-1"})
	is.Equal(f.Current().Version.Number, uint64(2)) // it never returns to the older one
}

// Guards against: word of a version wakes an instance that has none yet, so that it reads from the source out of turn, and also where
// first versions are left to others. Hundreds of instances that start together then all ask the source.
func TestHintsBeforeFirstVersion(t *testing.T) {
	for name, c := range map[string]struct{ readsFirst bool }{"left to others": {false}, "read from the source": {true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reads, fetches atomic.Int64
			f := &Feed{
				Name: "test", Peers: func() []string { return nil }, ShouldWatch: func() bool { return false },
				ReadsFirst: func() bool { return c.readsFirst }, PollInterval: func() clock.Millis { return clock.Minute },
				Read: func(context.Context) (Object, error) {
					reads.Add(1)
					return Object{}, eris.New("down")
				},
				Fetch: func(context.Context, string) (Object, error) {
					fetches.Add(1)
					return Object{}, eris.New("down")
				},
			}
			f.Init()
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			began := clock.Now()
			go func() { _ = f.Run(ctx) }()
			for clock.Now() < began+3*firstReadInterval {
				f.Hint(Version{Number: 1}, "peer")
				f.Refresh()
				time.Sleep(time.Millisecond)
			}
			inTurn := int64(0)
			if c.readsFirst {
				inTurn = int64((clock.Now()-began)/firstReadInterval) + 1
			}
			t.Log(reads.Load(), "reads", fetches.Load(), "fetches")
			is.True(reads.Load() <= inTurn)
			is.True(fetches.Load() > 0) // the peer that has the version is asked at once
		})
	}
}

// Guards against: a peer that has the first version and can't be reached keeps an instance from reading it elsewhere.
func TestFirstReadsBesideHints(t *testing.T) {
	f := &Feed{
		Name: "test", Peers: func() []string { return []string{"other"} }, ShouldWatch: func() bool { return false },
		ReadsFirst: func() bool { return false }, PollInterval: func() clock.Millis { return clock.Minute }, Apply: func(Object) error { return nil },
		HintInterval: func() clock.Millis { return clock.Minute },
		Read:         func(context.Context) (Object, error) { return Object{}, eris.New("down") },
	}
	var others atomic.Int64
	f.Fetch = func(_ context.Context, peer string) (Object, error) {
		if peer != "other" || others.Add(1) == 1 {
			return Object{}, eris.New("down")
		}
		return Object{Version: Version{Number: 1}, Value: []byte("1")}, nil
	}
	f.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	f.Hint(Version{Number: 1}, "silent")
	waitForVersion(t, f, 1)
}

// waitForVersion waits until a feed has a version, for at most a second.
func waitForVersion(t *testing.T, f *Feed, number uint64) {
	t.Helper()
	for end := time.Now().Add(time.Second); f.Current().Version.Number != number; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("version %d, not %d", f.Current().Version.Number, number)
		}
	}
}
