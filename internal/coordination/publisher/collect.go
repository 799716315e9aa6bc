package publisher

import (
	"context"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// collect deletes records that are older than the history, those of revisions
// that lost a race among them, and the parts that only they name. Failures are
// left to the next apply.
//
// A record is written before its parts, and a part that exists already is
// written again. A part that an apply in progress counts on is therefore named
// in the second list of records, or has another revision when it is deleted.
func collect(ctx context.Context, st storer.Store, latest head) {
	oldest := latest.number - historyLength
	records, err := st.List(ctx, recordPrefix)
	if err != nil || oldest <= 0 {
		return
	}
	old, _ := splitRecords(records, oldest)
	if len(old) == 0 {
		return
	}
	revisions := map[string]int64{}
	for _, hash := range namedParts(old) {
		if en, err := st.Get(ctx, partPrefix+hash); err == nil {
			revisions[hash] = en.Revision
		}
	}
	if records, err = st.List(ctx, recordPrefix); err != nil {
		return
	}
	_, kept := splitRecords(records, oldest)
	for _, hash := range namedParts(kept) {
		delete(revisions, hash)
	}
	for hash, revision := range revisions {
		if err := st.Delete(ctx, partPrefix+hash, revision); err != nil && !storer.Is(err, storer.Conflict) {
			return
		}
	}
	for _, en := range old {
		_ = st.Delete(ctx, en.Key, en.Revision)
	}
}

// splitRecords separates the records of revisions up to a number. A record
// that cannot be read counts as kept.
func splitRecords(records []storer.Entry, oldest int64) (old, kept []storer.Entry) {
	for _, en := range records {
		if hd, err := decodeHead(en.Value); err == nil && hd.number <= oldest {
			old = append(old, en)
		} else {
			kept = append(kept, en)
		}
	}
	return old, kept
}

func namedParts(records []storer.Entry) []string {
	var hashes []string
	for _, en := range records {
		if hd, err := decodeHead(en.Value); err == nil {
			hashes = append(hashes, hd.parts...)
		}
	}
	return hashes
}
