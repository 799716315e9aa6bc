package messenger

import "github.com/vmihailenco/msgpack/v5"

// HeadOnly is the Part of a RevisionFetch that requests the head alone.
const HeadOnly = -1

// RevisionFetch asks a peer for the head and one part of the configuration
// revision in force there.
type RevisionFetch struct {
	// AtLeast is the lowest acceptable revision number.
	AtLeast int64
	// Part is the index of the part, or HeadOnly.
	Part int
}

// Kind implements Message.
func (*RevisionFetch) Kind() Kind { return KindRevisionFetch }

// Encode implements Message.
func (rf *RevisionFetch) Encode(en *msgpack.Encoder) error { return EncodeAll(en, rf.AtLeast, rf.Part) }

// Decode implements Message.
func (rf *RevisionFetch) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &rf.AtLeast, &rf.Part)
}

// RevisionFetched answers a RevisionFetch.
type RevisionFetched struct {
	// Head is the encoded head of the revision, or empty if the peer has no
	// such revision.
	Head []byte
	// Part is the content of the requested part.
	Part []byte
}

// Kind implements Message.
func (*RevisionFetched) Kind() Kind { return KindRevisionFetched }

// Encode implements Message.
func (rf *RevisionFetched) Encode(en *msgpack.Encoder) error { return EncodeAll(en, rf.Head, rf.Part) }

// Decode implements Message.
func (rf *RevisionFetched) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &rf.Head, &rf.Part)
}
