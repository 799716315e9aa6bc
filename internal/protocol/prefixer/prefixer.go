// Package prefixer hashes the leading blocks of prompts, so that nodes and
// engines name the same prefix by the same number.
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
	// BlockBytes is the length of a prompt block that is hashed.
	BlockBytes = 256
	// MaxBlocks bounds the hashes of one prompt.
	MaxBlocks = 64
)

// Message is one message of a chat, as a completions request carries it.
type Message struct {
	// Role says who speaks.
	Role string
	// Content is the JSON of what is said.
	Content json.RawMessage
}

// Prompt returns the text that stands for the prompt of a request, be it a
// prompt or the messages of a chat.
func Prompt(prompt json.RawMessage, messages []Message) string {
	whole := text(prompt)
	for _, ms := range messages {
		whole += ms.Role + "\n" + text(ms.Content) + "\n"
	}
	return whole
}

// text returns the value of a JSON string, or other JSON as it is.
func text(raw json.RawMessage) string {
	var tx string
	if json.Unmarshal(raw, &tx) == nil {
		return tx
	}
	return string(raw)
}

// Prefixes returns the hashes of a prompt's leading blocks, the shortest
// prefix first. Each hash covers the one before it and one more block.
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
