package fake

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderpier/corianderpier/internal/engine"
)

// stream is one completion that the engine computes and sends.
type stream struct {
	request      engine.CompletionRequest
	seed         uint64
	arrival      int // order of arrival
	started      time.Time
	admitted     bool          // has its memory
	prefillLeft  int           // prompt tokens that are not prefilled yet
	decoded      int           // generated tokens
	memoryTokens int           // tokens of memory that the stream needs on this engine
	released     bool          // cancelled or complete; its memory is freed
	readers      int           // connections that read the stream
	changed      chan struct{} // closed and replaced at each change
}

// reservation is memory reserved for a part of a prompt on another engine.
type reservation struct {
	request engine.Reservation
	started time.Time
}

// cacheBlock is one entry of the prefix cache.
type cacheBlock struct {
	tokens   int
	lastUsed time.Time
}

// runSteps runs a step at each tick of StepTime until no stream is left.
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

// step admits waiting streams, prefills prompts and decodes one token for each of
// up to BatchSize streams. It reports whether any stream is left.
func (e *Engine) step(elapsed time.Duration) bool {
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
	prefillBudget := int(float64(e.PrefillRate) * elapsed.Seconds())
	decodeBudget := e.BatchSize
	for _, s := range streams {
		if !s.admitted {
			continue
		}
		if s.prefillLeft > 0 {
			prefilled := min(prefillBudget, s.prefillLeft)
			s.prefillLeft -= prefilled
			prefillBudget -= prefilled
		}
		if s.prefillLeft <= 0 && s.decoded < s.request.MaxTokens && decodeBudget > 0 {
			decodeBudget--
			s.decoded++
			close(s.changed)
			s.changed = make(chan struct{})
		}
	}
	return true
}

// admit allocates memory to waiting streams in order and stops at the first that
// does not fit.
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

// usedMemory returns the tokens of memory of admitted streams and reservations.
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

// cachedPrefixTokens returns how many prompt tokens the prefix cache holds. At
// least one token of each prompt is prefilled.
func (e *Engine) cachedPrefixTokens(request engine.CompletionRequest) int {
	cached := 0
	for key, tokens := range prefixBlocks(request) {
		block := e.cache[key]
		if block == nil {
			break
		}
		block.lastUsed = time.Now()
		cached += tokens
	}
	return min(cached, request.PromptTokens-1)
}

// cachePrompt adds the blocks of a prompt to the prefix cache.
func (e *Engine) cachePrompt(request engine.CompletionRequest) {
	for key, tokens := range prefixBlocks(request) {
		if e.cache[key] == nil {
			e.cache[key] = &cacheBlock{tokens: tokens, lastUsed: time.Now()}
			e.cachedTokens += tokens
		}
	}
	e.evict(e.MemoryTokens - e.usedMemory())
}

// evict removes the least recently used blocks until the cache holds at most limit
// tokens.
func (e *Engine) evict(limit int) {
	if e.cachedTokens <= limit {
		return
	}
	keys := make([]uint64, 0, len(e.cache))
	for key := range e.cache {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return e.cache[keys[i]].lastUsed.Before(e.cache[keys[j]].lastUsed) })
	for _, key := range keys {
		if e.cachedTokens <= limit {
			return
		}
		e.cachedTokens -= e.cache[key].tokens
		delete(e.cache, key)
	}
}

// prefixBlocks yields, for each block of a prompt, the hash of the prompt up to the
// end of the block and the tokens in the block.
func prefixBlocks(request engine.CompletionRequest) func(yield func(uint64, int) bool) {
	return func(yield func(uint64, int) bool) {
		count := len(request.Prompt) / blockBytes
		digest := xxhash.New()
		for i := range count {
			_, _ = digest.WriteString(request.Prompt[i*blockBytes : (i+1)*blockBytes])
			if !yield(digest.Sum64(), request.PromptTokens/count) {
				return
			}
		}
	}
}
