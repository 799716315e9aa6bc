package recorder

import (
	"bytes"
	"slices"

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
	// lost is sent, without an answer that tells whether it was run.
	lost
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
	// abandonedBy holds the attempts that vouched for never sending, the newest
	// last: a Begin of theirs that is still under way must not be granted.
	abandonedBy []string
}

// maxAbandoned bounds the attempts that an entry remembers. The calls of one
// attempt end within seconds; a client that waits as told starts fewer
// attempts meanwhile.
const maxAbandoned = 8

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

// gaveUp reports whether the attempt vouched for never sending.
func (et *entry) gaveUp(attempt string) bool { return slices.Contains(et.abandonedBy, attempt) }

// remembersAbandoned reports whether the key may be granted again, so that its
// abandoned attempts matter.
func (et *entry) remembersAbandoned() bool { return et.state == started || et.state == abandoned }

// after returns the entry with the abandoned attempts of an earlier entry of
// the key, and its own if it is one.
func (et *entry) after(earlier *entry) *entry {
	if earlier != nil {
		et.abandonedBy = earlier.abandonedBy
	}
	if et.state == abandoned {
		return et.without(et.attempt)
	}
	return et
}

// without returns a copy that remembers one more abandoned attempt.
func (et *entry) without(attempt string) *entry {
	cp := *et
	if !et.gaveUp(attempt) {
		all := append(slices.Clone(et.abandonedBy), attempt)
		cp.abandonedBy = all[max(0, len(all)-maxAbandoned):]
	}
	return &cp
}

func (et *entry) append(buf []byte) ([]byte, error) {
	wr := bytes.NewBuffer(buf)
	en := msgpack.NewEncoder(wr)
	en.UseCompactInts(true)
	rs := et.result
	err := messenger.EncodeAll(en, et.id[:], et.time, et.request[:], et.executor, et.attempt, uint8(et.state))
	switch {
	case err != nil:
	case et.state == finished:
		err = messenger.EncodeAll(en, rs.Status, rs.ContentType, rs.Body)
	case et.remembersAbandoned():
		err = messenger.EncodeList(en, et.abandonedBy, (*msgpack.Encoder).EncodeString)
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
	if len(id) != hashBytes || len(request) != hashBytes || et.state < started || et.state > lost {
		return nil, errors.Wrap(errCorrupt, "entry")
	}
	et.id, et.request = hash(id), hash(request)
	switch {
	case et.remembersAbandoned():
		return et, decodeAttempts(de, et)
	case et.state != finished:
		return et, nil
	}
	rs := &et.result
	if err := messenger.DecodeAll(de, &rs.Status, &rs.ContentType, &rs.Body); err != nil {
		return nil, errors.Wrapf(errCorrupt, "result: %v", err)
	}
	return et, nil
}

func decodeAttempts(de *msgpack.Decoder, et *entry) error {
	count, err := de.DecodeArrayLen()
	if err != nil || count < 0 || count > maxAbandoned {
		return errors.Wrapf(errCorrupt, "%d abandoned attempts: %v", count, err)
	}
	for range count {
		attempt, err := de.DecodeString()
		if err != nil {
			return errors.Wrapf(errCorrupt, "abandoned attempt: %v", err)
		}
		et.abandonedBy = append(et.abandonedBy, attempt)
	}
	return nil
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
