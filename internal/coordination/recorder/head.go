package recorder

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// segment describes a sealed segment: an immutable value that holds entries.
type segment struct {
	// number grows with each segment of the shard.
	number int64
	// name is the last part of the store key.
	name string
	// bytes is the length of the value.
	bytes int64
	// latest is the latest time of its keys, in milliseconds since the Unix epoch.
	latest int64
}

// head is the value of a shard that changes by compare-and-swap.
type head struct {
	// batchID is a random id of the batch that wrote the head.
	batchID string
	// epoch grows each time a node loads the shard.
	epoch int64
	// owner is the id of the node that wrote the head.
	owner string
	// watermark is the latest key time of the dropped segments, in milliseconds
	// since the Unix epoch. A key with a time up to it may have been recorded, so
	// it is refused.
	watermark int64
	// number is the number of the open segment.
	number int64
	// segments are the sealed segments, the oldest first.
	segments []segment
	// open holds the encoded entries of the open segment.
	open []byte
}

func (hd *head) encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	en.UseCompactInts(true)
	if err := messenger.EncodeAll(en, hd.batchID, hd.epoch, hd.owner, hd.watermark, hd.number); err != nil {
		return nil, errors.Wrap(err, "encode record head")
	}
	encodeSegment := func(en *msgpack.Encoder, sg segment) error {
		return messenger.EncodeAll(en, sg.number, sg.name, sg.bytes, sg.latest)
	}
	if err := messenger.EncodeList(en, hd.segments, encodeSegment); err != nil {
		return nil, errors.Wrap(err, "encode record head")
	}
	if err := en.EncodeBytes(hd.open); err != nil {
		return nil, errors.Wrap(err, "encode record head")
	}
	return buf.Bytes(), nil
}

func decodeHead(value []byte) (*head, error) {
	hd := &head{}
	de := msgpack.NewDecoder(bytes.NewReader(value))
	if err := messenger.DecodeAll(de, &hd.batchID, &hd.epoch, &hd.owner, &hd.watermark, &hd.number); err != nil {
		return nil, errors.Wrapf(errCorrupt, "head: %v", err)
	}
	decodeSegment := func(de *msgpack.Decoder) (segment, error) {
		var sg segment
		err := messenger.DecodeAll(de, &sg.number, &sg.name, &sg.bytes, &sg.latest)
		return sg, err
	}
	var err error
	if hd.segments, err = messenger.DecodeList(de, decodeSegment); err != nil {
		return nil, errors.Wrapf(errCorrupt, "segments: %v", err)
	}
	if err := messenger.DecodeAll(de, &hd.open); err != nil {
		return nil, errors.Wrapf(errCorrupt, "open segment: %v", err)
	}
	return hd, nil
}

// batchIDOf returns the batch id at the start of an encoded head, or "" if
// there is none.
func batchIDOf(value []byte) string {
	batch, err := msgpack.NewDecoder(bytes.NewReader(value)).DecodeString()
	if err != nil {
		return ""
	}
	return batch
}
