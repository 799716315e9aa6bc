package messenger

import "github.com/vmihailenco/msgpack/v5"

// HeadOnly is the Part of a Fetch that requests the head without a part.
const HeadOnly = -1

// Fetch asks a peer for the head and one part of the revision in force there.
type Fetch struct {
	// AtLeast is the lowest acceptable revision number.
	AtLeast int64
	// Part is the index of the part, or HeadOnly.
	Part int
}

// Kind implements Message.
func (*Fetch) Kind() Kind { return KindFetch }

// Encode implements Message.
func (ft *Fetch) Encode(en *msgpack.Encoder) error { return EncodeAll(en, ft.AtLeast, ft.Part) }

// Decode implements Message.
func (ft *Fetch) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &ft.AtLeast, &ft.Part) }

// Fetched answers a Fetch.
type Fetched struct {
	// Head is the encoded head of the revision, or empty if the peer has no
	// such revision.
	Head []byte
	// Part is the content of the requested part.
	Part []byte
}

// Kind implements Message.
func (*Fetched) Kind() Kind { return KindFetched }

// Encode implements Message.
func (ft *Fetched) Encode(en *msgpack.Encoder) error { return EncodeAll(en, ft.Head, ft.Part) }

// Decode implements Message.
func (ft *Fetched) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &ft.Head, &ft.Part) }
