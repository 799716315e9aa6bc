package keyspacerunner

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/delegator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/pathwatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// pathInterval is the time between two looks at a lost path.
	pathInterval = 100 * time.Millisecond
	// pathQueryTimeout bounds the question whether another node reaches servers.
	pathQueryTimeout = 400 * time.Millisecond
	// returnTime is how long other nodes go on running the requests of a node that has its
	// path back, until all nodes know that it takes its share of the servers again.
	returnTime = time.Second
)

// pathServers returns the servers by which the node's paths are judged.
func (rn *Runner) pathServers() []pathwatcher.Server {
	sn := rn.snapshot.Load()
	if sn == nil || rn.binding.Ping == nil {
		return nil
	}
	return sn.reachable
}

// reachable returns the servers that a node with a path reaches.
func reachable(servers []tracker.Server) []pathwatcher.Server {
	all := make([]pathwatcher.Server, 0, len(servers))
	for _, sv := range servers {
		if !sv.Leaving {
			all = append(all, pathwatcher.Server{Name: sv.ID, Address: sv.Address, Pool: sv.Pool})
		}
	}
	return all
}

// pingServer implements pathwatcher.Ping. A call counts against what a server takes, so that
// those that want a pause or name a limit are called only to find that a lost path is back.
func (rn *Runner) pingServer(ctx context.Context, sv pathwatcher.Server) error {
	if rn.admitter.Restricted(sv.Name) && !rn.path.Detached(sv.Pool) {
		return pathwatcher.ErrNotCalled
	}
	err := rn.forwarder.Ping(ctx, rn.binding.Ping(sv.Name, sv.Address))
	if errors.Is(err, forwarder.ErrConnectionLimit) {
		return pathwatcher.ErrNotCalled
	}
	return err
}

// lostPath reports whether the loss of connections to the server is that of the node's path:
// it reaches no other server of the pool, and either none of another pool or other nodes
// reach the server.
func (rn *Runner) lostPath(ctx context.Context, server string) bool {
	pool := rn.poolOf(server)
	switch {
	case rn.binding.Ping == nil, rn.path.Confirm(ctx, pool, server):
		return false
	case !rn.path.ConfirmOthers(ctx, pool):
		return true
	}
	peers := (&pathPeers{}).choose(rn.registrar.View().Members(), rn.identity.ID)
	return rn.peersReach(ctx, peers, []string{server})
}

// poolOf returns the pool of a registered server, or "".
func (rn *Runner) poolOf(server string) string {
	sn := rn.snapshot.Load()
	if sn == nil {
		return ""
	}
	for _, sv := range sn.reachable {
		if sv.Name == server {
			return sv.Pool
		}
	}
	return ""
}

// serversOf returns the names of the registered servers of the pool.
func (rn *Runner) serversOf(pool string) []string {
	var names []string
	for _, sv := range rn.pathServers() {
		if sv.Pool == pool {
			names = append(names, sv.Name)
		}
	}
	return names
}

// pathChanged forgets which servers are down when the node has its path to them again:
// those that refused it meanwhile may have been sound.
func (rn *Runner) pathChanged(pool string, detached bool) {
	if !detached {
		rn.downs.Forget(rn.serversOf(pool))
	}
}

// watchPaths keeps requests from lost paths. A node that is detached from a pool is cut
// off from it if another node reaches the servers that it misses; otherwise the servers
// are lost.
func (rn *Runner) watchPaths(ctx context.Context) error {
	waiter.Every(ctx, pathInterval, func() {
		lost := rn.path.Lost()
		for _, pool := range rn.reachedByOthers(ctx, lost) {
			rn.setCutOff(ctx, pool, true)
		}
		rn.takeBackPaths(ctx)
		maps.DeleteFunc(rn.pathPeers, func(pool string, _ *pathPeers) bool { return !slices.Contains(lost, pool) })
		if len(rn.cutOff.pools()) > 0 {
			rn.dispatch.GiveUpSilent()
		}
	})
	return nil
}

// takeBackPaths ends the loss of pools to which the node has had its path back for a while.
func (rn *Runner) takeBackPaths(ctx context.Context) {
	lost := rn.path.Lost()
	for _, pool := range rn.cutOff.pools() {
		since, back := rn.pathBack[pool]
		switch {
		case slices.Contains(lost, pool):
			delete(rn.pathBack, pool)
		case !back:
			rn.pathBack[pool] = time.Now()
			rn.registrar.Notify()
		case time.Since(since) >= returnTime:
			delete(rn.pathBack, pool)
			rn.setCutOff(ctx, pool, false)
		}
	}
}

// lostPools returns the pools of which other nodes need not leave this one a share.
func (rn *Runner) lostPools() []string {
	lost := rn.path.Lost()
	return slices.DeleteFunc(lost, func(pool string) bool { return !rn.cutOff.from(pool) })
}

