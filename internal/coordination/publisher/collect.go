package publisher

import (
	"context"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// collectGarbage deletes the records that are older than the history, including
// those that never became the head, and the parts that only they list. After a
// failure the next Apply deletes the rest.
//
// Apply writes a record before its parts and writes existing parts again. A
// part that a concurrent Apply needs is therefore listed in the second read of
// the records, or its store revision has changed so that the deletion fails.
func collectGarbage(ctx context.Context, st storer.Store, latest head) {
	cutoff := latest.number - historyLength
	records, err := st.List(ctx, recordPrefix)
	if err != nil || cutoff <= 0 {
		return
	}
	old, _ := splitRecords(records, cutoff)
	if len(old) == 0 {
		return
	}
	revisions := map[string]int64{}
	for _, hash := range listedParts(old) {
		if en, err := st.Get(ctx, partPrefix+hash); err == nil {
			revisions[hash] = en.Revision
		}
	}
	if records, err = st.List(ctx, recordPrefix); err != nil {
		return
	}
	_, kept := splitRecords(records, cutoff)
	for _, hash := range listedParts(kept) {
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

// splitRecords separates the records of revisions up to the cutoff number from
// the rest. It keeps a record that cannot be decoded.
func splitRecords(records []storer.Entry, cutoff int64) (old, kept []storer.Entry) {
	for _, en := range records {
		if hd, err := decodeHead(en.Value); err == nil && hd.number <= cutoff {
			old = append(old, en)
		} else {
			kept = append(kept, en)
		}
	}
	return old, kept
}

// listedParts returns the hashes of all parts that the records list.
func listedParts(records []storer.Entry) []string {
	var hashes []string
	for _, en := range records {
		if hd, err := decodeHead(en.Value); err == nil {
			hashes = append(hashes, hd.parts...)
		}
	}
	return hashes
}
