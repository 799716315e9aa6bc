package keyspacerunner

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/delegator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/pathwatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

const (
	// pathInterval is the time between two looks at a lost path.
	pathInterval = 100 * time.Millisecond
	// pathQueryTimeout bounds the question whether another node reaches servers.
	pathQueryTimeout = 400 * time.Millisecond
)

// pathServers returns the servers by which the node's path is judged.
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

// pingServer implements pathwatcher.Ping.
func (rn *Runner) pingServer(ctx context.Context, sv pathwatcher.Server) error {
	err := rn.forwarder.Ping(ctx, rn.binding.Ping(sv.Name, sv.Address))
	if errors.Is(err, forwarder.ErrConnectionLimit) {
		return pathwatcher.ErrNotCalled
	}
	return err
}

// reachesServers reports whether the node reaches a server.
func (rn *Runner) reachesServers(ctx context.Context) bool {
	return rn.binding.Ping == nil || rn.path.Confirm(ctx)
}

// pathChanged forgets which servers are down when the node has its path again: those that
// refused it meanwhile may have been sound.
func (rn *Runner) pathChanged(detached bool) {
	if !detached {
		rn.downs.Reset()
	}
}

// watchPath keeps requests from a lost path. A node that is detached is cut off if
// another node reaches the servers that it misses; otherwise the servers are lost.
func (rn *Runner) watchPath(ctx context.Context) error {
	waiter.Every(ctx, pathInterval, func() {
		detached := rn.path.Detached()
		switch {
		case detached && !rn.cutOff.Load() && rn.othersReachServers(ctx):
			rn.setCutOff(ctx, true)
		case !detached && rn.cutOff.Load():
			rn.setCutOff(ctx, false)
		}
		if !detached {
			rn.pathPeers = pathPeers{}
		}
		if rn.cutOff.Load() {
			rn.dispatch.GiveUpSilent()
		}
	})
	return nil
}

// setCutOff records whether the node is cut off. While it is, it does not lead, and the
// other nodes name it to no callers.
func (rn *Runner) setCutOff(ctx context.Context, yes bool) {
	rn.cutOff.Store(yes)
	rn.ejector.Reset()
	rn.downs.Reset()
	rn.registrar.Notify()
	if !yes {
		log.Info("node runs its requests itself again")
		return
	}
	log.Warn("node is cut off from the backend servers; other nodes run its requests")
	go func() {
		resignCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rn.registrar.Resign(resignCtx)
	}()
}

// othersReachServers reports whether another node reaches servers that this one does
// not. Both call the same ones at the same time, since servers that were lost for all
// nodes come back one after the other.
func (rn *Runner) othersReachServers(ctx context.Context) bool {
	peers := rn.pathPeers.choose(rn.registrar.View().Members(), rn.identity.ID)
	ctx, cancel := context.WithTimeout(ctx, pathQueryTimeout)
	defer cancel()
	query := &messenger.PathQuery{Servers: rn.path.Missed()}
	own := make(chan bool, 1)
	go func() { own <- rn.path.Reaches(ctx, query.Servers) }()
	answers := make(chan bool, len(peers))
	for _, mb := range peers {
		go func() {
			answer, _ := rn.pool.Call(ctx, mb.PeerAddress, query)
			pa, ok := answer.(*messenger.PathAnswer)
			answers <- ok && pa.Reaches
		}()
	}
	others := false
	for range peers {
		if others = <-answers; others {
			break
		}
	}
	return others && !<-own
}

// servesOthers implements delegator.Serves.
func (rn *Runner) servesOthers(revision int64) bool {
	return rn.Ready() && !rn.cutOff.Load() && !rn.path.Detached() && rn.Revision() >= revision
}

// ServeDelegated sets the handler that runs the requests of nodes which are cut off from
// the servers. It must be called before Run.
func (rn *Runner) ServeDelegated(hd http.Handler) { rn.delegator.Serve(hd) }

// AwaitDelegated waits until the node runs no request of another node.
func (rn *Runner) AwaitDelegated(ctx context.Context) { rn.delegator.AwaitIdle(ctx) }

// pathDelegate implements dispatcher.Delegate.
type pathDelegate struct{ rn *Runner }

func (pd pathDelegate) CutOff() bool { return pd.rn.cutOff.Load() }

func (pd pathDelegate) Misses(server string) bool { return pd.rn.path.Misses(server) }

func (pd pathDelegate) Open(ctx context.Context, rq delegator.Request) (*http.Response, error) {
	return pd.rn.delegator.Open(ctx, rq)
}
