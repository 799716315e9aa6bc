package isolator

import (
	"strconv"
	"strings"

	"github.com/lagoonpass/lagoonpass/internal/coordination/quarantiner"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// Replace takes up all keys of the store. Keys outside the prefix are ignored.
func (is *Isolator) Replace(entries []storer.Entry) {
	is.mu.Lock()
	former := is.stored
	is.stored = map[uint64]int{}
	is.mu.Unlock()
	for _, en := range entries {
		is.put(en)
	}
	is.mu.Lock()
	defer is.mu.Unlock()
	for part := range former {
		if _, ok := is.stored[part]; !ok {
			is.quarantine.Lift(part)
			is.logLifted(part, "its key is gone from the store")
		}
	}
}

// Apply takes up changes in the store. Keys outside the prefix are ignored.
func (is *Isolator) Apply(changes []storer.Change) {
	for _, ch := range changes {
		if !ch.Deleted {
			is.put(ch.Entry)
			continue
		}
		if part, ok := is.partOf(ch.Key); ok {
			is.remove(part)
		}
	}
}

// StoreRestored makes the leader write its exclusions again, since the copy to
// which the store returned may lack them.
func (is *Isolator) StoreRestored() {
	is.mu.Lock()
	defer is.mu.Unlock()
	is.stored = map[uint64]int{}
}

func (is *Isolator) put(en storer.Entry) {
	part, ok := is.partOf(en.Key)
	failures, err := strconv.Atoi(string(en.Value))
	if !ok || err != nil || failures < 0 {
		return
	}
	is.mu.Lock()
	is.stored[part] = failures
	is.mu.Unlock()
	is.exclude(quarantiner.Exclusion{Part: part, Failures: failures})
}

func (is *Isolator) remove(part uint64) {
	is.mu.Lock()
	_, known := is.stored[part]
	delete(is.stored, part)
	is.mu.Unlock()
	if known {
		is.quarantine.Lift(part)
		is.logLifted(part, "its key is gone from the store")
	}
}

func (is *Isolator) partOf(key string) (uint64, bool) {
	name, ok := strings.CutPrefix(key, is.prefix)
	part, err := strconv.ParseUint(name, 16, 64)
	return part, ok && err == nil && is.store != nil
}
