package prober

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// ErrUnhandled is returned by Handle for a message of another protocol.
var ErrUnhandled = errors.New("message is not about the membership")

// Handle answers the membership messages of peers. It returns ErrUnhandled for
// any other message.
func (pb *Prober) Handle(ctx context.Context, call messenger.Message) (messenger.Message, error) {
	switch ms := call.(type) {
	case *messenger.Ping:
		return pb.answerPing(ms, time.Now()), nil
	case *messenger.Relay:
		return pb.answerRelay(ctx, ms)
	case *messenger.Sync:
		return pb.answerSync(ms, time.Now()), nil
	}
	return nil, ErrUnhandled
}

func (pb *Prober) answerPing(ping *messenger.Ping, now time.Time) *messenger.Pong {
	pb.mergeGossip(ping.Gossip, now)
	self := pb.presence()
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.table.setSelf(self)
	return &messenger.Pong{Gossip: pb.gossip(ping.Sender.ID)}
}

func (pb *Prober) answerRelay(ctx context.Context, rl *messenger.Relay) (messenger.Message, error) {
	pb.mergeGossip(rl.Gossip, time.Now())
	pb.mu.Lock()
	ping := &messenger.Ping{Gossip: pb.gossip(rl.Sender.ID)}
	pb.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pb.interval)
	defer cancel()
	answer, err := pb.caller.Call(ctx, rl.Target, ping)
	if err != nil {
		return nil, errors.Wrap(err, "relayed ping")
	}
	return answer, nil
}

// digest returns one checksum per bucket of members and entries.
func (pb *Prober) digest(now time.Time) []uint32 {
	dg := make([]uint32, gossiper.BucketCount)
	pb.table.addDigest(dg, now)
	pb.gossiped.AddDigest(dg)
	return dg
}

func (pb *Prober) answerSync(sy *messenger.Sync, now time.Time) *messenger.Synced {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	own := pb.digest(now)
	differs := func(key string) bool {
		bk := gossiper.Bucket(key)
		return bk >= len(sy.Digest) || sy.Digest[bk] != own[bk]
	}
	limit := min(max(sy.Limit, 0), joinItems)
	sd := &messenger.Synced{}
	sd.Updates = pb.table.differingUpdates(differs, limit, now)
	sd.Entries = pb.gossiped.MarkedEntries(differs, limit)
	return sd
}

// startSync compares checksums with a random peer and requests what differs.
func (pb *Prober) startSync(ctx context.Context, now time.Time) {
	limit := syncItems
	if pb.joining {
		limit = joinItems
	}
	pb.nextSync = now.Add(syncInterval/2 + time.Duration(pb.random.Int64N(int64(syncInterval))))
	peers := pb.table.randomAlive(1, "")
	if len(peers) == 0 {
		return
	}
	pb.joining = false
	address, call := peers[0].PeerAddress, &messenger.Sync{Digest: pb.digest(now), Limit: limit}
	pb.runBackground(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, viewLifetimeIntervals*pb.interval)
		defer cancel()
		answer, err := pb.caller.Call(ctx, address, call)
		if sd, ok := answer.(*messenger.Synced); ok && err == nil {
			pb.mergeSynced(sd, time.Now())
		}
	})
}

// mergeSynced merges the answer to a comparison. Where the node's own knowledge
// is newer, the node sends it again in its next messages.
func (pb *Prober) mergeSynced(sd *messenger.Synced, now time.Time) {
	pb.mu.Lock()
	for _, mu := range sd.Updates {
		pb.noteOwnDeath(mu, now)
		_, known := pb.table.entries[mu.ID]
		pb.table.apply(mu, now)
		if en := pb.table.entries[mu.ID]; en != nil && !known {
			// The peer that sent this update has sent it to others too.
			en.sends = exhaustedSends
		}
	}
	pb.publishView(now)
	pb.mu.Unlock()
	pb.gossiped.Merge(sd.Entries)
}
