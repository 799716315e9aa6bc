package engine

import (
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/prefixer"
)

const (
	// defaultCacheBlocks is how many prompt blocks the prefix cache holds.
	defaultCacheBlocks = 256
	// maxReportedEvents bounds the cache events in a report; older ones are
	// dropped.
	maxReportedEvents = 64
)

// CacheEvent records that the prefix cache added or evicted a block.
type CacheEvent struct {
	// Sequence counts the events of one boot, from one.
	Sequence uint64
	// Hash is the hash of the prompt up to the end of the block.
	Hash uint64
	// Evicted is set if the block was evicted, and unset if it was added.
	Evicted bool
}

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	limit    int               // blocks
	lastUsed map[uint64]uint64 // block hash to the tick of its last use
	tick     uint64            // logical clock; advances with every use of a block
	sequence uint64            // of the latest event, including skipped ones
	events   []CacheEvent      // latest events, oldest first
	skip     int               // events still to drop
	hits     int               // prompt blocks found in the cache
	blocks   int               // prompt blocks looked up
}

// WithCacheBlocks sets how many prompt blocks the prefix cache holds.
func WithCacheBlocks(count int) Option { return func(eg *Engine) { eg.cache.limit = count } }

// SkipCacheEvents drops the next count events, so that the sequence numbers in
// reports have a gap.
func (eg *Engine) SkipCacheEvents(count int) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.cache.skip += count
}

// CacheHits returns how many prompt blocks were found in the prefix cache, and
// how many were looked up.
func (eg *Engine) CacheHits() (hits, blocks int) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.cache.hits, eg.cache.blocks
}

// prefillTime returns the duration of the prefill. It adds the prompt to the
// prefix cache; leading blocks that are cached already take no time.
func (eg *Engine) prefillTime(call *completionCall) time.Duration {
	hashes := prefixer.Prefixes(prefixer.Prompt(call.Prompt, call.Messages))
	if len(hashes) == 0 {
		return eg.prefill
	}
	eg.mu.Lock()
	defer eg.mu.Unlock()
	cached := eg.cache.use(hashes)
	return eg.prefill * time.Duration(len(hashes)-cached) / time.Duration(len(hashes))
}

// use returns how many leading blocks are cached, marks them as used and adds
// the others.
func (pc *prefixCache) use(hashes []uint64) int {
	cached := 0
	for cached < len(hashes) && pc.lastUsed[hashes[cached]] > 0 {
		cached++
	}
	pc.hits += cached
	pc.blocks += len(hashes)
	for _, hash := range hashes {
		pc.tick++
		if pc.lastUsed[hash] == 0 {
			pc.record(hash, false)
		}
		pc.lastUsed[hash] = pc.tick
	}
	for len(pc.lastUsed) > pc.limit {
		pc.evict()
	}
	return cached
}

func (pc *prefixCache) evict() {
	oldest, oldestUse := uint64(0), pc.tick+1
	for hash, lastUsed := range pc.lastUsed {
		if lastUsed < oldestUse {
			oldest, oldestUse = hash, lastUsed
		}
	}
	delete(pc.lastUsed, oldest)
	pc.record(oldest, true)
}

func (pc *prefixCache) record(hash uint64, evicted bool) {
	pc.sequence++
	if pc.skip > 0 {
		pc.skip--
		return
	}
	pc.events = append(pc.events, CacheEvent{Sequence: pc.sequence, Hash: hash, Evicted: evicted})
	pc.events = pc.events[max(0, len(pc.events)-maxReportedEvents):]
}
