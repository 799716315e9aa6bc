package publisher

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// historyLength is the minimum number of revisions that are kept.
const historyLength = 50

// Summary describes one revision of the history.
type Summary struct {
	// Number is the revision number.
	Number int64
	// Author is the operator who applied the revision.
	Author string
	// Hash is the hash of the content; equal content has equal hashes.
	Hash string
}

// Load reads the latest revision from the store. It fails with ErrNoRevision if
// there is none.
func Load(ctx context.Context, st storer.Store) (*Revision, error) {
	hd, _, err := readHead(ctx, st)
	if err != nil {
		return nil, err
	}
	return loadHead(ctx, st, hd, nil)
}

// LoadRevision reads the revision with the given number from the store. It
// fails with ErrNotFound if the history does not hold it.
func LoadRevision(ctx context.Context, st storer.Store, number int64) (*Revision, error) {
	chain, err := latestChain(ctx, st)
	if err != nil {
		return nil, err
	}
	for _, hd := range chain {
		if hd.number == number {
			return loadHead(ctx, st, hd, nil)
		}
	}
	return nil, errors.Wrapf(ErrNotFound, "revision %d", number)
}

// History returns the revisions that are kept, latest first.
func History(ctx context.Context, st storer.Store) ([]Summary, error) {
	chain, err := latestChain(ctx, st)
	if err != nil {
		return nil, err
	}
	var lines []Summary
	for _, hd := range chain {
		lines = append(lines, Summary{Number: hd.number, Author: hd.author, Hash: hd.hash()})
	}
	return lines, nil
}

func latestChain(ctx context.Context, st storer.Store) ([]head, error) {
	hd, _, err := readHead(ctx, st)
	if err != nil {
		return nil, err
	}
	return readChain(ctx, st, hd)
}

// readChain returns a head and its predecessors, as far back as their records
// are kept, latest first.
func readChain(ctx context.Context, st storer.Store, from head) ([]head, error) {
	entries, err := st.List(ctx, recordPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list configuration records")
	}
	byWriteID := map[string]head{}
	for _, en := range entries {
		if hd, err := decodeHead(en.Value); err == nil {
			byWriteID[hd.writeID] = hd
		}
	}
	chain := []head{from}
	for hd, ok := byWriteID[from.previous]; ok; hd, ok = byWriteID[hd.previous] {
		chain = append(chain, hd)
	}
	return chain, nil
}

// loadHead reads the revision of a head. It takes the parts in held, by hash,
// from there instead of the store.
func loadHead(ctx context.Context, st storer.Store, hd head, held map[string][]byte) (*Revision, error) {
	var parts [][]byte
	for _, hash := range hd.parts {
		if part, ok := held[hash]; ok {
			parts = append(parts, part)
			continue
		}
		en, err := st.Get(ctx, partPrefix+hash)
		if storer.Is(err, storer.NotFound) {
			return nil, errors.Wrapf(ErrCorrupt, "part %.12s of revision %d is missing", hash, hd.number)
		}
		if err != nil {
			return nil, errors.Wrap(err, "read configuration part")
		}
		if err := checkPart(hash, en.Value); err != nil {
			return nil, err
		}
		parts = append(parts, en.Value)
	}
	return unpack(hd, parts)
}
