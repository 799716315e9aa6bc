package publisher

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// errNoSuchRevision means that the peer does not have the requested revision.
var errNoSuchRevision = errors.New("peer does not have the requested revision")

// Handle answers a peer's request for the head or one part of the revision in
// force. The answer is empty if that revision is older than requested.
func (hd *Holder) Handle(ft *messenger.RevisionFetch) (*messenger.RevisionFetched, error) {
	rv := hd.Current()
	if rv == nil || rv.Number() < ft.AtLeast {
		return &messenger.RevisionFetched{}, nil
	}
	value, err := rv.head.encode()
	if err != nil {
		return nil, err
	}
	if ft.Part == messenger.HeadOnly {
		return &messenger.RevisionFetched{Head: value}, nil
	}
	if ft.Part < 0 || ft.Part >= len(rv.packed) {
		return nil, errors.Errorf("revision %d has no part %d", rv.Number(), ft.Part)
	}
	return &messenger.RevisionFetched{Head: value, Part: rv.packed[ft.Part]}, nil
}

// parts returns the parts of the revision in force, by hash.
func (hd *Holder) parts() map[string][]byte {
	held := map[string][]byte{}
	if rv := hd.Current(); rv != nil {
		for ix, part := range rv.packed {
			held[rv.head.parts[ix]] = part
		}
	}
	return held
}

// download fetches the peer's revision, which must not be older than atLeast.
// It reuses the parts that the revision in force shares, and fails if the peer
// puts another revision in force during the download.
func (fo *Follower) download(ctx context.Context, address string, atLeast int64) (*Revision, error) {
	hd, _, err := fo.downloadPart(ctx, address, atLeast, messenger.HeadOnly)
	if err != nil {
		return nil, err
	}
	held := fo.holder.parts()
	var parts [][]byte
	for ix, hash := range hd.parts {
		if part, ok := held[hash]; ok {
			parts = append(parts, part)
			continue
		}
		next, part, err := fo.downloadPart(ctx, address, hd.number, ix)
		if err != nil {
			return nil, err
		}
		if next.writeID != hd.writeID {
			return nil, errors.Wrap(errNoSuchRevision, "peer changed its revision during the fetch")
		}
		parts = append(parts, part)
	}
	return unpack(hd, parts)
}

// downloadPart fetches the head and one part, or with messenger.HeadOnly just
// the head, and checks the part's hash.
func (fo *Follower) downloadPart(ctx context.Context, address string, atLeast int64, part int) (head, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := fo.caller.Call(ctx, address, &messenger.RevisionFetch{AtLeast: atLeast, Part: part})
	if err != nil {
		return head{}, nil, errors.Wrap(err, "fetch configuration")
	}
	fetched, ok := answer.(*messenger.RevisionFetched)
	if !ok || len(fetched.Head) == 0 {
		return head{}, nil, errNoSuchRevision
	}
	hd, err := decodeHead(fetched.Head)
	if err != nil {
		return head{}, nil, err
	}
	if hd.number < atLeast || part >= len(hd.parts) {
		return head{}, nil, errNoSuchRevision
	}
	if part == messenger.HeadOnly {
		return hd, nil, nil
	}
	return hd, fetched.Part, checkPart(hd.parts[part], fetched.Part)
}
