package claimer

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// record is the value of a resource's key. It is only ever written by
// compare-and-swap, and its epoch only ever grows.
type record struct {
	// epoch is the fencing number of the holder.
	epoch int64
	// holder is the id of the node that holds the resource.
	holder string
	// released says that the holder gave the resource up.
	released bool
	// batch is drawn for each write, to recognise a write whose answer was
	// lost.
	batch string
	// payload is what the holder keeps with the claim.
	payload []byte
}

func (rc *record) encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	if err := messenger.EncodeAll(en, rc.epoch, rc.holder, rc.released, rc.batch, rc.payload); err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	return buf.Bytes(), nil
}

func decodeRecord(value []byte) (*record, error) {
	rc := &record{}
	de := msgpack.NewDecoder(bytes.NewReader(value))
	if err := messenger.DecodeAll(de, &rc.epoch, &rc.holder, &rc.released, &rc.batch, &rc.payload); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "%v", err)
	}
	return rc, nil
}

// same reports whether two records say that the same node holds the resource
// under the same epoch.
func (rc *record) same(other *record) bool {
	return rc.epoch == other.epoch && rc.holder == other.holder && !rc.released
}

// isBatch returns a test for a value that carries the batch.
func isBatch(batch string) func([]byte) bool {
	return func(value []byte) bool {
		rc, err := decodeRecord(value)
		return err == nil && rc.batch == batch
	}
}
