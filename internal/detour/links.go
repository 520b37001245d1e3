package detour

import (
	"slices"
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	recheckInterval = clock.Second      // between direct dials over a link that is cut, while there are connections to open
	linkMemory      = 30 * clock.Second // after its last dial, when a link that is cut is forgotten
	recentLinks     = 3                 // latest results of different links that all fail, after which an instance checks whether it has any
	checkedLinks    = 4                 // other links that it tries then
	linksForReturn  = 2                 // of the latest results that must be good for an unlinked instance to count as connected again
)

// plan says how to open a connection.
type plan struct {
	first way  // is tried at once
	both  bool // the other one is tried at once too
}

// link is what is known of the link to one address. Links that work have none.
type link struct {
	recheckAt clock.Millis // when it is tried directly again
	usedAt    clock.Millis // when a connection over it was last wanted
}

// directResult is the result of the latest direct dial of an address.
type directResult struct {
	addr string
	ok   bool
}

// links keeps the state of the links of one instance.
type links struct {
	mu       sync.Mutex
	cutLinks map[string]*link // by address
	recent   []directResult   // of different addresses, the newest last
	checking bool             // links are tried to find out whether there are any, see Dialer.check
	unlinked bool
}

// change says what the result of a dial has changed.
type change struct {
	linkCut  bool // a link is cut that was not
	linkBack bool // a link that was cut is back
	linked   bool // this instance was unlinked and is not any more
	suspect  bool // it may be unlinked, which is to be checked
}

// plan returns how to open a connection to an address.
func (l *links) plan(addr string, now clock.Millis) plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.cutLinks[addr]
	if known == nil {
		return plan{first: direct, both: l.unlinked}
	}
	known.usedAt = now
	if l.unlinked || now < known.recheckAt { // an unlinked instance tries some links once a second, see Dialer.Run
		return plan{first: carried}
	}
	known.recheckAt = now + recheckInterval
	return plan{first: carried, both: true}
}

// cut records that a link is lost.
func (l *links) cut(addr string, now clock.Millis) change {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.addResult(addr, false)
	c.linkCut = l.addCut(addr, now)
	return c
}

// addCut adds a link that is lost, and reports whether that is news. Call it with the lock held.
func (l *links) addCut(addr string, now clock.Millis) bool {
	if l.cutLinks == nil {
		l.cutLinks = make(map[string]*link)
	}
	for other, known := range l.cutLinks {
		if now-known.usedAt > linkMemory {
			delete(l.cutLinks, other)
		}
	}
	if l.cutLinks[addr] != nil {
		return false
	}
	l.cutLinks[addr] = &link{recheckAt: now + recheckInterval, usedAt: now}
	return true
}

// noteDirect records the result of a direct dial. To an unlinked instance each link that fails is cut.
func (l *links) noteDirect(addr string, ok bool, now clock.Millis) change {
	l.mu.Lock()
	defer l.mu.Unlock()
	back := ok && l.cutLinks[addr] != nil
	if back {
		delete(l.cutLinks, addr)
	}
	c := l.addResult(addr, ok)
	c.linkBack = back
	switch {
	case l.unlinked && !ok:
		l.addCut(addr, now)
	case c.linked:
		for _, cut := range l.cutLinks {
			cut.recheckAt = now // most are back, too
		}
	}
	return c
}

// addResult adds the result of a direct dial in place of an older one of the same address. Call it with the lock held.
func (l *links) addResult(addr string, ok bool) change {
	kept := slices.DeleteFunc(l.recent, func(r directResult) bool { return r.addr == addr })
	if len(kept) == recentLinks {
		kept = slices.Delete(kept, 0, 1)
	}
	l.recent = append(kept, directResult{addr, ok})
	good := 0
	for _, r := range l.recent {
		if r.ok {
			good++
		}
	}
	switch {
	case l.unlinked && good >= linksForReturn:
		l.unlinked = false
		return change{linked: true}
	case !l.unlinked && !l.checking && good == 0 && len(l.recent) == recentLinks:
		l.checking = true
		return change{suspect: true}
	}
	return change{}
}

// recentAddrs returns the addresses of the latest results.
func (l *links) recentAddrs() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	addrs := make(map[string]bool)
	for _, r := range l.recent {
		addrs[r.addr] = true
	}
	return addrs
}

// endCheck records whether the links that were checked all fail.
func (l *links) endCheck(allFail bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checking, l.unlinked = false, allFail
	if !allFail {
		l.recent = nil
	}
}

// isUnlinked reports whether the links to all targets that were tried lately are lost.
func (l *links) isUnlinked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unlinked
}

// cutCount returns the number of links that are known to be cut.
func (l *links) cutCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.cutLinks)
}
