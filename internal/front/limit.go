package front

import "sync"

// concurrencyLimits counts the requests in progress of each customer and profile.
type concurrencyLimits struct {
	mu     sync.Mutex
	counts map[string]int
}

// acquire counts a request, unless this instance's share of the limit is used up. A limit of zero means no limit.
func (l *concurrencyLimits) acquire(name string, limit, instances int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[string]int)
	}
	if limit > 0 && l.counts[name] >= instanceShare(limit, instances) {
		return false
	}
	l.counts[name]++
	return true
}

func (l *concurrencyLimits) release(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]--
	if l.counts[name] == 0 {
		delete(l.counts, name)
	}
}

// instanceShare returns the share of a limit that one of several instances may use. It is rounded up, so all shares
// together exceed the limit by less than the number of instances.
func instanceShare(limit, instances int) int {
	instances = max(instances, 1)
	return (limit + instances - 1) / instances
}
