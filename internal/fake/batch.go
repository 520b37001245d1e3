package fake

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderpier/corianderpier/internal/engine"
)

type stream struct {
	request      engine.CompletionRequest
	seed         uint64
	arrival      int
	started      time.Time
	admitted     bool
	prefillLeft  int // prompt tokens to process
	decoded      int // generated tokens
	memoryTokens int // tokens of memory here
	released     bool
	readers      int // connections
	changed      chan struct{}
}

type reservation struct {
	request engine.Reservation
	started time.Time
}

type cacheBlock struct {
	tokens int
	used   time.Time
}

func (e *Engine) runSteps() {
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
		if a.request.Priority != b.request.Priority {
			return b.request.Priority - a.request.Priority
		}
		return a.arrival - b.arrival
	})
	e.admit(streams)
	budget := int(float64(e.PrefillRate) * passed.Seconds())
	batch := e.BatchSize
	for _, s := range streams {
		if !s.admitted {
			continue
		}
		if s.prefillLeft > 0 {
			used := min(budget, s.prefillLeft)
			s.prefillLeft -= used
			budget -= used
		}
		if s.prefillLeft <= 0 && s.decoded < s.request.MaxTokens && batch > 0 {
			batch--
			s.decoded++
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
		free := e.MemoryTokens - e.usedMemory()
		if s.memoryTokens > free {
			return
		}
		s.admitted = true
		e.evict(free - s.memoryTokens)
	}
}

func (e *Engine) usedMemory() int {
	used := 0
	for _, s := range e.streams {
		if s.admitted {
			used += s.memoryTokens
		}
	}
	for _, r := range e.reservations {
		used += r.request.Tokens
	}
	return used
}

// cachedPrefixTokens returns how many prompt tokens the cache spares.
func (e *Engine) cachedPrefixTokens(ask engine.CompletionRequest) int {
	spared := 0
	for key, tokens := range prefixBlocks(ask) {
		b := e.cache[key]
		if b == nil {
			break
		}
		b.used = time.Now()
		spared += tokens
	}
	return min(spared, ask.PromptTokens-1)
}

func (e *Engine) cachePrompt(ask engine.CompletionRequest) {
	for key, tokens := range prefixBlocks(ask) {
		if e.cache[key] == nil {
			e.cache[key] = &cacheBlock{tokens: tokens, used: time.Now()}
			e.cachedTokens += tokens
		}
	}
	e.evict(e.MemoryTokens - e.usedMemory())
}

// evict drops the least recently used blocks until the cache fits.
func (e *Engine) evict(room int) {
	if e.cachedTokens <= room {
		return
	}
	keys := make([]uint64, 0, len(e.cache))
	for key := range e.cache {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return e.cache[keys[i]].used.Before(e.cache[keys[j]].used) })
	for _, key := range keys {
		if e.cachedTokens <= room {
			return
		}
		e.cachedTokens -= e.cache[key].tokens
		delete(e.cache, key)
	}
}

// prefixBlocks yields the running hash and the tokens of each block of a prompt.
func prefixBlocks(ask engine.CompletionRequest) func(yield func(uint64, int) bool) {
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
