package recorder

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// segment names an immutable value of entries.
type segment struct {
	number int64
	name   string
	bytes  int64
	latest int64
}

// head is the value of a shard that compare-and-swap guards.
type head struct {
	batch     string
	epoch     int64
	owner     string
	watermark int64
	number    int64
	segments  []segment
	open      []byte
}

func (hd *head) encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	en.UseCompactInts(true)
	if err := messenger.EncodeAll(en, hd.batch, hd.epoch, hd.owner, hd.watermark, hd.number); err != nil {
		return nil, errors.Wrap(err, "encode record head")
	}
	one := func(en *msgpack.Encoder, sg segment) error {
		return messenger.EncodeAll(en, sg.number, sg.name, sg.bytes, sg.latest)
	}
	if err := messenger.EncodeList(en, hd.segments, one); err != nil {
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
	if err := messenger.DecodeAll(de, &hd.batch, &hd.epoch, &hd.owner, &hd.watermark, &hd.number); err != nil {
		return nil, errors.Wrapf(errCorrupt, "head: %v", err)
	}
	one := func(de *msgpack.Decoder) (segment, error) {
		var sg segment
		err := messenger.DecodeAll(de, &sg.number, &sg.name, &sg.bytes, &sg.latest)
		return sg, err
	}
	var err error
	if hd.segments, err = messenger.DecodeList(de, one); err != nil {
		return nil, errors.Wrapf(errCorrupt, "segments: %v", err)
	}
	if err := messenger.DecodeAll(de, &hd.open); err != nil {
		return nil, errors.Wrapf(errCorrupt, "open segment: %v", err)
	}
	return hd, nil
}

// batchOf returns the batch id that leads a head value.
func batchOf(value []byte) string {
	batch, err := msgpack.NewDecoder(bytes.NewReader(value)).DecodeString()
	if err != nil {
		return ""
	}
	return batch
}
