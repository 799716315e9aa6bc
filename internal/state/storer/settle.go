package storer

import "context"

// SwapSettled writes like Swap and settles an uncertain or conflicting result
// by reading the key: if mine recognises the value found there, the write took
// effect. mine is given the stored value and has to look for a batch id that
// only this write carries.
//
// It returns an error of kind Conflict if another's value stands there: the
// write will not take effect any more. If its own answer was lost, it may have
// taken effect before the other's did, so that a caller whose value others
// build on has to look for its traces there. It returns an error of kind
// Uncertain if the write may still take effect.
func SwapSettled(ctx context.Context, st Store, key string, value []byte, revision int64, mine func([]byte) bool) (int64, error) {
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
	if len(en.Value) > 0 && mine(en.Value) {
		return en.Revision, nil
	}
	if en.Revision != revision {
		return 0, &Error{Op: "swap", Key: key, Kind: Conflict}
	}
	// The key is unchanged, but a delayed write may still arrive.
	return 0, &Error{Op: "swap", Key: key, Kind: Uncertain, Cause: err}
}
