package dispatcher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
)

const (
	// prefixBlockBytes is the length of a prompt block that is hashed.
	prefixBlockBytes = 256
	// maxPrefixBlocks bounds the hashes of one prompt.
	maxPrefixBlocks = 64
	// bytesPerToken is the assumed length of a token.
	bytesPerToken = 4
)

// Prefixes returns the hashes of a prompt's leading blocks, the shortest
// prefix first. Each hash covers the one before it and one more block.
func Prefixes(prompt string) []uint64 {
	count := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, count)
	var block [8 + prefixBlockBytes]byte
	last := uint64(0)
	for ix := range count {
		binary.LittleEndian.PutUint64(block[:8], last)
		copy(block[8:], prompt[ix*prefixBlockBytes:(ix+1)*prefixBlockBytes])
		last = xxhash.Sum64(block[:])
		hashes = append(hashes, last)
	}
	return hashes
}

func (ex *execution) ticket() *admitter.Ticket {
	rq := ex.request
	return &admitter.Ticket{
		ID:           rq.ID,
		Caller:       rq.Caller,
		Class:        rq.Class,
		Model:        rq.Model,
		Adapter:      rq.Adapter,
		Bytes:        len(rq.Body),
		PromptTokens: len(rq.Prompt)/bytesPerToken + 1,
		MaxTokens:    max(rq.MaxTokens-ex.progress.next, 1),
		Prefixes:     Prefixes(rq.Prompt),
		Deadline:     rq.Deadline,
		Avoid:        ex.avoid,
		Resumed:      ex.progress.next > 0,
	}
}
