package messenger

import "github.com/vmihailenco/msgpack/v5"

// Presence describes a node, as stated by the node itself.
type Presence struct {
	// ID is the node's id.
	ID string
	// Zone is the node's availability zone.
	Zone string
	// Region is the node's region.
	Region string
	// PeerAddress is the address for calls of peers.
	PeerAddress string
	// CallerAddress is the address for requests of callers.
	CallerAddress string
	// Leaving says that the node is draining and accepts no new callers.
	Leaving bool
	// Revision is the configuration revision in force at the node.
	Revision int64
	// Started is when the process started, in Unix milliseconds; 0 if unknown. Messages do
	// not carry it, registrations do.
	Started int64
}

func (pr *Presence) encode(en *msgpack.Encoder) error {
	return EncodeAll(en, pr.ID, pr.Zone, pr.Region, pr.PeerAddress, pr.CallerAddress, pr.Leaving, pr.Revision)
}

func (pr *Presence) decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &pr.ID, &pr.Zone, &pr.Region, &pr.PeerAddress, &pr.CallerAddress, &pr.Leaving, &pr.Revision)
}

// MemberUpdate is the state of a member as one node sees it.
type MemberUpdate struct {
	Presence
	// Incarnation orders the updates of one member; only the member itself
	// raises it.
	Incarnation uint64
	// State is the numeric value of a prober.State.
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

// GossipEntry is a versioned key and value that gossip carries to all nodes.
type GossipEntry struct {
	// Key names the entry.
	Key string
	// Epoch is the origin's epoch; the highest wins.
	Epoch int64
	// Seq orders the versions within an epoch.
	Seq int64
	// Payload is the value.
	Payload []byte
}

func encodeEntry(en *msgpack.Encoder, ge GossipEntry) error {
	return EncodeAll(en, ge.Key, ge.Epoch, ge.Seq, ge.Payload)
}

func decodeEntry(de *msgpack.Decoder) (GossipEntry, error) {
	var ge GossipEntry
	return ge, DecodeAll(de, &ge.Key, &ge.Epoch, &ge.Seq, &ge.Payload)
}

// PeerUpdate holds the states of members and the gossip entries that one node
// sends another.
type PeerUpdate struct {
	// Updates are states of members.
	Updates []MemberUpdate
	// Entries are gossip entries.
	Entries []GossipEntry
}

func (pu *PeerUpdate) encode(en *msgpack.Encoder) error {
	if err := EncodeList(en, pu.Updates, encodeUpdate); err != nil {
		return err
	}
	return EncodeList(en, pu.Entries, encodeEntry)
}

func (pu *PeerUpdate) decode(de *msgpack.Decoder) (err error) {
	if pu.Updates, err = DecodeList(de, decodeUpdate); err != nil {
		return err
	}
	pu.Entries, err = DecodeList(de, decodeEntry)
	return err
}

// Gossip is the sender's own state together with a peer update.
type Gossip struct {
	// Sender is the state of the node that sends the message.
	Sender MemberUpdate
	PeerUpdate
}

func (gs *Gossip) encode(en *msgpack.Encoder) error {
	if err := encodeUpdate(en, gs.Sender); err != nil {
		return err
	}
	return gs.PeerUpdate.encode(en)
}

func (gs *Gossip) decode(de *msgpack.Decoder) (err error) {
	if gs.Sender, err = decodeUpdate(de); err != nil {
		return err
	}
	return gs.PeerUpdate.decode(de)
}

// Ping checks whether a peer is alive.
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

// Relay asks a peer to ping a third node. The peer answers with that node's
// Pong, or rejects the call if that node did not answer.
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

// Sync asks a peer for the members and entries that differ from the sender's.
type Sync struct {
	// Digest holds one checksum for each bucket of keys.
	Digest []uint32
	// Limit is the maximum number of items in the answer.
	Limit int
}

// Kind implements Message.
func (*Sync) Kind() Kind { return KindSync }

// Encode implements Message.
func (sy *Sync) Encode(en *msgpack.Encoder) error { return EncodeAll(en, sy.Digest, sy.Limit) }

// Decode implements Message.
func (sy *Sync) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &sy.Digest, &sy.Limit) }

// Synced answers a Sync with the contents of the buckets that differ.
type Synced struct{ PeerUpdate }

// Kind implements Message.
func (*Synced) Kind() Kind { return KindSynced }

// Encode implements Message.
func (sy *Synced) Encode(en *msgpack.Encoder) error { return sy.encode(en) }

// Decode implements Message.
func (sy *Synced) Decode(de *msgpack.Decoder) error { return sy.decode(de) }
