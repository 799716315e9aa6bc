package relayer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// Answer returns the changes that a peer lacks. If there are none, it waits for
// one, at most for the time that the poll says.
func (rl *Relayer) Answer(ctx context.Context, fp *messenger.FeedPoll) (*messenger.FeedPage, error) {
	rl.noteBehind(fp)
	ctx, cancel := context.WithTimeout(ctx, min(fp.Wait, pollTimeout))
	defer cancel()
	for {
		rl.mu.Lock()
		changed := rl.changed
		rl.mu.Unlock()
		page, news, err := rl.page(fp)
		if err != nil || news {
			return page, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			page, _, err = rl.page(fp)
			return page, err
		}
	}
}

// page returns the answer to a poll, and whether it has changes. A node without a copy
// that the sender can use may still have a later configuration, which the answer then
// has instead of parts.
func (rl *Relayer) page(fp *messenger.FeedPoll) (*messenger.FeedPage, bool, error) {
	if len(fp.Positions) != len(rl.feeds) {
		return nil, false, errors.Errorf("relayer: poll has %d positions, not %d", len(fp.Positions), len(rl.feeds))
	}
	page, news := &messenger.FeedPage{Age: rl.Age()}, false
	var later []byte
	copied := false
	if fp.Lacks > 0 {
		later, copied = rl.configuration.Newer(fp.Lacks)
	}
	for ix, fd := range rl.feeds {
		pt, ok := fd.part(fp.Positions[ix])
		if !ok || ix == 0 && pt.Revision == 0 {
			if later != nil {
				return &messenger.FeedPage{Age: page.Age, Configuration: later}, true, nil
			}
			return nil, false, ErrNoCopy
		}
		if !fp.Inline {
			omitLargeValues(pt.Changes)
		}
		news = news || pt.Whole || len(pt.Changes) > 0
		page.Parts = append(page.Parts, pt)
	}
	if later != nil && !copied {
		page.Configuration, news = later, true
	}
	return page, news, nil
}

// omitLargeValues removes values that all followers at once would wait for, over
// the link of one machine. The store has a faster one.
func omitLargeValues(changes []messenger.FeedChange) {
	for ix := range changes {
		if len(changes[ix].Value) > maxInlineBytes {
			changes[ix].Value, changes[ix].Omitted = nil, true
		}
	}
}

// announce wakes the polls of other nodes.
func (rl *Relayer) announce() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	close(rl.changed)
	rl.changed = make(chan struct{})
}
