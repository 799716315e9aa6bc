package messenger

import "github.com/vmihailenco/msgpack/v5"

// Presence is what a node says of itself.
type Presence struct {
	// ID is the node's id.
	ID string
	// Zone is the node's availability zone.
	Zone string
	// Region is the node's region.
	Region string
	// PeerAddress is where peers call the node.
	PeerAddress string
	// CallerAddress is where callers reach the node.
	CallerAddress string
	// Leaving says that the node takes no new callers.
	Leaving bool
	// Revision is the configuration revision in force at the node.
	Revision int64
}

func (pr *Presence) encode(en *msgpack.Encoder) error {
	return EncodeAll(en, pr.ID, pr.Zone, pr.Region, pr.PeerAddress, pr.CallerAddress, pr.Leaving, pr.Revision)
}

func (pr *Presence) decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &pr.ID, &pr.Zone, &pr.Region, &pr.PeerAddress, &pr.CallerAddress, &pr.Leaving, &pr.Revision)
}

// Ping asks a peer for a sign of life.
type Ping struct{ Presence }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Encode implements Message.
func (pg *Ping) Encode(en *msgpack.Encoder) error { return pg.encode(en) }

// Decode implements Message.
func (pg *Ping) Decode(de *msgpack.Decoder) error { return pg.decode(de) }

// Pong answers a Ping.
type Pong struct{ Presence }

// Kind implements Message.
func (*Pong) Kind() Kind { return KindPong }

// Encode implements Message.
func (pg *Pong) Encode(en *msgpack.Encoder) error { return pg.encode(en) }

// Decode implements Message.
func (pg *Pong) Decode(de *msgpack.Decoder) error { return pg.decode(de) }
