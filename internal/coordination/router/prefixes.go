package router

import "container/list"

// maxServerPrefixes is the number of prefixes that are kept for one server.
const maxServerPrefixes = 256

// CacheEvent says that a server's prefix cache stored or evicted a block.
type CacheEvent struct {
	// Sequence numbers the events of one boot of a server, from one.
	Sequence uint64
	// Hash is the hash of the prompt up to the end of the block.
	Hash uint64
	// Evicted says that the block was evicted; otherwise it was stored.
	Evicted bool
}

// PrefixMemory is a node's view of one server's prefix cache, from the server's
// events and from the requests that the node sent there. Events arrive late and
// with gaps. After a gap, only the prefixes that the node sent count, since the
// events of evictions may be missing.
type PrefixMemory struct {
	// boot identifies the server's boot to which lastSequence belongs.
	boot         string
	lastSequence uint64
	// reported are the prefixes from events, and sent those from this node's
	// requests.
	reported *lru[uint64, struct{}]
	sent     *lru[uint64, struct{}]
	gaps     int
}

// NewPrefixMemory returns an empty memory.
func NewPrefixMemory() *PrefixMemory {
	return &PrefixMemory{
		reported: newLRU[uint64, struct{}](maxServerPrefixes),
		sent:     newLRU[uint64, struct{}](maxServerPrefixes),
	}
}

// Gaps returns the number of gaps in the events.
func (pm *PrefixMemory) Gaps() int { return pm.gaps }

// Sent records the prefixes of a request that this node sent to the server.
func (pm *PrefixMemory) Sent(prefixes []uint64) {
	for _, hash := range prefixes {
		pm.sent.put(hash, struct{}{})
	}
}

// Apply applies events in their order. A new boot clears the memory.
func (pm *PrefixMemory) Apply(boot string, events []CacheEvent) {
	if boot != pm.boot {
		first := pm.boot == ""
		pm.boot, pm.lastSequence = boot, 0
		pm.reported.clear()
		if !first {
			pm.sent.clear()
		}
	}
	for _, ev := range events {
		pm.applyOne(ev)
	}
}

func (pm *PrefixMemory) applyOne(ev CacheEvent) {
	if ev.Sequence <= pm.lastSequence {
		return
	}
	if ev.Sequence != pm.lastSequence+1 && pm.lastSequence != 0 {
		pm.gaps++
		pm.reported.clear()
	}
	pm.lastSequence = ev.Sequence
	if ev.Evicted {
		pm.reported.remove(ev.Hash)
		pm.sent.remove(ev.Hash)
		return
	}
	pm.reported.put(ev.Hash, struct{}{})
}

// Held returns the number of leading blocks that the server probably caches.
func (pm *PrefixMemory) Held(prefixes []uint64) int {
	for ix := len(prefixes) - 1; ix >= 0; ix-- {
		if pm.reported.has(prefixes[ix]) || pm.sent.has(prefixes[ix]) {
			return ix + 1
		}
	}
	return 0
}

// lru is a map that keeps the most recently used entries, up to limit.
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
