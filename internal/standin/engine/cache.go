package engine

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/prefixer"
)

const (
	// defaultCacheBlocks is how many prompt blocks the prefix cache holds.
	defaultCacheBlocks = 256
	// eventsKept bounds the cache events in a report; older ones are lost.
	eventsKept = 64
)

// CacheEvent says that the prefix cache took in or gave up a block.
type CacheEvent struct {
	// Sequence counts the events of one boot, from one.
	Sequence uint64
	// Hash is the hash of the prompt up to the end of the block.
	Hash uint64
	// Evicted says that the block was given up.
	Evicted bool
}

// prefixCache holds the blocks used last.
type prefixCache struct {
	limit    int
	used     map[uint64]uint64
	tick     uint64
	sequence uint64
	events   []CacheEvent
	skip     int
	hits     int
	blocks   int
}

// WithCacheBlocks sets how many prompt blocks the prefix cache holds.
func WithCacheBlocks(count int) Option { return func(eg *Engine) { eg.cache.limit = count } }

// SkipCacheEvents loses the next events, so that reports have a gap.
func (eg *Engine) SkipCacheEvents(count int) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.cache.skip += count
}

// CacheHits returns how many blocks of prompts were found in the prefix cache,
// and how many there were.
func (eg *Engine) CacheHits() (hits, blocks int) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.cache.hits, eg.cache.blocks
}

// prefillTime returns how long the prompt takes to read: the part of it that
// the prefix cache holds takes none.
func (eg *Engine) prefillTime(call *completionCall) time.Duration {
	hashes := prefixer.Prefixes(prefixer.Prompt(call.Prompt, call.Messages))
	if len(hashes) == 0 {
		return eg.prefill
	}
	eg.mu.Lock()
	defer eg.mu.Unlock()
	held := eg.cache.take(hashes)
	return eg.prefill * time.Duration(len(hashes)-held) / time.Duration(len(hashes))
}

// take returns how many leading blocks are held, and takes in the others.
func (pc *prefixCache) take(hashes []uint64) int {
	held := 0
	for held < len(hashes) && pc.used[hashes[held]] > 0 {
		held++
	}
	pc.hits += held
	pc.blocks += len(hashes)
	for _, hash := range hashes {
		pc.tick++
		if pc.used[hash] == 0 {
			pc.note(hash, false)
		}
		pc.used[hash] = pc.tick
	}
	for len(pc.used) > pc.limit {
		pc.evict()
	}
	return held
}

func (pc *prefixCache) evict() {
	oldest, at := uint64(0), pc.tick+1
	for hash, used := range pc.used {
		if used < at {
			oldest, at = hash, used
		}
	}
	delete(pc.used, oldest)
	pc.note(oldest, true)
}

func (pc *prefixCache) note(hash uint64, evicted bool) {
	pc.sequence++
	if pc.skip > 0 {
		pc.skip--
		return
	}
	pc.events = append(pc.events, CacheEvent{Sequence: pc.sequence, Hash: hash, Evicted: evicted})
	pc.events = pc.events[max(0, len(pc.events)-eventsKept):]
}
