package accountant

import (
	"bytes"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// recordVersion is the format version, the first value of every record.
const recordVersion = 1

// maxElements bounds each list of a record.
const maxElements = 1 << 14

// ErrCorrupt means that a stored record cannot be decoded.
var ErrCorrupt = errors.New("stored record is corrupt")

// Encode returns the ledger in its stored form.
func (lg *Ledger) Encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	err := en.EncodeMulti(recordVersion, lg.batch, lg.owner, lg.fence, lg.boot, lg.role, lg.roleBytes, len(lg.entries), len(lg.attempts))
	if err != nil {
		return nil, errors.Wrap(err, "encode ledger")
	}
	for _, et := range lg.entries {
		if err := en.EncodeMulti(et.model, et.version, et.bytes, uint8(et.state)); err != nil {
			return nil, errors.Wrap(err, "encode ledger entry")
		}
	}
	for _, at := range lg.attempts {
		if err := en.EncodeMulti(at.fence, string(at.action), at.model, at.version, at.bytes, at.boot); err != nil {
			return nil, errors.Wrap(err, "encode attempt")
		}
	}
	return buf.Bytes(), nil
}

// Decode returns the ledger stored in value, or an empty one if value is empty.
// It sets now as the time at which the owner first saw the attempts. Errors
// wrap ErrCorrupt.
func Decode(value []byte, now time.Time) (*Ledger, error) {
	lg := &Ledger{}
	if len(value) == 0 {
		return lg, nil
	}
	de := msgpack.NewDecoder(bytes.NewReader(value))
	var version, entries, attempts int
	err := de.DecodeMulti(&version, &lg.batch, &lg.owner, &lg.fence, &lg.boot, &lg.role, &lg.roleBytes, &entries, &attempts)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "ledger: %v", err)
	}
	if !validHeader(version, entries, attempts) || lg.fence < 0 || lg.roleBytes < 0 {
		return nil, errors.Wrap(ErrCorrupt, "ledger: invalid header")
	}
	for range entries {
		if err := lg.decodeEntry(de); err != nil {
			return nil, err
		}
	}
	for range attempts {
		if err := lg.decodeAttempt(de, now); err != nil {
			return nil, err
		}
	}
	return lg, nil
}

// validHeader reports whether the version is known and the counts are in range.
func validHeader(version int, counts ...int) bool {
	for _, count := range counts {
		if count < 0 || count > maxElements {
			return false
		}
	}
	return version == recordVersion
}

func (lg *Ledger) decodeEntry(de *msgpack.Decoder) error {
	var et Entry
	var state uint8
	if err := de.DecodeMulti(&et.model, &et.version, &et.bytes, &state); err != nil {
		return errors.Wrapf(ErrCorrupt, "ledger entry: %v", err)
	}
	et.state = State(state)
	if et.state < IntendedLoad || et.state > IntendedUnload || et.bytes < 0 || lg.indexOf(et.Copy) >= 0 {
		return errors.Wrap(ErrCorrupt, "ledger entry: invalid state, size or duplicate copy")
	}
	lg.entries = append(lg.entries, et)
	return nil
}

func (lg *Ledger) decodeAttempt(de *msgpack.Decoder, now time.Time) error {
	at := Attempt{firstSeen: now}
	var action string
	if err := de.DecodeMulti(&at.fence, &action, &at.model, &at.version, &at.bytes, &at.boot); err != nil {
		return errors.Wrapf(ErrCorrupt, "attempt: %v", err)
	}
	at.action = Action(action)
	known := at.action == Load || at.action == Unload || at.action == SetRole
	if !known || at.bytes < 0 || at.fence <= 0 || at.fence > lg.fence {
		return errors.Wrap(ErrCorrupt, "attempt: invalid action, size or fencing number")
	}
	lg.attempts = append(lg.attempts, at)
	return nil
}