// reachedByOthers returns those of the lost pools from which the node is not known to be
// cut off, and whose servers other nodes reach.
func (rn *Runner) reachedByOthers(ctx context.Context, lost []string) []string {
	reached := make([]bool, len(lost))
	var asking sync.WaitGroup
	for ix, pool := range lost {
		if rn.cutOff.from(pool) {
			continue
		}
		peers := rn.nextPathPeers(pool)
		asking.Go(func() { reached[ix] = rn.othersReachServers(ctx, pool, peers) })
	}
	asking.Wait()
	var pools []string
	for ix, pool := range lost {
		if reached[ix] {
			pools = append(pools, pool)
		}
	}
	return pools
}

// nextPathPeers returns the nodes that are asked next about the pool.
func (rn *Runner) nextPathPeers(pool string) []prober.Member {
	asked, ok := rn.pathPeers[pool]
	if !ok {
		asked = &pathPeers{}
		rn.pathPeers[pool] = asked
	}
	return asked.choose(rn.registrar.View().Members(), rn.identity.ID)
}

// isReady reports whether the node is named to callers: it serves, and reaches the servers
// of some pool.
func (rn *Runner) isReady() bool { return rn.Ready() && !rn.cutOff.fromAll(rn.path.Pools()) }

// mayLead reports whether the node reaches the servers that are sent orders. One that does
// not leads only if no other node does.
func (rn *Runner) mayLead() bool {
	return !slices.ContainsFunc(rn.cutOff.pools(), rn.isOrdered)
}

// isOrdered reports whether the servers of the pool are sent orders.
func (rn *Runner) isOrdered(pool string) bool {
	sn := rn.snapshot.Load()
	return sn != nil && slices.ContainsFunc(sn.settings.Models(), func(md *configurer.Model) bool {
		return md.Pool() == pool && md.Placed()
	})
}

// setCutOff records whether the node is cut off from the pool. While it reaches none, the
// other nodes name it to no callers.
func (rn *Runner) setCutOff(ctx context.Context, pool string, yes bool) {
	rn.cutOff.set(pool, yes)
	servers := rn.serversOf(pool)
	rn.ejector.Forget(servers)
	rn.downs.Forget(servers)
	rn.registrar.Notify()
	if !yes {
		log.WithField("pool", pool).Info("node runs its requests itself again")
		return
	}
	log.WithField("pool", pool).Warn("node is cut off from the backend servers; other nodes run its requests")
	if rn.mayLead() {
		return
	}
	go func() {
		resignCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rn.registrar.Resign(resignCtx)
	}()
}

// othersReachServers reports whether one of the nodes reaches servers of the pool that this
// one does not. Both call the same ones at the same time, since servers that were lost for
// all nodes come back one after the other.
func (rn *Runner) othersReachServers(ctx context.Context, pool string, peers []prober.Member) bool {
	servers := rn.path.Missed(pool)
	own := make(chan bool, 1)
	go func() {
		ownCtx, cancel := context.WithTimeout(ctx, pathQueryTimeout)
		defer cancel()
		own <- rn.path.Reaches(ownCtx, servers)
	}()
	return rn.peersReach(ctx, peers, servers) && !<-own
}

// peersReach reports whether one of the other nodes reaches most of the servers.
func (rn *Runner) peersReach(ctx context.Context, peers []prober.Member, servers []string) bool {
	ctx, cancel := context.WithTimeout(ctx, pathQueryTimeout)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, mb := range peers {
		go func() {
			answer, _ := rn.pool.Call(ctx, mb.PeerAddress, &messenger.PathQuery{Servers: servers})
			pa, ok := answer.(*messenger.PathAnswer)
			answers <- ok && pa.Reaches
		}()
	}
	for range peers {
		if <-answers {
			return true
		}
	}
	return false
}

// servesOthers implements delegator.Serves. A request of an earlier build names no pool.
func (rn *Runner) servesOthers(revision int64, pool string) bool {
	lost := rn.path.Lost()
	reaches := len(lost) < max(len(rn.path.Pools()), 1)
	if pool != "" {
		reaches = !rn.cutOff.from(pool) && !slices.Contains(lost, pool)
	}
	return rn.Ready() && reaches && rn.Revision() >= revision
}

// ServeDelegated sets the handler that runs the requests of nodes which are cut off from
// the servers. It must be called before Run.
func (rn *Runner) ServeDelegated(hd http.Handler) { rn.delegator.Serve(hd) }

// AwaitDelegated waits until the node runs no request of another node.
func (rn *Runner) AwaitDelegated(ctx context.Context) { rn.delegator.AwaitIdle(ctx) }

// pathDelegate implements dispatcher.Delegate.
type pathDelegate struct{ rn *Runner }

func (pd pathDelegate) CutOff(pool string) bool { return pd.rn.cutOff.from(pool) }

func (pd pathDelegate) Misses(server string) bool { return pd.rn.path.Misses(server) }

func (pd pathDelegate) Open(ctx context.Context, rq delegator.Request) (*http.Response, error) {
	return pd.rn.delegator.Open(ctx, rq)
}
