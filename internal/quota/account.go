package quota

import (
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	smallPart   = 4         // one part in so many is for holders of less than smallBytes
	smallBytes  = 128 << 10 // an ordinary request with its answer
	leavingPart = 4         // holders that were closed may still have one part in so many, beyond the account
)

// Account counts the bytes that holders have reserved.
type Account struct {
	Max int64 // bytes; zero for no limit
	Now func() clock.Millis

	mu      sync.Mutex
	used    int64 // by holders that are open
	leaving int64 // by holders that were closed for others and have not ended yet
	holders map[*Holder]struct{}
}

// Open adds a holder that waits for its caller. If it is closed for others, the function is called once, from another goroutine's
// reservation, and must not block. A nil account has nil holders.
func (a *Account) Open(onEvict func(Reason)) *Holder {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, onEvict: onEvict, waiting: true, progressAt: a.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holders == nil {
		a.holders = make(map[*Holder]struct{})
	}
	a.holders[h] = struct{}{}
	return h
}

// Used returns the bytes that are reserved.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used + a.leaving
}

// reserve adds bytes to a holder.
func (a *Account) reserve(h *Holder, n int64) error {
	evicted, err := a.tryReserve(h, n)
	for _, e := range evicted {
		e.onEvict(Memory)
	}
	return err
}

// tryReserve is reserve without telling those that are closed for it.
func (a *Account) tryReserve(h *Holder, n int64) (evicted []*Holder, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.evicted {
		return nil, &Error{"reserve", Closed}
	}
	for !a.fits(h, n) {
		victim := a.largest(h)
		if victim == nil || a.used+a.leaving+n > a.Max+a.Max/leavingPart {
			return evicted, &Error{"reserve", Full}
		}
		a.evict(victim)
		evicted = append(evicted, victim)
	}
	a.used += n
	h.held += n
	return evicted, nil
}

// fits reports whether a holder may have further bytes now; call it with the lock held.
func (a *Account) fits(h *Holder, n int64) bool {
	if a.Max <= 0 {
		return true
	}
	most := a.Max
	if h.held+n > smallBytes {
		most -= a.Max / smallPart
	}
	return a.used+n <= most && a.used+a.leaving+n <= a.Max+a.Max/leavingPart
}

// largest returns the holder with the largest product of bytes and time without progress, among those that may be closed and hold more
// than the asker; call it with the lock held.
func (a *Account) largest(asker *Holder) *Holder {
	now := a.Now()
	var found *Holder
	var most int64
	for h := range a.holders {
		if h == asker || h.held <= asker.held || !h.closable(now) {
			continue
		}
		if product := h.held * max(1, int64(now-h.progressAt)); product > most {
			found, most = h, product
		}
	}
	return found
}

// evict takes a holder out of the account; call it with the lock held, and its onEvict without.
func (a *Account) evict(h *Holder) {
	h.evicted = true
	delete(a.holders, h)
	a.used -= h.held
	a.leaving += h.held
}
