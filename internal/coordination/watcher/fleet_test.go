package watcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/cluster"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

// fleet is a cluster of nodes with watchers and admitters, in virtual time and
// without a store. Its backend servers are only reports.
type fleet struct {
	*cluster.Cluster
	t        *testing.T
	settings *configurer.Settings
	nodes    []*node

	mu      sync.Mutex
	servers map[string]*backend
}

type node struct {
	*cluster.Node
	watch    *watcher.Watcher
	exchange *watcher.Exchange
	admit    *admitter.Admitter
	stop     context.CancelFunc
}

// backend is a simulated backend server.
type backend struct {
	report watcher.Report
	down   bool
	// readers counts the polls by node.
	readers  map[string]int
	lastWork time.Time
	// works counts the requests.
	works int
}

func newFleet(t *testing.T, nodes, servers int) *fleet {
	checker.Reset()
	fl := &fleet{Cluster: cluster.New(), t: t, servers: map[string]*backend{}}
	var text strings.Builder
	text.WriteString("[caller.desk]\nkey-sha256 = " + strings.Repeat("ab", 32) + "\nquota = 1000000\nburst = 1000000\n" +
		"[class.c]\nrank = 0\n[model.m]\nmemory = 1GiB\nmin-replicas = 1\n[engine-kind.k]\nchecks-fencing = yes\n")
	for ix := range servers {
		name := fmt.Sprintf("w%04d", ix)
		fmt.Fprintf(&text, "[backend-server.%s]\nkind = k\naddress = 10.1.%d.%d:80\nzone = zone-a\nmemory = 80GiB\nslots = 16\n", name, ix/250, ix%250)
		fl.servers[name] = &backend{
			report:  watcher.Report{Server: name, BootID: name + "-1", Models: models(ix)},
			readers: map[string]int{},
		}
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "10.ini", Text: text.String()}})
	require.Empty(t, faults)
	fl.settings = st
	for range nodes {
		fl.add()
	}
	return fl
}

// models returns the ten models of a server; every server has the model m.
func models(ix int) map[string]string {
	all := map[string]string{"m": "2026-10"}
	for jx := range 9 {
		all[fmt.Sprintf("route-summary-%03d", (ix*9+jx)%650)] = "2026-10"
	}
	return all
}

func (fl *fleet) add() *node {
	ix := len(fl.nodes)
	id := fmt.Sprintf("entry-%03d", ix)
	nd := &node{exchange: watcher.NewExchange(id)}
	nd.Node = fl.Start(fl.t.Context(), id, fmt.Sprintf("10.0.0.%d:7", ix), "r", cluster.WithSetup(func(*cluster.Node) messenger.HandlerFunc {
		return func(_ context.Context, call messenger.Message) (messenger.Message, error) {
			if ld, ok := call.(*messenger.LoadDigest); ok {
				return nd.exchange.Answer(time.Now(), ld), nil
			}
			return nil, prober.ErrUnhandled
		}
	}))
	nd.watch = watcher.New(
		watcher.WithExchange(nd.exchange),
		watcher.WithOwns(func(server string) bool { return nd.View().OwnsServer(server) }),
		watcher.WithGossiper(nd.Gossiper()),
		watcher.WithListedLeaving(nd.LeavingBackends),
		watcher.WithListReadCount(nd.ListReadCount),
		watcher.WithRandom(rand.New(rand.NewPCG(uint64(ix), 3))),
		watcher.WithRead(func(_ context.Context, bs *configurer.BackendServer) (watcher.Report, error) {
			return fl.read(id, bs)
		}),
	)
	nd.admit = admitter.New(nd.watch, ejector.New(), rand.New(rand.NewPCG(uint64(ix), 4)),
		admitter.WithNodes(func() int { return len(nd.View().Members()) }))
	var ctx context.Context
	ctx, nd.stop = context.WithCancel(fl.t.Context())
	go func() { _ = nd.watch.Run(ctx, func() *configurer.Settings { return fl.settings }) }()
	go fl.control(ctx, nd)
	fl.nodes = append(fl.nodes, nd)
	return nd
}

