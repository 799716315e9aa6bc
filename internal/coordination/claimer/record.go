package claimer

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// record is the value of a resource's key in the store. It is written only by
// compare-and-swap, and its epoch never decreases.
type record struct {
	// epoch is the fencing number of the holder.
	epoch int64
	// holder is the ID of the node that holds the resource.
	holder string
	// released is set if the holder has released the resource.
	released bool
	// batch is a random ID of each write, by which a node recognises its own
	// write after a lost answer.
	batch string
	// payload is data that the holder stores with the claim.
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

// sameHolder reports whether two records say that the same node holds the
// resource under the same epoch.
func (rc *record) sameHolder(other *record) bool {
	return rc.epoch == other.epoch && rc.holder == other.holder && !rc.released
}

// hasBatch returns a function that reports whether an encoded record has the
// batch.
func hasBatch(batch string) func([]byte) bool {
	return func(value []byte) bool {
		rc, err := decodeRecord(value)
		return err == nil && rc.batch == batch
	}
}
