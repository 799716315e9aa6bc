package prober

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

func (pb *Prober) startProbe(ctx context.Context, now time.Time) {
	en, ok := pb.table.next()
	if !ok {
		return
	}
	target := *en
	ping := &messenger.Ping{Gossip: pb.gossip(target.ID)}
	var helpers []string
	for _, hp := range pb.table.pick(relays, target.ID) {
		helpers = append(helpers, hp.PeerAddress)
	}
	pb.goProbe(ctx, func(ctx context.Context) { pb.probe(ctx, target, ping, helpers, now) })
}

// probe pings a peer, directly and then through helpers.
func (pb *Prober) probe(ctx context.Context, target entry, ping *messenger.Ping, helpers []string, began time.Time) {
	if pb.ping(ctx, target.PeerAddress, ping, began) {
		return
	}
	pb.registry.Inc("membership", "probe-unanswered")
	answered := make(chan bool, len(helpers))
	for _, address := range helpers {
		pb.goProbe(ctx, func(ctx context.Context) {
			answered <- pb.ping(ctx, address, &messenger.Relay{Gossip: ping.Gossip, Target: target.PeerAddress}, began)
		})
	}
	for range helpers {
		if <-answered {
			return
		}
	}
	if ctx.Err() == nil {
		pb.unanswered(target.ID, began, time.Now())
	}
}

// unanswered suspects a peer, unless the node itself was paused meanwhile.
func (pb *Prober) unanswered(id string, began, now time.Time) {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if now.Sub(began) >= pb.viewLifetime() || began.Before(pb.awakeAt) {
		return
	}
	pb.table.suspect(id, now)
	pb.registry.Inc("membership", "suspected")
	pb.publish(now)
}

// ping sends a ping or a relay and takes in the pong.
func (pb *Prober) ping(ctx context.Context, address string, call messenger.Message, began time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, pb.interval)
	defer cancel()
	answer, err := pb.caller.Call(ctx, address, call)
	pong, ok := answer.(*messenger.Pong)
	if err != nil || !ok {
		return false
	}
	pb.answered(pong, began, time.Now())
	return true
}

// answered takes in a pong.
func (pb *Prober) answered(pong *messenger.Pong, began, now time.Time) {
	pb.take(pong.Gossip, now)
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if pb.stale && !began.Before(pb.awakeAt) && now.Sub(began) < pb.viewLifetime() {
		pb.stale = false
	}
	pb.publish(now)
}
