package recorder

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// state is how far a key has come.
type state uint8

const (
	started state = iota + 1
	finished
	// resultGone is finished with a result that was too large to keep.
	resultGone
	abandoned
)

// entry is what the record holds of one key. It is never changed; a later
// entry of the same key replaces it.
type entry struct {
	id       hash
	time     int64
	request  hash
	executor string
	attempt  string
	state    state
	result   messenger.RecordResult
	segment  int64
}

// errCorrupt means that a value is not one of this package's.
var errCorrupt = errors.New("value of the record is corrupt")

func entryOf(bg *messenger.Begin, st state) *entry {
	return &entry{
		id:       hash(bg.Key),
		time:     bg.Time,
		request:  hash(bg.Request),
		executor: bg.Executor,
		attempt:  bg.Attempt,
		state:    st,
	}
}

func (et *entry) append(buf []byte) ([]byte, error) {
	wr := bytes.NewBuffer(buf)
	en := msgpack.NewEncoder(wr)
	en.UseCompactInts(true)
	rs := et.result
	err := messenger.EncodeAll(en, et.id[:], et.time, et.request[:], et.executor, et.attempt, uint8(et.state))
	if err == nil && et.state == finished {
		err = messenger.EncodeAll(en, rs.Status, rs.ContentType, rs.Body)
	}
	if err != nil {
		return nil, errors.Wrap(err, "encode record entry")
	}
	return wr.Bytes(), nil
}

func decodeEntry(de *msgpack.Decoder) (*entry, error) {
	et := &entry{}
	var id, request []byte
	var st uint8
	if err := messenger.DecodeAll(de, &id, &et.time, &request, &et.executor, &et.attempt, &st); err != nil {
		return nil, errors.Wrapf(errCorrupt, "entry: %v", err)
	}
	et.state = state(st)
	if len(id) != hashBytes || len(request) != hashBytes || et.state < started || et.state > abandoned {
		return nil, errors.Wrap(errCorrupt, "entry")
	}
	et.id, et.request = hash(id), hash(request)
	if et.state != finished {
		return et, nil
	}
	rs := &et.result
	if err := messenger.DecodeAll(de, &rs.Status, &rs.ContentType, &rs.Body); err != nil {
		return nil, errors.Wrapf(errCorrupt, "result: %v", err)
	}
	return et, nil
}

// decodeEntries reads a segment: entries one after the other.
func decodeEntries(value []byte) ([]*entry, error) {
	rd := bytes.NewReader(value)
	de := msgpack.NewDecoder(rd)
	var all []*entry
	for rd.Len() > 0 {
		et, err := decodeEntry(de)
		if err != nil {
			return nil, err
		}
		all = append(all, et)
	}
	return all, nil
}
