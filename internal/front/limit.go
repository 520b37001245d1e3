package front

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

var errNoMemory = eris.New("no memory for the body")

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

// byteBudget bounds the memory that request bodies use together.
type byteBudget struct {
	mu   sync.Mutex
	used int64
	max  int64
}

func (b *byteBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.max {
		return false
	}
	b.used += n
	return true
}

func (b *byteBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// budgetReader reserves memory for the bytes that it reads, not for the length that a header claims.
type budgetReader struct {
	source   io.Reader
	budget   *byteBudget
	reserved int64
}

// Read fails with errNoMemory when the budget is used up.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if !r.budget.reserve(int64(n)) {
		return 0, errNoMemory
	}
	r.reserved += int64(n)
	return n, err
}
