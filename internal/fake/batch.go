package fake

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderpier/corianderpier/internal/engine"
)

type stream struct {
	ask      engine.CompletionRequest
	seed     uint64
	order    int
	since    time.Time
	admitted bool
	left     int // prompt tokens to process
	made     int // generated tokens
	need     int // tokens of memory here
	gone     bool
	readers  int // connections
	changed  chan struct{}
}

type reservation struct {
	ask   engine.Reservation
	since time.Time
}

type block struct {
	tokens int
	used   time.Time
}

func (e *Engine) run() {
	ticker := time.NewTicker(e.StepTime)
	defer ticker.Stop()
	last := time.Now()
	for range ticker.C {
		now := time.Now()
		if !e.step(now.Sub(last)) {
			return
		}
		last = now
	}
}

// step admits, processes prompts and generates; it reports whether any stream is left.
func (e *Engine) step(passed time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) == 0 {
		e.running = false
		return false
	}
	streams := make([]*stream, 0, len(e.streams))
	for _, s := range e.streams {
		streams = append(streams, s)
	}
	slices.SortFunc(streams, func(a, b *stream) int {
		if a.ask.Priority != b.ask.Priority {
			return b.ask.Priority - a.ask.Priority
		}
		return a.order - b.order
	})
	e.admit(streams)
	budget := int(float64(e.PrefillRate) * passed.Seconds())
	batch := e.BatchSize
	for _, s := range streams {
		if !s.admitted {
			continue
		}
		if s.left > 0 {
			used := min(budget, s.left)
			s.left -= used
			budget -= used
		}
		if s.left <= 0 && s.made < s.ask.MaxTokens && batch > 0 {
			batch--
			s.made++
			close(s.changed)
			s.changed = make(chan struct{})
		}
	}
	return true
}

// admit gives memory in order and stops at the first request that does not fit.
func (e *Engine) admit(streams []*stream) {
	for _, s := range streams {
		if s.admitted {
			continue
		}
		free := e.MemoryTokens - e.used()
		if s.need > free {
			return
		}
		s.admitted = true
		e.evict(free - s.need)
	}
}

func (e *Engine) used() int {
	used := 0
	for _, s := range e.streams {
		if s.admitted {
			used += s.need
		}
	}
	for _, r := range e.reserved {
		used += r.ask.Tokens
	}
	return used
}

// hit returns how many prompt tokens the cache spares.
func (e *Engine) hit(ask engine.CompletionRequest) int {
	spared := 0
	for key, tokens := range blocks(ask) {
		b := e.cache[key]
		if b == nil {
			break
		}
		b.used = time.Now()
		spared += tokens
	}
	return min(spared, ask.PromptTokens-1)
}

func (e *Engine) keep(ask engine.CompletionRequest) {
	for key, tokens := range blocks(ask) {
		if e.cache[key] == nil {
			e.cache[key] = &block{tokens: tokens, used: time.Now()}
			e.cached += tokens
		}
	}
	e.evict(e.MemoryTokens - e.used())
}

// evict drops the least recently used blocks until the cache fits.
func (e *Engine) evict(room int) {
	if e.cached <= room {
		return
	}
	keys := make([]uint64, 0, len(e.cache))
	for key := range e.cache {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return e.cache[keys[i]].used.Before(e.cache[keys[j]].used) })
	for _, key := range keys {
		if e.cached <= room {
			return
		}
		e.cached -= e.cache[key].tokens
		delete(e.cache, key)
	}
}

// blocks yields the running hash and the tokens of each block of a prompt.
func blocks(ask engine.CompletionRequest) func(yield func(uint64, int) bool) {
	return func(yield func(uint64, int) bool) {
		n := len(ask.Prompt) / blockBytes
		digest := xxhash.New()
		for i := range n {
			_, _ = digest.WriteString(ask.Prompt[i*blockBytes : (i+1)*blockBytes])
			if !yield(digest.Sum64(), ask.PromptTokens/n) {
				return
			}
		}
	}
}
