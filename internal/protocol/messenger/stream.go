package messenger

import "github.com/vmihailenco/msgpack/v5"

// BegunStreams are streams that began at one version of the software of a pool.
type BegunStreams struct {
	// Pool is the pool's name.
	Pool string
	// Software is the version, or empty if it turned out to be uncertain.
	Software string
	// IDs are the hashes of the requests that brought the first events.
	IDs []uint64
}

// StreamsBegun tells a node where streams began, so that it can answer a
// StreamQuery when the node that served them is lost. Its answer is a StreamsNoted.
type StreamsBegun struct{ Groups []BegunStreams }

// Kind implements Message.
func (*StreamsBegun) Kind() Kind { return KindStreamsBegun }

// Encode implements Message.
func (sb *StreamsBegun) Encode(en *msgpack.Encoder) error {
	return EncodeList(en, sb.Groups, func(en *msgpack.Encoder, bs BegunStreams) error {
		if err := EncodeAll(en, bs.Pool, bs.Software); err != nil {
			return err
		}
		return EncodeList(en, bs.IDs, func(en *msgpack.Encoder, id uint64) error { return EncodeAll(en, id) })
	})
}

// Decode implements Message.
func (sb *StreamsBegun) Decode(de *msgpack.Decoder) (err error) {
	sb.Groups, err = DecodeList(de, func(de *msgpack.Decoder) (BegunStreams, error) {
		var bs BegunStreams
		if err := DecodeAll(de, &bs.Pool, &bs.Software); err != nil {
			return bs, err
		}
		var err error
		bs.IDs, err = DecodeList(de, func(de *msgpack.Decoder) (id uint64, err error) { return id, DecodeAll(de, &id) })
		return bs, err
	})
	return err
}

// StreamsNoted answers a StreamsBegun.
type StreamsNoted struct{}

// Kind implements Message.
func (*StreamsNoted) Kind() Kind { return KindStreamsNoted }

// Encode implements Message.
func (*StreamsNoted) Encode(*msgpack.Encoder) error { return nil }

// Decode implements Message.
func (*StreamsNoted) Decode(*msgpack.Decoder) error { return nil }

// PoolSoftware is a version of the software of a pool.
type PoolSoftware struct{ Pool, Software string }

// StreamQuery asks a node at which version of the software a stream began. Its answer
// is a StreamOrigin.
type StreamQuery struct {
	// ID is the hash of the request that brought the first event.
	ID uint64
	// Sole are the versions that the asking node takes for the only ones of the pools
	// that may have served the stream.
	Sole []PoolSoftware
	// Route is the host of the route on which the stream is taken up, followed by its
	// prefix.
	Route string
}

// Kind implements Message.
func (*StreamQuery) Kind() Kind { return KindStreamQuery }

// Encode implements Message.
func (sq *StreamQuery) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, sq.ID); err != nil {
		return err
	}
	if err := EncodeList(en, sq.Sole, func(en *msgpack.Encoder, ps PoolSoftware) error { return EncodeAll(en, ps.Pool, ps.Software) }); err != nil {
		return err
	}
	return EncodeAll(en, sq.Route)
}

// Decode implements Message.
func (sq *StreamQuery) Decode(de *msgpack.Decoder) (err error) {
	if err = DecodeAll(de, &sq.ID); err != nil {
		return err
	}
	sq.Sole, err = DecodeList(de, func(de *msgpack.Decoder) (PoolSoftware, error) {
		var ps PoolSoftware
		err := DecodeAll(de, &ps.Pool, &ps.Software)
		return ps, err
	})
	if err != nil {
		return err
	}
	return decodeTrailing(de, &sq.Route)
}

// StreamOrigin answers a StreamQuery.
type StreamOrigin struct {
	// Known says that the node has a record of the stream.
	Known bool
	// Pool and Software are those in the record.
	Pool, Software string
	// Contradicts says that the node has lately seen another version in one of the
	// pools.
	Contradicts bool
	// Covers says that the node has followed the servers for as long as callers take
	// up streams, so that it would have seen another version.
	Covers bool
}

// Kind implements Message.
func (*StreamOrigin) Kind() Kind { return KindStreamOrigin }

// Encode implements Message.
func (so *StreamOrigin) Encode(en *msgpack.Encoder) error {
	return EncodeAll(en, so.Known, so.Pool, so.Software, so.Contradicts, so.Covers)
}

// Decode implements Message.
func (so *StreamOrigin) Decode(de *msgpack.Decoder) error {
	if err := DecodeAll(de, &so.Known, &so.Pool, &so.Software, &so.Contradicts); err != nil {
		return err
	}
	return decodeTrailing(de, &so.Covers)
}
