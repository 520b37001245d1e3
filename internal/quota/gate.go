package quota

import "sync"

// Gate bounds the number of connections to a port, which are holders of one account.
type Gate struct {
	Max int // connections; zero for no limit

	mu   sync.Mutex
	open map[*Holder]struct{}
}

// Enter lets a holder in. If there are too many, the one that waits for its caller and has been longest without a byte is closed; if none
// waits, the new one is refused.
func (g *Gate) Enter(h *Holder) bool {
	victim, admitted := g.enter(h)
	if victim != nil {
		victim.onEvict(Files)
	}
	return admitted
}

// enter is Enter without telling the one that is closed.
func (g *Gate) enter(h *Holder) (victim *Holder, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(map[*Holder]struct{})
	}
	if g.Max > 0 && len(g.open) >= g.Max {
		if victim = g.evictLongest(h.account); victim == nil {
			return nil, false
		}
		delete(g.open, victim)
	}
	g.open[h] = struct{}{}
	return victim, true
}

// Leave takes out a holder that has ended.
func (g *Gate) Leave(h *Holder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, h)
}

// evictLongest takes the holder that has waited longest without a byte out of the account; call it with the lock held.
func (g *Gate) evictLongest(a *Account) *Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	var found *Holder
	for h := range g.open {
		if h.closable(now) && (found == nil || h.progressAt < found.progressAt) {
			found = h
		}
	}
	if found != nil {
		a.evict(found)
	}
	return found
}
