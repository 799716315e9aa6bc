package prober

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// startProbe probes the next member in a goroutine.
func (pb *Prober) startProbe(ctx context.Context, now time.Time) {
	en, ok := pb.table.nextProbeTarget()
	if !ok {
		return
	}
	target := *en
	ping := &messenger.Ping{Gossip: pb.gossip(target.ID)}
	var relays []string
	for _, peer := range pb.table.randomAlive(relayCount, target.ID) {
		relays = append(relays, peer.PeerAddress)
	}
	pb.runBackground(ctx, func(ctx context.Context) { pb.probe(ctx, target, ping, relays, now) })
}

// probe pings a peer, first directly and then through relays. If no Pong comes
// on either way, the peer becomes suspect.
func (pb *Prober) probe(ctx context.Context, target entry, ping *messenger.Ping, relays []string, began time.Time) {
	if pb.ping(ctx, target.PeerAddress, ping, began) {
		return
	}
	pb.registry.Inc("membership", "probe-unanswered")
	answered := make(chan bool, len(relays))
	for _, address := range relays {
		pb.runBackground(ctx, func(ctx context.Context) {
			answered <- pb.ping(ctx, address, &messenger.Relay{Gossip: ping.Gossip, Target: target.PeerAddress}, began)
		})
	}
	for range relays {
		if <-answered {
			return
		}
	}
	if ctx.Err() == nil {
		pb.suspectUnanswered(target.ID, began, time.Now())
	}
}

// suspectUnanswered marks a peer as suspect, unless this node was paused during
// the probe.
func (pb *Prober) suspectUnanswered(id string, began, now time.Time) {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if now.Sub(began) >= pb.viewLifetime() || began.Before(pb.resumedAt) {
		return
	}
	pb.table.suspect(id, now)
	pb.registry.Inc("membership", "suspected")
	pb.publishView(now)
}

// ping sends a Ping or a Relay, merges the Pong and reports whether one came.
func (pb *Prober) ping(ctx context.Context, address string, call messenger.Message, began time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, pb.interval)
	defer cancel()
	answer, err := pb.caller.Call(ctx, address, call)
	pong, ok := answer.(*messenger.Pong)
	if err != nil || !ok {
		return false
	}
	pb.mergePong(pong, began, time.Now())
	return true
}

// mergePong merges a pong, and makes the view valid again if the ping began
// after the last pause.
func (pb *Prober) mergePong(pong *messenger.Pong, began, now time.Time) {
	pb.mergeGossip(pong.Gossip, now)
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if pb.stale && !began.Before(pb.resumedAt) && now.Sub(began) < pb.viewLifetime() {
		pb.stale = false
	}
	pb.publishView(now)
}
