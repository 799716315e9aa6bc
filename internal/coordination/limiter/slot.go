package limiter

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// slotPrefix is where the records of slots stand in the platform's store.
const slotPrefix = "slot/"

// ErrNoSlot means that every slot belongs to a VM that is still listed.
var ErrNoSlot = errors.New("no slot is free")

// Holder is the record of who holds a slot.
type Holder struct {
	node  string
	batch string
}

// Node returns the id of the node that holds the slot.
func (hd Holder) Node() string { return hd.node }

// ClaimSlot makes the node self the holder of a slot, by compare-and-swap: one
// that it holds already, one that nobody holds, or one whose holder's VM the
// platform does not list any more. listed tells which VMs it lists.
func ClaimSlot(ctx context.Context, st storer.Store, self string, slots int, listed func(node string) bool) (int, error) {
	entries, err := st.List(ctx, slotPrefix)
	if err != nil {
		return NoSlot, errors.Wrap(err, "read slots")
	}
	byKey := map[string]storer.Entry{}
	for _, en := range entries {
		byKey[en.Key] = en
	}
	for slot := range slots {
		if hd, err := decodeHolder(byKey[slotKey(slot)].Value); err == nil && hd.node == self {
			return slot, nil
		}
	}
	for slot := range slots {
		en := byKey[slotKey(slot)]
		if len(en.Value) > 0 && held(en.Value, listed) {
			continue
		}
		taken, err := takeSlot(ctx, st, self, slot, en.Revision)
		if err != nil {
			return NoSlot, err
		}
		if taken {
			return slot, nil
		}
	}
	return NoSlot, ErrNoSlot
}

func slotKey(slot int) string { return fmt.Sprintf("%s%04d", slotPrefix, slot) }

// held reports whether a slot's record keeps it from being taken. A record that
// cannot be read does.
func held(value []byte, listed func(node string) bool) bool {
	hd, err := decodeHolder(value)
	return err != nil || listed(hd.node)
}

func takeSlot(ctx context.Context, st storer.Store, self string, slot int, revision int64) (bool, error) {
	hd := Holder{node: self, batch: rand.Text()}
	value, err := hd.encode()
	if err != nil {
		return false, err
	}
	mine := func(found []byte) bool { return bytes.Equal(found, value) }
	_, err = storer.SwapSettled(ctx, st, slotKey(slot), value, revision, mine)
	if storer.Is(err, storer.Conflict) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrapf(err, "claim slot %d", slot)
	}
	return true, nil
}

func (hd Holder) encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := messenger.EncodeAll(msgpack.NewEncoder(&buf), hd.node, hd.batch); err != nil {
		return nil, errors.Wrap(err, "encode slot")
	}
	return buf.Bytes(), nil
}

func decodeHolder(value []byte) (Holder, error) {
	var hd Holder
	if err := messenger.DecodeAll(msgpack.NewDecoder(bytes.NewReader(value)), &hd.node, &hd.batch); err != nil {
		return Holder{}, errors.Wrap(err, "decode slot")
	}
	return hd, nil
}
