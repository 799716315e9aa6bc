package router

// maxCommonPrefixes is the number of prefixes whose use is counted.
const maxCommonPrefixes = 4096

// CommonPrefixes counts how often prefixes occur in prompts. A prefix that many
// prompts share is assumed to be cached on every server of the model, including
// servers to which only other nodes sent it.
type CommonPrefixes struct {
	counts *lru[uint64, int]
}

// NewCommonPrefixes returns counts without prompts.
func NewCommonPrefixes() *CommonPrefixes {
	return &CommonPrefixes{counts: newLRU[uint64, int](maxCommonPrefixes)}
}

// Record counts the prefixes of one prompt.
func (cp *CommonPrefixes) Record(prefixes []uint64) {
	for _, hash := range prefixes {
		count, _ := cp.counts.get(hash)
		cp.counts.put(hash, count+1)
	}
}

// Held returns the number of leading prefixes that occurred in more prompts
// than there are servers, so that each server probably has them cached.
func (cp *CommonPrefixes) Held(prefixes []uint64, servers int) int {
	for ix := len(prefixes) - 1; ix >= 0; ix-- {
		if count, _ := cp.counts.get(prefixes[ix]); count > servers {
			return ix + 1
		}
	}
	return 0
}
