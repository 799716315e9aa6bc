package storer

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Memory is a Store in the memory of the process. Its entries are lost when the
// process ends.
type Memory struct {
	mu       sync.Mutex
	entries  map[string]Entry
	revision int64
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{entries: map[string]Entry{}} }

// Get implements Store.
func (me *Memory) Get(_ context.Context, key string) (Entry, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	en, ok := me.entries[key]
	if !ok {
		return Entry{}, &Error{Op: "get", Key: key, Kind: NotFound}
	}
	return en, nil
}

// List implements Store.
func (me *Memory) List(_ context.Context, prefix string) ([]Entry, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	var found []Entry
	for key, en := range me.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, en)
		}
	}
	slices.SortFunc(found, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Swap implements Store.
func (me *Memory) Swap(_ context.Context, key string, value []byte, revision int64) (int64, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.entries[key].Revision != revision {
		return 0, &Error{Op: "swap", Key: key, Kind: Conflict}
	}
	me.revision++
	me.entries[key] = Entry{Key: key, Value: value, Revision: me.revision}
	return me.revision, nil
}

// Delete implements Store.
func (me *Memory) Delete(_ context.Context, key string, revision int64) error {
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.entries[key].Revision != revision {
		return &Error{Op: "delete", Key: key, Kind: Conflict}
	}
	me.revision++
	delete(me.entries, key)
	return nil
}
