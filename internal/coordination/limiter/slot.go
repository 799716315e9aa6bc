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

// slotPrefix is the key prefix of the slot records in the platform's store.
const slotPrefix = "slot/"

// ErrNoSlot means that every slot belongs to a VM that the platform still
// lists.
var ErrNoSlot = errors.New("no slot is free")

// holder is the stored record of the node that holds a slot.
type holder struct {
	node string
	// nonce is a random text, by which a node recognises its own write.
	nonce string
}

// Slot is a slot that a node holds.
type Slot struct {
	number   int
	fresh    bool
	revision int64
}

// Number returns the number of the slot, from 0.
func (sl Slot) Number() int { return sl.number }

// Fresh reports whether nobody held the slot before.
func (sl Slot) Fresh() bool { return sl.fresh }

// Revision returns the store revision of the slot's record, which grows with
// each holder.
func (sl Slot) Revision() int64 { return sl.revision }

// ClaimSlot makes the node self the holder of a slot by compare-and-swap and
// returns the slot: one that the node holds already, else one that nobody ever
// held, else one whose holder's VM the platform does not list any more. listed
// reports whether the platform lists the VM of a node. A slot that the node
// held already is not fresh. ClaimSlot returns ErrNoSlot if no slot is free.
func ClaimSlot(ctx context.Context, st storer.Store, self string, slots int, listed func(node string) bool) (Slot, error) {
	entries, err := st.List(ctx, slotPrefix)
	if err != nil {
		return Slot{number: NoSlot}, errors.Wrap(err, "read slots")
	}
	byKey := map[string]storer.Entry{}
	for _, en := range entries {
		byKey[en.Key] = en
	}
	var unheld, unlisted []int
	for number := range slots {
		en, ok := byKey[slotKey(number)]
		hd, err := decodeHolder(en.Value)
		switch {
		case !ok:
			unheld = append(unheld, number)
		case err == nil && hd.node == self:
			return Slot{number: number, revision: en.Revision}, nil
		case err == nil && !listed(hd.node):
			unlisted = append(unlisted, number)
		}
	}
	for _, number := range append(unheld, unlisted...) {
		sl, taken, err := swapHolder(ctx, st, self, number, byKey[slotKey(number)])
		if err != nil {
			return Slot{number: NoSlot}, err
		}
		if taken {
			return sl, nil
		}
	}
	return Slot{number: NoSlot}, ErrNoSlot
}

// AdoptSlot makes the node self the holder of one more slot if nobody ever held
// it or its holder's VM is not listed any more, and returns the slot and its
// holder. If the slot has a holder already, only its number and revision are
// set. If another node writes the record first, holder is empty.
func AdoptSlot(ctx context.Context, st storer.Store, self string, number int, listed func(node string) bool) (sl Slot, holder string, err error) {
	en, err := st.Get(ctx, slotKey(number))
	if err != nil && !storer.Is(err, storer.NotFound) {
		return Slot{}, "", errors.Wrapf(err, "read slot %d", number)
	}
	hd, decodeErr := decodeHolder(en.Value)
	if en.Revision != 0 && (decodeErr != nil || hd.node == self || listed(hd.node)) {
		return Slot{number: number, revision: en.Revision}, hd.node, nil
	}
	sl, taken, err := swapHolder(ctx, st, self, number, en)
	if err != nil || !taken {
		return Slot{}, "", err
	}
	return sl, self, nil
}

func slotKey(slot int) string { return fmt.Sprintf("%s%04d", slotPrefix, slot) }

// swapHolder writes the node self into the record of a slot and returns the
// slot. It returns false if the record is no longer at the revision of
// previous.
func swapHolder(ctx context.Context, st storer.Store, self string, number int, previous storer.Entry) (Slot, bool, error) {
	hd := holder{node: self, nonce: rand.Text()}
	value, err := hd.encode()
	if err != nil {
		return Slot{}, false, err
	}
	written := func(found []byte) bool { return bytes.Equal(found, value) }
	revision, err := storer.SwapSettled(ctx, st, slotKey(number), value, previous.Revision, written)
	if storer.Is(err, storer.Conflict) {
		return Slot{}, false, nil
	}
	if err != nil {
		return Slot{}, false, errors.Wrapf(err, "claim slot %d", number)
	}
	return Slot{number: number, fresh: previous.Revision == 0, revision: revision}, true, nil
}

func (hd holder) encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := messenger.EncodeAll(msgpack.NewEncoder(&buf), hd.node, hd.nonce); err != nil {
		return nil, errors.Wrap(err, "encode slot")
	}
	return buf.Bytes(), nil
}

func decodeHolder(value []byte) (holder, error) {
	var hd holder
	if err := messenger.DecodeAll(msgpack.NewDecoder(bytes.NewReader(value)), &hd.node, &hd.nonce); err != nil {
		return holder{}, errors.Wrap(err, "decode slot")
	}
	return hd, nil
}
