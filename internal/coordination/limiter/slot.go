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

// holder is the record of who holds a slot.
type holder struct {
	node  string
	batch string
}

// Slot is a slot that a node holds.
type Slot struct {
	number   int
	fresh    bool
	revision int64
}

// Number returns the slot's number.
func (sl Slot) Number() int { return sl.number }

// Fresh reports whether nobody held the slot before.
func (sl Slot) Fresh() bool { return sl.fresh }

// Revision returns the revision of the slot's record, which grows with each
// holder.
func (sl Slot) Revision() int64 { return sl.revision }

// ClaimSlot makes the node self the holder of a slot, by compare-and-swap: one
// that it holds already, one that nobody ever held, or else one whose holder's
// VM the platform does not list any more. listed tells which VMs it lists. A
// slot that the node held already is not fresh.
func ClaimSlot(ctx context.Context, st storer.Store, self string, slots int, listed func(node string) bool) (Slot, error) {
	entries, err := st.List(ctx, slotPrefix)
	if err != nil {
		return Slot{number: NoSlot}, errors.Wrap(err, "read slots")
	}
	byKey := map[string]storer.Entry{}
	for _, en := range entries {
		byKey[en.Key] = en
	}
	var free, left []int
	for number := range slots {
		en, ok := byKey[slotKey(number)]
		hd, err := decodeHolder(en.Value)
		switch {
		case !ok:
			free = append(free, number)
		case err == nil && hd.node == self:
			return Slot{number: number, revision: en.Revision}, nil
		case err == nil && !listed(hd.node):
			left = append(left, number)
		}
	}
	for _, number := range append(free, left...) {
		sl, taken, err := takeSlot(ctx, st, self, number, byKey[slotKey(number)])
		if err != nil {
			return Slot{number: NoSlot}, err
		}
		if taken {
			return sl, nil
		}
	}
	return Slot{number: NoSlot}, ErrNoSlot
}

// AdoptSlot makes the node self the holder of one slot more, if nobody ever
// held it or its holder's VM is not listed any more, and reports whether it is.
// If another node holds it, the slot tells its number and revision only.
func AdoptSlot(ctx context.Context, st storer.Store, self string, number int, listed func(node string) bool) (sl Slot, holder string, err error) {
	en, err := st.Get(ctx, slotKey(number))
	if err != nil && !storer.Is(err, storer.NotFound) {
		return Slot{}, "", errors.Wrapf(err, "read slot %d", number)
	}
	hd, fault := decodeHolder(en.Value)
	if en.Revision != 0 && (fault != nil || hd.node == self || listed(hd.node)) {
		return Slot{number: number, revision: en.Revision}, hd.node, nil
	}
	sl, taken, err := takeSlot(ctx, st, self, number, en)
	if err != nil || !taken {
		return Slot{}, "", err
	}
	return sl, self, nil
}

func slotKey(slot int) string { return fmt.Sprintf("%s%04d", slotPrefix, slot) }

func takeSlot(ctx context.Context, st storer.Store, self string, number int, was storer.Entry) (Slot, bool, error) {
	hd := holder{node: self, batch: rand.Text()}
	value, err := hd.encode()
	if err != nil {
		return Slot{}, false, err
	}
	mine := func(found []byte) bool { return bytes.Equal(found, value) }
	revision, err := storer.SwapSettled(ctx, st, slotKey(number), value, was.Revision, mine)
	if storer.Is(err, storer.Conflict) {
		return Slot{}, false, nil
	}
	if err != nil {
		return Slot{}, false, errors.Wrapf(err, "claim slot %d", number)
	}
	return Slot{number: number, fresh: was.Revision == 0, revision: revision}, true, nil
}

func (hd holder) encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := messenger.EncodeAll(msgpack.NewEncoder(&buf), hd.node, hd.batch); err != nil {
		return nil, errors.Wrap(err, "encode slot")
	}
	return buf.Bytes(), nil
}

func decodeHolder(value []byte) (holder, error) {
	var hd holder
	if err := messenger.DecodeAll(msgpack.NewDecoder(bytes.NewReader(value)), &hd.node, &hd.batch); err != nil {
		return holder{}, errors.Wrap(err, "decode slot")
	}
	return hd, nil
}
