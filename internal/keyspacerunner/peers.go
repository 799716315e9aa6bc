package keyspacerunner

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// exchangeInterval is the time between two exchanges of loads.
	exchangeInterval = 100 * time.Millisecond
	// exchangeBytesPerSecond bounds the load messages of one node. The network
	// links of the smallest machines carry a hundred times as much.
	exchangeBytesPerSecond = 20_000
	// demandInterval is the time between two reports of demand to the leader.
	demandInterval = 500 * time.Millisecond
	// demandLifetime is how long a node's last report of demand is valid.
	demandLifetime = 3 * demandInterval
	// retireTime is how long a replica gets no requests when it is to be
	// unloaded. It exceeds the few seconds that requests run there.
	retireTime = 8 * time.Second
	// retireGrace is the time for requests that were granted earlier to arrive.
	retireGrace = 30 * time.Millisecond
	// callTimeout bounds the calls of one report of demand or one retirement, and
	// one access to the record of orders.
	callTimeout = 300 * time.Millisecond
)

func (rn *Runner) handlePeer(ctx context.Context, call messenger.Message) (messenger.Message, error) {
	switch tc := call.(type) {
	case *messenger.LoadDigest:
		return rn.exchange.Answer(time.Now(), tc), nil
	case *messenger.AdapterLoad:
		return rn.adapters.Handle(ctx, tc), nil
	case *messenger.AdapterUse:
		return rn.adapters.HandleUse(tc), nil
	case *messenger.Retire:
		rn.admitter.Exclude(tc.Server, tc.Model, tc.Duration)
		return &messenger.Retired{}, nil
	case *messenger.LimitEnd:
		rn.admitter.EndLimit(tc.Server)
		return &messenger.LimitEnded{}, nil
	case *messenger.FeedPoll:
		page, err := rn.relayer.Answer(ctx, tc)
		if err != nil {
			return nil, err
		}
		return page, nil
	case *messenger.PathQuery:
		return &messenger.PathAnswer{Reaches: rn.Ready() && rn.path.Reaches(ctx, tc.Servers)}, nil
	case *messenger.ServerNotice:
		return rn.downs.Handle(tc), nil
	case *messenger.Check:
		return &messenger.Checked{Node: rn.identity.ID, Build: messenger.BuildLatest}, nil
	case *messenger.DemandReport:
		rn.registrar.Hear(tc.Node)
		rn.demands.Note(time.Now(), tc)
		return &messenger.DemandReceived{}, nil
	case *messenger.QuotaReport:
		gt, err := rn.quotas.Answer(tc)
		if err != nil {
			return nil, err
		}
		return gt, nil
	default:
		if answer := rn.isolator.Handle(call); answer != nil {
			return answer, nil
		}
		if answer := rn.versions.Handle(call); answer != nil {
			return answer, nil
		}
		if answer := rn.delegator.Handle(ctx, call); answer != nil {
			return answer, nil
		}
		return nil, errors.Errorf("no answer to a message of kind %d", call.Kind())
	}
}

// exchangeLoads sends the owners of servers this node's load on them, and
// receives the load of the other nodes.
func (rn *Runner) exchangeLoads(ctx context.Context) error {
	waiter.Every(ctx, exchangeInterval, func() {
		if rn.snapshot.Load() == nil {
			return
		}
		rn.shareBudget()
		rn.exchange.Round(ctx, time.Now, rn.admitter.Outstanding(), rn.registrar.View().ServerOwner, rn.pool)
		rn.observe()
	})
	return nil
}

// shareBudget sets the node's part of the retry budget by the registrations of nodes.
func (rn *Runner) shareBudget() {
	if nodes := rn.registrar.NodeCount(); nodes > 0 {
		rn.budget.SetNodes(nodes)
	}
	rn.budget.SetPredecessor(rn.registrar.MayHavePredecessor(rn.identity.Retries.Window))
}

// observe updates the watcher's snapshot with the exchanged loads.
func (rn *Runner) observe() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	now := time.Now()
	rn.watcher.SetReports(now, rn.reports(rn.snapshot.Load(), now))
}

// reportDemand sends the leader the demand of this node's callers.
func (rn *Runner) reportDemand(ctx context.Context) error {
	waiter.Every(ctx, demandInterval, func() {
		if leader, ok := rn.registrar.Leader(); ok && rn.snapshot.Load() != nil {
			rn.sendDemand(ctx, leader)
		}
	})
	return nil
}

func (rn *Runner) sendDemand(ctx context.Context, leader prober.Member) {
	dr := &messenger.DemandReport{Node: rn.identity.ID}
	for model, load := range rn.admitter.Demand() {
		dr.Models = append(dr.Models, messenger.ModelDemand{Model: model, Load: load})
	}
	if leader.ID == rn.identity.ID {
		rn.demands.Note(time.Now(), dr)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := rn.pool.Call(ctx, leader.PeerAddress, dr); err != nil {
		rn.registry.Inc("demand", "untold")
	}
}

// retire tells all nodes to send a server no more requests for a model, and
// waits until requests in transit have arrived.
func (rn *Runner) retire(ctx context.Context, server, model string) {
	log.WithFields(log.Fields{"server": server, "model": model}).Info("replica is retired before it is unloaded")
	rn.admitter.Exclude(server, model, retireTime)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rn.tellAll(ctx, &messenger.Retire{Server: server, Model: model, Duration: retireTime}, "retire")
	waiter.Sleep(ctx, retireGrace)
}

// tellLimitEnd tells all nodes that a server no longer names a limit.
func (rn *Runner) tellLimitEnd(server string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rn.tellAll(ctx, &messenger.LimitEnd{Server: server}, "limit-end")
}

// tellAll calls all other nodes and counts, under the name what, those that do
// not answer.
func (rn *Runner) tellAll(ctx context.Context, call messenger.Message, what string) {
	var wg sync.WaitGroup
	for _, mb := range rn.registrar.View().Members() {
		if mb.ID == rn.identity.ID {
			continue
		}
		wg.Go(func() {
			if _, err := rn.pool.Call(ctx, mb.PeerAddress, call); err != nil {
				rn.registry.Inc(what, "untold")
			}
		})
	}
	wg.Wait()
}

// checkPeer implements registrar.CheckFunc.
func (rn *Runner) checkPeer(ctx context.Context, address string) (string, error) {
	answer, err := rn.pool.Call(ctx, address, &messenger.Check{})
	if err != nil {
		return "", err
	}
	ck, ok := answer.(*messenger.Checked)
	if !ok {
		return "", errors.Errorf("answer of kind %d to a check", answer.Kind())
	}
	return ck.Node, nil
}

// leaderView returns a view in which the leader owns all servers, because only
// the leader sends orders.
func (rn *Runner) leaderView() *prober.View {
	leader, ok := rn.registrar.Leader()
	if !ok {
		return prober.NewView(rn.identity.ID, nil)
	}
	leader.State = prober.Alive
	return prober.NewView(rn.identity.ID, []prober.Member{leader})
}

// reportsAdapter reports whether a server's registration lists an adapter.
func (rn *Runner) reportsAdapter(server, adapter string) bool {
	rp, ok := rn.watcher.Snapshot().Report(server)
	return ok && slices.Contains(rp.Adapters, adapter)
}

// bootID returns the name that orders use for a server's incarnation.
func bootID(sv tracker.Server) string { return strconv.FormatInt(sv.Incarnation, 10) }