// control runs the node's periodic work.
func (fl *fleet) control(ctx context.Context, nd *node) {
	tk := time.NewTicker(250 * time.Millisecond)
	defer tk.Stop()
	for ctx.Err() == nil {
		nd.admit.Refresh(fl.settings)
		nd.exchange.Round(ctx, time.Now, nd.admit.Outstanding(), nd.View().ServerOwner, nd.Caller)
		select {
		case <-ctx.Done():
		case <-tk.C:
		}
	}
}

func (fl *fleet) read(reader string, bs *configurer.BackendServer) (watcher.Report, error) {
	time.Sleep(time.Millisecond)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	be := fl.servers[bs.Name()]
	be.readers[reader]++
	if be.down {
		return watcher.Report{}, errors.New("unreachable")
	}
	rp := be.report
	rp.Address, rp.Taken = bs.Address(), time.Now()
	return rp, nil
}

// change modifies a server.
func (fl *fleet) change(name string, edit func(*backend)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	edit(fl.servers[name])
}

// work makes a node send a request in every interval until its context ends.
func (fl *fleet) work(nd *node, interval time.Duration) {
	ctx, cancel := context.WithCancel(fl.t.Context())
	stop := nd.stop
	nd.stop = func() { cancel(); stop() }
	cr, _ := fl.settings.Caller("desk")
	cs, _ := fl.settings.Class("c")
	md, _ := fl.settings.Model("m")
	go func() {
		for ctx.Err() == nil {
			time.Sleep(interval)
			tk := &admitter.Ticket{Caller: cr, Class: cs, Model: md, MaxTokens: 4, Deadline: time.Now().Add(time.Minute)}
			gr, rf := nd.admit.Admit(ctx, fl.settings, tk)
			if rf != nil {
				continue
			}
			fl.change(gr.Server(), func(be *backend) { be.lastWork = time.Now(); be.works++ })
			time.AfterFunc(100*time.Millisecond, func() { gr.Done(admitter.Result{}) })
		}
	}()
}

// await waits until the condition holds, at most limit, and returns the time
// that took.
func (fl *fleet) await(limit time.Duration, holds func() bool) time.Duration {
	const step = 10 * time.Millisecond
	began := time.Now()
	for !holds() {
		require.Less(fl.t, time.Since(began), limit, "condition did not come true")
		time.Sleep(step)
		synctest.Wait()
	}
	return time.Since(began)
}

// known reports whether a node sees all servers as ready.
func (fl *fleet) known(nd *node) bool {
	return len(nd.watch.Snapshot().Replicas("m")) == len(fl.servers)
}

func (fl *fleet) allKnown() bool {
	for _, nd := range fl.nodes {
		if !fl.known(nd) {
			return false
		}
	}
	return true
}

// allSee returns a condition that holds when every node's last report of a
// server is as wanted.
func (fl *fleet) allSee(server string, wanted func(watcher.Report) bool) func() bool {
	return func() bool {
		for _, nd := range fl.nodes {
			if rp, ok := nd.watch.Snapshot().Report(server); !ok || !wanted(rp) {
				return false
			}
		}
		return true
	}
}

// owner returns the node that owns a server.
func (fl *fleet) owner(server string) *node {
	mb, _ := fl.nodes[0].View().Owner("worker/" + server)
	for _, nd := range fl.nodes {
		if nd.ID == mb.ID {
			return nd
		}
	}
	return nil
}

// ownerAndUser returns the server's owner and another node, which has used the
// server for 3 seconds.
func (fl *fleet) ownerAndUser(server string) (owner, user *node) {
	owner, user = fl.owner(server), fl.nodes[0]
	if user == owner {
		user = fl.nodes[1]
	}
	fl.work(user, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	return owner, user
}

func (fl *fleet) kill(nd *node) {
	nd.stop()
	fl.Kill(nd.Node)
	for ix, other := range fl.nodes {
		if other == nd {
			fl.nodes = append(fl.nodes[:ix:ix], fl.nodes[ix+1:]...)
		}
	}
}

func (fl *fleet) end() {
	for _, nd := range fl.nodes {
		nd.stop()
		nd.Stop()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	require.Empty(fl.t, checker.Violations())
}

// listAsLeaving adds a server to the platform's list as leaving.
func (fl *fleet) listAsLeaving(name string) {
	fl.EditVMs(func(vms []vmlister.VM) []vmlister.VM {
		return append(vms, vmlister.VM{Name: name, Kind: vmlister.KindBackend, State: vmlister.StateLeaving})
	})
}
