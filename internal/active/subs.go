package active

import (
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const subscriptionTime = 5 * clock.Second // for which an instance that is active in its own view gets the placements of the others

// Subscriptions are the instances that are active in their own view, by peer address. Views differ for a moment, and
// callers use the address of an instance a little longer than it is active, so that they are told of placements too.
type Subscriptions struct {
	Always func() []string // peer addresses of the active instances of the cell in the own view

	mu    sync.Mutex
	heard map[string]clock.Millis // when an instance last said that it is active
}

// Renew records that an instance says that it is active.
func (s *Subscriptions) Renew(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard = make(map[string]clock.Millis)
	}
	s.heard[addr] = clock.Now()
}

// Addrs returns the addresses that are to be told of placements, each once.
func (s *Subscriptions) Addrs() []string {
	addrs := s.Always()
	listed := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		listed[addr] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for addr, at := range s.heard {
		switch {
		case now-at > subscriptionTime:
			delete(s.heard, addr)
		case !listed[addr]:
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
