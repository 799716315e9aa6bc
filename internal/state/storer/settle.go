package storer

import "context"

// SwapSettled writes like Swap and resolves an uncertain or conflicting result
// by reading the key. The write took effect if isOwn returns true for the
// stored value; isOwn has to look for a batch id that only this write contains.
//
// An error of kind Conflict means that the key has the value of another writer
// and that this write can no longer take effect. If the answer to this write
// was lost, the write may have taken effect before the other one. A caller
// whose value other writers build on therefore has to look for its batch id in
// the new value. An error of kind Uncertain means that the write may still take
// effect.
func SwapSettled(ctx context.Context, st Store, key string, value []byte, revision int64, isOwn func([]byte) bool) (int64, error) {
	written, err := st.Swap(ctx, key, value, revision)
	if err == nil || !Is(err, Conflict) && !Is(err, Uncertain) {
		return written, err
	}
	en, readErr := st.Get(ctx, key)
	switch {
	case Is(readErr, NotFound):
		en = Entry{Key: key}
	case readErr != nil:
		return 0, &Error{Op: "swap", Key: key, Kind: Uncertain, Cause: readErr}
	}
	if len(en.Value) > 0 && isOwn(en.Value) {
		return en.Revision, nil
	}
	if en.Revision != revision {
		return 0, &Error{Op: "swap", Key: key, Kind: Conflict}
	}
	// The key is unchanged, but a delayed write may still arrive.
	return 0, &Error{Op: "swap", Key: key, Kind: Uncertain, Cause: err}
}
