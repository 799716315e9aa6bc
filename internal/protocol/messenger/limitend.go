package messenger

import "github.com/vmihailenco/msgpack/v5"

// LimitEnd tells a node that a backend server no longer names a limit. A node
// without a share of the limit sends the server nothing and would not hear it.
type LimitEnd struct {
	// Server is the backend server's name.
	Server string
}

// Kind implements Message.
func (*LimitEnd) Kind() Kind { return KindLimitEnd }

// Encode implements Message.
func (le *LimitEnd) Encode(en *msgpack.Encoder) error { return EncodeAll(en, le.Server) }

// Decode implements Message.
func (le *LimitEnd) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &le.Server) }

// LimitEnded answers a LimitEnd.
type LimitEnded struct{}

// Kind implements Message.
func (*LimitEnded) Kind() Kind { return KindLimitEnded }

// Encode implements Message.
func (*LimitEnded) Encode(*msgpack.Encoder) error { return nil }

// Decode implements Message.
func (*LimitEnded) Decode(*msgpack.Decoder) error { return nil }
