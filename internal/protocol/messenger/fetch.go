package messenger

import "github.com/vmihailenco/msgpack/v5"

// HeadOnly is the Part of a Fetch that requests the head without a part.
const HeadOnly = -1

// RevisionFetch asks a peer for the head and one part of the revision in force there.
type RevisionFetch struct {
	// AtLeast is the lowest acceptable revision number.
	AtLeast int64
	// Part is the index of the part, or HeadOnly.
	Part int
}

// Kind implements Message.
func (*RevisionFetch) Kind() Kind { return KindRevisionFetch }

// Encode implements Message.
func (ft *RevisionFetch) Encode(en *msgpack.Encoder) error { return EncodeAll(en, ft.AtLeast, ft.Part) }

// Decode implements Message.
func (ft *RevisionFetch) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &ft.AtLeast, &ft.Part)
}

// RevisionFetched answers a Fetch.
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
func (ft *RevisionFetched) Encode(en *msgpack.Encoder) error { return EncodeAll(en, ft.Head, ft.Part) }

// Decode implements Message.
func (ft *RevisionFetched) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &ft.Head, &ft.Part)
}
