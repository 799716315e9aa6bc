// Package prefixer hashes the leading blocks of prompts, so that nodes and
// engines identify a prompt prefix by the same hash.
//
// # Usage
//
//	prompt := prefixer.Prompt(body.Prompt, body.Messages)
//	hashes := prefixer.Prefixes(prompt)
package prefixer

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a hashed prompt block in bytes.
	BlockBytes = 256
	// MaxBlocks is the maximum number of hashes of one prompt.
	MaxBlocks = 64
)

// Message is one chat message of a completions request.
type Message struct {
	// Role is the role of the message's author.
	Role string
	// Content is the content as JSON, either a string or a list of parts.
	Content json.RawMessage
}

// Prompt returns the text of a request's prompt: the prompt field, if any,
// followed by the role and the content of each chat message.
func Prompt(prompt json.RawMessage, messages []Message) string {
	whole := text(prompt)
	for _, ms := range messages {
		whole += ms.Role + "\n" + text(ms.Content) + "\n"
	}
	return whole
}

// text returns the value of a JSON string, or any other JSON unchanged.
func text(raw json.RawMessage) string {
	var tx string
	if json.Unmarshal(raw, &tx) == nil {
		return tx
	}
	return string(raw)
}

// Prefixes returns the hashes of a prompt's prefixes, shortest first. Each hash
// covers the previous hash and one more block. Prefixes ignores an incomplete
// last block and all blocks after MaxBlocks.
func Prefixes(prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, count)
	var block [8 + BlockBytes]byte
	last := uint64(0)
	for ix := range count {
		binary.LittleEndian.PutUint64(block[:8], last)
		copy(block[8:], prompt[ix*BlockBytes:(ix+1)*BlockBytes])
		last = xxhash.Sum64(block[:])
		hashes = append(hashes, last)
	}
	return hashes
}
