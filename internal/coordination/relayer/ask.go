package relayer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

// askPeers takes changes from the best peer that has not failed lately, and if
// that fails from some of the others. It reports false, after a pause, if none
// has a current copy.
func (rl *Relayer) askPeers(ctx context.Context, sc Sources) bool {
	candidates := slices.Concat(sc.Peers(), sc.Others())
	candidates = slices.DeleteFunc(candidates, func(mb prober.Member) bool { return rl.blocked(mb.PeerAddress) })
	if len(candidates) > 0 {
		if rl.poll(ctx, candidates[0]) || rl.askSome(ctx, candidates[1:]) {
			return true
		}
	}
	rl.noteStale()
	waiter.Sleep(ctx, retryDelay)
	return false
}

// askSome takes changes from the first nodes that have not failed lately, and
// reports whether one has a current copy. It asks a few at once, because several
// may be lost.
func (rl *Relayer) askSome(ctx context.Context, members []prober.Member) bool {
	var asked atomic.Int64
	var current atomic.Bool
	var polls sync.WaitGroup
	for _, mb := range members {
		if rl.blocked(mb.PeerAddress) {
			continue
		}
		if asked.Add(1) > maxAskedAtOnce {
			break
		}
		polls.Go(func() {
			if rl.poll(ctx, mb) {
				current.Store(true)
			}
		})
	}
	polls.Wait()
	return current.Load()
}

// blocked reports whether a peer failed lately.
func (rl *Relayer) blocked(address string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.clock() < rl.failures[address].until
}

// poll asks a peer for changes and takes them. It reports whether the peer's
// copy is current.
func (rl *Relayer) poll(ctx context.Context, mb prober.Member) bool {
	address, limit := mb.PeerAddress, maxRelayedAge
	if mb.ID != "" && mb.ID == rl.leader() {
		limit = maxAge
	}
	rl.mu.Lock()
	present, inline := rl.source == address, rl.clock() < rl.inlineUntil
	rl.mu.Unlock()
	call, timeout := rl.newPoll(), probeTimeout
	call.Inline = inline
	if present {
		call.Wait, timeout = pollWait, pollTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := rl.caller.Call(callCtx, address, call)
	page, ok := answer.(*messenger.FeedPage)
	if ok {
		// The sinks come to it before an earlier one that the parts may have.
		rl.takeConfiguration(page)
	}
	if err != nil || !ok || len(page.Parts) != len(rl.feeds) {
		rl.registry.Inc("feed", "unanswered")
		if messenger.Is(err, messenger.Rejected) {
			rl.blockBriefly(address)
		} else {
			rl.block(address, err)
		}
		return false
	}
	if !rl.readOmitted(callCtx, page) {
		// One peer is enough to ask for large values inline.
		return !call.Inline && rl.poll(ctx, mb)
	}
	// A copy that is too old may still have changes that this one lacks.
	for ix, fd := range rl.feeds {
		if page.Age <= limit || !page.Parts[ix].Down {
			rl.store.NoteEra(page.Parts[ix].Era)
			fd.take(page.Parts[ix])
		}
	}
	if page.Age > limit {
		rl.registry.Inc("feed", "old")
		rl.blockBriefly(address)
		return false
	}
	rl.settle(address, page.Age)
	if !present || anyChange(page) {
		rl.announce()
		waiter.Sleep(ctx, minPollInterval)
	}
	return true
}

// readOmitted reads the values that a page lacks from the store. It reports false
// if the store does not answer; the values are then asked for inline for a while.
func (rl *Relayer) readOmitted(ctx context.Context, page *messenger.FeedPage) bool {
	for _, pt := range page.Parts {
		for ix := range pt.Changes {
			fc := &pt.Changes[ix]
			if !fc.Omitted {
				continue
			}
			en, err := rl.store.Get(ctx, fc.Key)
			if err != nil || en.Revision < fc.Revision || pt.Era != rl.store.Era() {
				rl.registry.Inc("feed", "value-unread")
				rl.mu.Lock()
				rl.inlineUntil = rl.clock() + inlineTime
				rl.mu.Unlock()
				return false
			}
			// The value may be a later one. The revision stays that of the page, whose
			// other changes do not go further.
			fc.Value = en.Value
		}
	}
	return true
}

func anyChange(page *messenger.FeedPage) bool {
	for _, pt := range page.Parts {
		if len(pt.Changes) > 0 {
			return true
		}
	}
	return false
}

// block keeps a peer from being asked for a time that doubles with each failure
// in a row.
func (rl *Relayer) block(address string, err error) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	fl := rl.failures[address]
	if fl.count == 0 && rl.source == address {
		log.WithError(err).WithField("source", address).Warn("source of the store's changes does not answer; another is asked")
	}
	fl.until = rl.clock() + min(minBlock<<min(fl.count, 8), maxBlock)
	fl.count++
	rl.failures[address] = fl
	if len(rl.failures) > maxFailures {
		rl.failures = map[string]failure{address: fl}
	}
}

// maxFailures bounds the peers in Relayer.failures.
const maxFailures = 1000

func (rl *Relayer) blockBriefly(address string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.failures[address] = failure{until: rl.clock() + 2*retryDelay}
}

func (rl *Relayer) noteStale() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.staleSince == 0 {
		rl.staleSince = rl.clock()
	}
}
