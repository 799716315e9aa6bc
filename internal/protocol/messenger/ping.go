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

// MemberUpdate is what one node says of another.
type MemberUpdate struct {
	Presence
	// Incarnation orders the updates of one member; only the member raises it.
	Incarnation uint64
	// State is the number of a prober.State.
	State uint8
}

func encodeUpdate(en *msgpack.Encoder, mu MemberUpdate) error {
	if err := mu.encode(en); err != nil {
		return err
	}
	return EncodeAll(en, mu.Incarnation, mu.State)
}

func decodeUpdate(de *msgpack.Decoder) (MemberUpdate, error) {
	var mu MemberUpdate
	if err := mu.decode(de); err != nil {
		return mu, err
	}
	return mu, DecodeAll(de, &mu.Incarnation, &mu.State)
}

// SpreadEntry is a versioned key and value that is spread to all nodes.
type SpreadEntry struct {
	// Key names the entry.
	Key string
	// Epoch is the origin's epoch; a higher one wins.
	Epoch int64
	// Seq orders the versions of one epoch.
	Seq int64
	// Payload is the value.
	Payload []byte
}

func encodeEntry(en *msgpack.Encoder, se SpreadEntry) error {
	return EncodeAll(en, se.Key, se.Epoch, se.Seq, se.Payload)
}

func decodeEntry(de *msgpack.Decoder) (SpreadEntry, error) {
	var se SpreadEntry
	return se, DecodeAll(de, &se.Key, &se.Epoch, &se.Seq, &se.Payload)
}

// News is what nodes tell each other of members and entries.
type News struct {
	// Updates are states of members.
	Updates []MemberUpdate
	// Entries are spread entries.
	Entries []SpreadEntry
}

func (nw *News) encode(en *msgpack.Encoder) error {
	if err := EncodeList(en, nw.Updates, encodeUpdate); err != nil {
		return err
	}
	return EncodeList(en, nw.Entries, encodeEntry)
}

func (nw *News) decode(de *msgpack.Decoder) (err error) {
	if nw.Updates, err = DecodeList(de, decodeUpdate); err != nil {
		return err
	}
	nw.Entries, err = DecodeList(de, decodeEntry)
	return err
}

// Gossip is the sender's own update with news of others.
type Gossip struct {
	// Sender is the node that sends the message.
	Sender MemberUpdate
	News
}

func (gs *Gossip) encode(en *msgpack.Encoder) error {
	if err := encodeUpdate(en, gs.Sender); err != nil {
		return err
	}
	return gs.News.encode(en)
}

func (gs *Gossip) decode(de *msgpack.Decoder) (err error) {
	if gs.Sender, err = decodeUpdate(de); err != nil {
		return err
	}
	return gs.News.decode(de)
}

// Ping asks a peer for a sign of life.
type Ping struct{ Gossip }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Encode implements Message.
func (pg *Ping) Encode(en *msgpack.Encoder) error { return pg.encode(en) }

// Decode implements Message.
func (pg *Ping) Decode(de *msgpack.Decoder) error { return pg.decode(de) }

// Pong answers a Ping.
type Pong struct{ Gossip }

// Kind implements Message.
func (*Pong) Kind() Kind { return KindPong }

// Encode implements Message.
func (pg *Pong) Encode(en *msgpack.Encoder) error { return pg.encode(en) }

// Decode implements Message.
func (pg *Pong) Decode(de *msgpack.Decoder) error { return pg.decode(de) }

// Relay asks a peer to ping a third node. It is answered with that node's
// Pong, or rejected if the node did not answer.
type Relay struct {
	Gossip
	// Target is the peer address of the node to ping.
	Target string
}

// Kind implements Message.
func (*Relay) Kind() Kind { return KindRelay }

// Encode implements Message.
func (rl *Relay) Encode(en *msgpack.Encoder) error {
	if err := rl.encode(en); err != nil {
		return err
	}
	return EncodeAll(en, rl.Target)
}

// Decode implements Message.
func (rl *Relay) Decode(de *msgpack.Decoder) error {
	if err := rl.decode(de); err != nil {
		return err
	}
	return DecodeAll(de, &rl.Target)
}

// Sync compares what two nodes know of members and entries.
type Sync struct {
	// Digest holds one checksum for each bucket of keys.
	Digest []uint32
	// Limit is the greatest number of items wanted in the answer.
	Limit int
}

// Kind implements Message.
func (*Sync) Kind() Kind { return KindSync }

// Encode implements Message.
func (sy *Sync) Encode(en *msgpack.Encoder) error { return EncodeAll(en, sy.Digest, sy.Limit) }

// Decode implements Message.
func (sy *Sync) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &sy.Digest, &sy.Limit) }

// Synced answers a Sync with what stands in the buckets that differ.
type Synced struct{ News }

// Kind implements Message.
func (*Synced) Kind() Kind { return KindSynced }

// Encode implements Message.
func (sy *Synced) Encode(en *msgpack.Encoder) error { return sy.encode(en) }

// Decode implements Message.
func (sy *Synced) Decode(de *msgpack.Decoder) error { return sy.decode(de) }
