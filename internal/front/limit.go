package front

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

var errNoMemory = eris.New("no memory for the body")

// limits counts the requests in progress for each customer and profile.
type limits struct {
	mu     sync.Mutex
	counts map[string]int
}

// enter counts a request in unless the instance's part of the limit is used up; no limit is zero.
func (l *limits) enter(name string, limit, instances int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[string]int)
	}
	if limit > 0 && l.counts[name] >= part(limit, instances) {
		return false
	}
	l.counts[name]++
	return true
}

func (l *limits) leave(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]--
	if l.counts[name] == 0 {
		delete(l.counts, name)
	}
}

// part is what one of several instances may use of a limit; all parts together exceed it by less than their number.
func part(limit, instances int) int {
	instances = max(instances, 1)
	return (limit + instances - 1) / instances
}

// bytesBudget bounds the memory of request bodies.
type bytesBudget struct {
	mu   sync.Mutex
	used int64
	max  int64
}

func (b *bytesBudget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.max {
		return false
	}
	b.used += n
	return true
}

func (b *bytesBudget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// countedReader takes memory for what it reads, not for what a header promises.
type countedReader struct {
	from   io.Reader
	budget *bytesBudget
	taken  int64
}

// Read fails with errNoMemory when the budget is used up.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.from.Read(p)
	if !c.budget.take(int64(n)) {
		return 0, errNoMemory
	}
	c.taken += int64(n)
	return n, err
}
