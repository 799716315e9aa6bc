package isolator

import (
	"strconv"
	"strings"

	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/quarantiner"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// Replace takes up all keys of the store. Keys outside the prefix are ignored.
func (is *Isolator) Replace(entries []storer.Entry) {
	is.mu.Lock()
	former := is.stored
	is.stored = map[fingerprinter.Content]int{}
	is.mu.Unlock()
	for _, en := range entries {
		is.put(en)
	}
	is.mu.Lock()
	defer is.mu.Unlock()
	for content := range former {
		if _, ok := is.stored[content]; !ok {
			is.quarantine.Lift(content)
			is.logLifted(content, "its key is gone from the store")
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
		if content, ok := is.contentOf(ch.Key); ok {
			is.remove(content)
		}
	}
}

// StoreRestored makes the leader write its exclusions again, since the copy to
// which the store returned may lack them.
func (is *Isolator) StoreRestored() {
	is.mu.Lock()
	defer is.mu.Unlock()
	is.stored = map[fingerprinter.Content]int{}
}

func (is *Isolator) put(en storer.Entry) {
	content, ok := is.contentOf(en.Key)
	// A later build may add to the number.
	number, _, _ := strings.Cut(string(en.Value), " ")
	failures, err := strconv.Atoi(number)
	if !ok || err != nil || failures < 0 {
		return
	}
	is.mu.Lock()
	is.stored[content] = failures
	is.mu.Unlock()
	is.exclude(quarantiner.Exclusion{Content: content, Failures: failures})
}

func (is *Isolator) remove(content fingerprinter.Content) {
	is.mu.Lock()
	_, known := is.stored[content]
	delete(is.stored, content)
	is.mu.Unlock()
	if known {
		is.quarantine.Lift(content)
		is.logLifted(content, "its key is gone from the store")
	}
}

func (is *Isolator) contentOf(key string) (fingerprinter.Content, bool) {
	name, ok := strings.CutPrefix(key, is.prefix)
	content, err := strconv.ParseUint(name, 16, 64)
	return fingerprinter.Content(content), ok && err == nil && is.store != nil
}
