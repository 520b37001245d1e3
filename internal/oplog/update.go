package oplog

import (
	"context"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	retryPause    = 20 * clock.Millis(1)
	maxRetryPause = 500 * clock.Millis(1)
)

// update replaces a version of a shard and settles lost answers. It returns
// false when another update came first, and an error only when the context
// ends before the matter is settled.
func (l *Log) update(ctx context.Context, name string, version uint64, token string, value []byte) (uint64, bool, error) {
	wait := retryPause
	for {
		next, err := l.Put(ctx, name, version, value)
		if err == nil {
			return next, true, nil
		}
		if store.Is(err, store.TooLarge) {
			return 0, false, &Error{Op: "update", Kind: Corrupt, Err: err}
		}
		if !store.Is(err, store.Conflict) {
			counter("update_unsettled").Inc()
		}
		current, settled, err := l.readBack(ctx, name, version, token)
		if settled {
			return current, current != 0, err
		}
		if sleep(ctx, wait) != nil {
			return 0, false, &Error{Op: "update", Kind: Unavailable, Err: ctx.Err()}
		}
		wait = min(2*wait, maxRetryPause)
	}
}

// readBack tells whether an update is in the shard (its version), was
// superseded (zero), or may still come (not settled).
func (l *Log) readBack(ctx context.Context, name string, version uint64, token string) (uint64, bool, error) {
	object, err := l.Get(ctx, name)
	if err != nil || object.Version <= version {
		return 0, false, nil
	}
	p, err := decodePage(object.Value)
	if err != nil {
		return 0, true, &Error{Op: "read back", Kind: Corrupt, Err: err}
	}
	if p.Token == token {
		return object.Version, true, nil
	}
	return 0, true, nil
}
