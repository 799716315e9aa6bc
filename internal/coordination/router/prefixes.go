package router

import "container/list"

// prefixesOfServer bounds the prefixes that are remembered of one server.
const prefixesOfServer = 256

// CacheEvent says that a server's prefix cache took in or gave up a block.
type CacheEvent struct {
	// Sequence counts the events of one boot of a server, from one.
	Sequence uint64
	// Hash is the hash of the prompt up to the end of the block.
	Hash uint64
	// Evicted says that the block was given up.
	Evicted bool
}

// PrefixMemory is what a node knows of one server's prefix cache: what the
// server's events told, and what the node sent there itself. Events come late
// and with gaps; after a gap, only the node's own memory counts, since blocks
// may have been given up unseen.
type PrefixMemory struct {
	boot   string
	last   uint64
	told   *lru[uint64, struct{}]
	sent   *lru[uint64, struct{}]
	gapped int
}

// NewPrefixMemory returns a memory that knows nothing.
func NewPrefixMemory() *PrefixMemory {
	return &PrefixMemory{
		told: newLRU[uint64, struct{}](prefixesOfServer),
		sent: newLRU[uint64, struct{}](prefixesOfServer),
	}
}

// Gaps returns how often the events had a gap.
func (pm *PrefixMemory) Gaps() int { return pm.gapped }

// Sent remembers the prefixes of a request that went to the server.
func (pm *PrefixMemory) Sent(prefixes []uint64) {
	for _, hash := range prefixes {
		pm.sent.put(hash, struct{}{})
	}
}

// Apply takes in events in their order. A new boot forgets everything.
func (pm *PrefixMemory) Apply(boot string, events []CacheEvent) {
	if boot != pm.boot {
		first := pm.boot == ""
		pm.boot, pm.last = boot, 0
		pm.told.clear()
		if !first {
			pm.sent.clear()
		}
	}
	for _, ev := range events {
		pm.applyOne(ev)
	}
}

func (pm *PrefixMemory) applyOne(ev CacheEvent) {
	if ev.Sequence <= pm.last {
		return
	}
	if ev.Sequence != pm.last+1 && pm.last != 0 {
		pm.gapped++
		pm.told.clear()
	}
	pm.last = ev.Sequence
	if ev.Evicted {
		pm.told.remove(ev.Hash)
		pm.sent.remove(ev.Hash)
		return
	}
	pm.told.put(ev.Hash, struct{}{})
}

// Held returns how many leading blocks the server is thought to hold.
func (pm *PrefixMemory) Held(prefixes []uint64) int {
	for ix := len(prefixes) - 1; ix >= 0; ix-- {
		if pm.told.has(prefixes[ix]) || pm.sent.has(prefixes[ix]) {
			return ix + 1
		}
	}
	return 0
}

// lru keeps the entries used last, up to a limit.
type lru[K comparable, V any] struct {
	limit   int
	order   *list.List
	entries map[K]*list.Element
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](limit int) *lru[K, V] {
	return &lru[K, V]{limit: limit, order: list.New(), entries: map[K]*list.Element{}}
}

func (lr *lru[K, V]) has(key K) bool {
	_, ok := lr.entries[key]
	return ok
}

func (lr *lru[K, V]) get(key K) (V, bool) {
	el, ok := lr.entries[key]
	if !ok {
		var none V
		return none, false
	}
	lr.order.MoveToFront(el)
	return el.Value.(*lruEntry[K, V]).value, true
}

func (lr *lru[K, V]) put(key K, value V) {
	if el, ok := lr.entries[key]; ok {
		el.Value.(*lruEntry[K, V]).value = value
		lr.order.MoveToFront(el)
		return
	}
	if lr.order.Len() < lr.limit {
		lr.entries[key] = lr.order.PushFront(&lruEntry[K, V]{key: key, value: value})
		return
	}
	last := lr.order.Back()
	en := last.Value.(*lruEntry[K, V])
	delete(lr.entries, en.key)
	en.key, en.value = key, value
	lr.order.MoveToFront(last)
	lr.entries[key] = last
}

func (lr *lru[K, V]) remove(key K) {
	if el, ok := lr.entries[key]; ok {
		lr.order.Remove(el)
		delete(lr.entries, key)
	}
}

func (lr *lru[K, V]) clear() {
	lr.order.Init()
	clear(lr.entries)
}
