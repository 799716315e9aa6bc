// Package gossiper gossips versioned entries between nodes: the configuration's
// revision number, and other values that every node should receive within
// seconds but can operate without.
//
// An entry has an epoch and a sequence number. The higher pair wins, so entries
// may arrive late, twice and in any order. A message carries the entries that
// were sent least often, within a budget of bytes. Nodes compare checksums of
// buckets of keys to find entries that they missed.
//
// # Usage
//
//	gp := gossiper.New()
//	gp.Publish("configuration", gossiper.Version{Epoch: 17}, nil)
//	vn, payload, ok := gp.Get("configuration")
//	gp.Subscribe(func(key string, vn gossiper.Version, payload []byte) { ... })
package gossiper

import (
	"encoding/binary"
	"math/bits"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

const (
	// BucketCount is the number of buckets, each of which has a checksum in a
	// digest.
	BucketCount = 64
	// MaxPayloadBytes is the maximum size of a payload.
	MaxPayloadBytes = 512
	// sendsPerDoubling is how many times an item is sent for each doubling of
	// the number of members.
	sendsPerDoubling = 3
	// bulkBytes is the payload size above which an entry is sent fewer times.
	// Nodes that miss it find it by comparing checksums.
	bulkBytes = 32
	// minBulkSends is the minimum number of times that such an entry is sent, so
	// that few nodes miss it until they compare checksums.
	minBulkSends = 8
	// entryOverheadBytes is the size that the encoding adds to key and payload.
	entryOverheadBytes = 16
)

// Version orders the values of one key.
type Version struct {
	// Epoch is the fencing number or another epoch of the origin.
	Epoch int64
	// Seq is the sequence number within the epoch.
	Seq int64
}

// Newer reports whether vn is newer than other.
func (vn Version) Newer(other Version) bool {
	return vn.Epoch > other.Epoch || vn.Epoch == other.Epoch && vn.Seq > other.Seq
}

// Gossiper keeps the entries of one node. It is safe for use by several
// goroutines.
type Gossiper struct {
	mu          sync.Mutex
	entries     map[string]*entry
	subscribers []func(key string, vn Version, payload []byte)
	// changed receives a value after a newer entry was stored.
	changed chan struct{}
}

type entry struct {
	version Version
	payload []byte
	// sends is how many times the entry was sent since a peer last sent an older
	// version.
	sends int
}

// New returns a Gossiper without entries.
func New() *Gossiper {
	return &Gossiper{entries: map[string]*entry{}, changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives a value after newer entries were
// published.
func (gp *Gossiper) Changed() <-chan struct{} { return gp.changed }

// Subscribe registers fn to be called for each newer entry, in the goroutine
// that publishes or merges it.
func (gp *Gossiper) Subscribe(fn func(key string, vn Version, payload []byte)) {
	gp.mu.Lock()
	defer gp.mu.Unlock()
	gp.subscribers = append(gp.subscribers, fn)
}

// Publish stores an entry if it is newer than the stored one, and reports
// whether it did. It refuses a payload longer than MaxPayloadBytes.
func (gp *Gossiper) Publish(key string, vn Version, payload []byte) bool {
	if len(payload) > MaxPayloadBytes || !gp.put(key, vn, payload) {
		return false
	}
	select {
	case gp.changed <- struct{}{}:
	default:
	}
	for _, fn := range gp.currentSubscribers() {
		fn(key, vn, payload)
	}
	return true
}

// Merge publishes the entries that a peer sent.
func (gp *Gossiper) Merge(entries []messenger.GossipEntry) {
	for _, se := range entries {
		gp.Publish(se.Key, Version{se.Epoch, se.Seq}, se.Payload)
	}
}

// put stores an entry if it is newer than the stored one. If it is older, put
// has the stored entry sent again, because a peer lacks it.
func (gp *Gossiper) put(key string, vn Version, payload []byte) bool {
	gp.mu.Lock()
	defer gp.mu.Unlock()
	old := gp.entries[key]
	if old != nil && !vn.Newer(old.version) {
		if old.version.Newer(vn) {
			old.sends = 0
		}
		return false
	}
	gp.entries[key] = &entry{version: vn, payload: payload}
	return true
}

func (gp *Gossiper) currentSubscribers() []func(string, Version, []byte) {
	gp.mu.Lock()
	defer gp.mu.Unlock()
	return gp.subscribers
}

// Get returns the version and payload of a key, or false if there is no entry.
func (gp *Gossiper) Get(key string) (Version, []byte, bool) {
	gp.mu.Lock()
	defer gp.mu.Unlock()
	en, ok := gp.entries[key]
	if !ok {
		return Version{}, nil, false
	}
	return en.version, en.payload, true
}

// Snapshot returns the payloads of all keys with the prefix, by key.
func (gp *Gossiper) Snapshot(prefix string) map[string][]byte {
	gp.mu.Lock()
	defer gp.mu.Unlock()
	found := map[string][]byte{}
	for key, en := range gp.entries {
		if strings.HasPrefix(key, prefix) {
			found[key] = en.payload
		}
	}
	return found
}

// NextEntries returns the entries to send with the next message to a peer,
// those that were sent least often first. Their size is at most budget bytes,
// except that a single entry may exceed it. The number of members limits how
// many times each entry is sent.
func (gp *Gossiper) NextEntries(budget, members int) []messenger.GossipEntry {
	gp.mu.Lock()
	defer gp.mu.Unlock()
	var keys []string
	for key, en := range gp.entries {
		if en.sends < en.limit(members) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(ix, jx int) bool {
		one, two := gp.entries[keys[ix]].sends, gp.entries[keys[jx]].sends
		return one < two || one == two && keys[ix] < keys[jx]
	})
	var out []messenger.GossipEntry
	for _, key := range keys {
		en := gp.entries[key]
		size := len(key) + len(en.payload) + entryOverheadBytes
		if size > budget && len(out) > 0 {
			break
		}
		budget -= size
		en.sends++
		out = append(out, en.gossipEntry(key))
	}
	return out
}

// limit returns how many times the entry is sent among that many members.
func (en *entry) limit(members int) int {
	if len(en.payload) > bulkBytes {
		return max(SendLimit(members)/sendsPerDoubling, minBulkSends)
	}
	return SendLimit(members)
}

// SendLimit returns how many times an item is sent among that many members.
func SendLimit(members int) int { return sendsPerDoubling * (bits.Len(uint(members)) + 1) }

// AddDigest adds the checksums of all entries to a digest of BucketCount
// checksums.
func (gp *Gossiper) AddDigest(digest []uint32) {
	gp.mu.Lock()
	defer gp.mu.Unlock()
	for key, en := range gp.entries {
		AddToDigest(digest, key, uint64(en.version.Epoch), uint64(en.version.Seq))
	}
}

// MarkedEntries returns up to limit entries for whose keys marked returns true.
func (gp *Gossiper) MarkedEntries(marked func(key string) bool, limit int) []messenger.GossipEntry {
	gp.mu.Lock()
	defer gp.mu.Unlock()
	var out []messenger.GossipEntry
	for key, en := range gp.entries {
		if len(out) < limit && marked(key) {
			out = append(out, en.gossipEntry(key))
		}
	}
	return out
}

func (en *entry) gossipEntry(key string) messenger.GossipEntry {
	return messenger.GossipEntry{Key: key, Epoch: en.version.Epoch, Seq: en.version.Seq, Payload: en.payload}
}

// Bucket returns the bucket of a key, from 0 to BucketCount-1.
func Bucket(key string) int { return int(xxhash.Sum64String(key) % BucketCount) }

// AddToDigest adds the checksum of a key and its version numbers to the key's
// bucket. The order of keys does not matter, because addition is commutative.
func AddToDigest(digest []uint32, key string, numbers ...uint64) {
	dg := xxhash.New()
	_, _ = dg.WriteString(key)
	var buf [8]byte
	for _, nr := range numbers {
		binary.BigEndian.PutUint64(buf[:], nr)
		_, _ = dg.Write(buf[:])
	}
	digest[Bucket(key)] += uint32(dg.Sum64())
}
