package router

// maxCommon bounds the prefixes whose use is counted.
const maxCommon = 4096

// CommonPrefixes counts how often prompts begin alike. Prompts that share their
// first parts with many others find these kept on every server of their model,
// also on those to which other nodes sent them.
type CommonPrefixes struct {
	seen *lru[uint64, int]
}

// NewCommonPrefixes returns a memory without prompts.
func NewCommonPrefixes() *CommonPrefixes {
	return &CommonPrefixes{seen: newLRU[uint64, int](maxCommon)}
}

// Saw counts a prompt.
func (cp *CommonPrefixes) Saw(prefixes []uint64) {
	for _, hash := range prefixes {
		count, _ := cp.seen.get(hash)
		cp.seen.put(hash, count+1)
	}
}

// Held returns how many leading parts so many prompts had that each of a number
// of servers got one.
func (cp *CommonPrefixes) Held(prefixes []uint64, servers int) int {
	for ix := len(prefixes) - 1; ix >= 0; ix-- {
		if count, _ := cp.seen.get(prefixes[ix]); count > servers {
			return ix + 1
		}
	}
	return 0
}
