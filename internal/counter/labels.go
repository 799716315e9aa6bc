package counter

import "sync"

// otherLabel stands for all names beyond the bound of Labels.
const otherLabel = "other"

// Labels bounds the names that are parts of counters' names: the first ones keep their
// names, and the rest share one. It is safe for concurrent use.
type Labels struct {
	limit int

	mu    sync.RWMutex
	known map[string]bool
}

// NewLabels returns labels for at most limit names.
func NewLabels(limit int) *Labels { return &Labels{limit: limit, known: map[string]bool{}} }

// Label returns the name, or "other" if the bound was reached before it was first used.
func (lb *Labels) Label(name string) string {
	lb.mu.RLock()
	known, full := lb.known[name], len(lb.known) >= lb.limit
	lb.mu.RUnlock()
	if known {
		return name
	}
	if full {
		return otherLabel
	}
	lb.mu.Lock()
	defer lb.mu.Unlock()
	if !lb.known[name] && len(lb.known) >= lb.limit {
		return otherLabel
	}
	lb.known[name] = true
	return name
}
