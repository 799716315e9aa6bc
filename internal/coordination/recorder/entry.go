package recorder

import (
	"bytes"
	"slices"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// state is the state of a key in the record.
type state uint8

const (
	started state = iota + 1
	finished
	// resultGone means finished, with a result that was not kept.
	resultGone
	// abandoned means that the attempt never sent the request.
	abandoned
	// lost means that the request was sent and no answer showed whether it ran.
	lost
)

// entry is the record of one key. It is immutable; a later entry of the same
// key replaces it.
type entry struct {
	id hash
	// time is the time of the key in milliseconds since the Unix epoch.
	time    int64
	request hash
	// executor is the id of the node that runs the attempt.
	executor string
	// attempt is the id of the attempt that last began the key.
	attempt string
	state   state
	// result is set if the state is finished.
	result messenger.RecordResult
	// segment is the number of the segment that holds the entry.
	segment int64
	// abandonedBy holds the abandoned attempts, the newest last. A Begin of
	// theirs that is still in flight must not be granted.
	abandonedBy []string
}

// maxAbandoned bounds the abandoned attempts that an entry holds. The calls of
// one attempt end within seconds, and a client that waits as long as it is told
// starts fewer attempts in that time.
const maxAbandoned = 8

// errCorrupt means that a stored value can't be decoded.
var errCorrupt = errors.New("value of the record is corrupt")

// newEntry returns the entry of a key in the state st.
func newEntry(bg *messenger.Begin, st state) *entry {
	return &entry{
		id:       hash(bg.Key),
		time:     bg.Time,
		request:  hash(bg.Request),
		executor: bg.Executor,
		attempt:  bg.Attempt,
		state:    st,
	}
}

// hasAbandoned reports whether the attempt was abandoned.
func (et *entry) hasAbandoned(attempt string) bool { return slices.Contains(et.abandonedBy, attempt) }

// keepsAbandoned reports whether the entry holds abandoned attempts: only those
// of a key that may be granted again matter.
func (et *entry) keepsAbandoned() bool { return et.state == started || et.state == abandoned }

// withAbandonedOf returns the entry with the abandoned attempts of an earlier
// entry of the key, which may be nil, and with its own attempt if that was
// abandoned.
func (et *entry) withAbandonedOf(earlier *entry) *entry {
	if earlier != nil {
		et.abandonedBy = earlier.abandonedBy
	}
	if et.state == abandoned {
		return et.withAbandoned(et.attempt)
	}
	return et
}

// withAbandoned returns a copy with one more abandoned attempt.
func (et *entry) withAbandoned(attempt string) *entry {
	cp := *et
	if !et.hasAbandoned(attempt) {
		all := append(slices.Clone(et.abandonedBy), attempt)
		cp.abandonedBy = all[max(0, len(all)-maxAbandoned):]
	}
	return &cp
}

// append appends the encoded entry to buf.
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
	case et.keepsAbandoned():
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
	case et.keepsAbandoned():
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

// decodeEntries decodes a segment, which is a sequence of entries.
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
