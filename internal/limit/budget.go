package limit

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrNoMemory is returned by a Reader whose budget is used up.
var ErrNoMemory = eris.New("no memory for the body")

// Budget bounds the memory that several bodies use together.
type Budget struct {
	Max int64 // bytes

	mu   sync.Mutex
	used int64
}

// Reader returns a reader of a body whose bytes count against the budget until Release.
func (b *Budget) Reader(body io.Reader) *Reader { return &Reader{source: body, budget: b} }

func (b *Budget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.Max {
		return false
	}
	b.used += n
	return true
}

func (b *Budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// Reader reserves memory for the bytes that it reads, not for the length that a header claims.
type Reader struct {
	source   io.Reader
	budget   *Budget
	reserved int64
}

// Read fails with ErrNoMemory when the budget is used up.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if !r.budget.reserve(int64(n)) {
		return 0, ErrNoMemory
	}
	r.reserved += int64(n)
	return n, err
}

// Release returns what was reserved to the budget.
func (r *Reader) Release() {
	r.budget.release(r.reserved)
	r.reserved = 0
}
