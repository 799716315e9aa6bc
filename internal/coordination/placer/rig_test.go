package placer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/claimer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/placer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/network"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// placement is a model on a server.
type placement struct{ model, server string }

// rig runs several placers over one store, and simulated servers that carry out
// the newest plan as the orderer would: at most one load per server and step,
// and never an unload of a model's last replica.
type rig struct {
	t        testing.TB
	store    *platform.Memory
	network  *network.Network
	settings *configurer.Settings
	nodes    []*node
	demand   planner.Demand
	// serves holds the loaded replicas.
	serves   map[placement]bool
	unusable map[string]bool
	// silent is Situation.Silent.
	silent func(server string) bool
	// batches holds the batch of each plan that came into force, by number.
	batches map[int64]string
	// last is the last plan that came into force, and moves counts the moves up
	// to it.
	last  *planner.Plan
	moves int
}

type node struct {
	*placer.Placer
	id        string
	dead      bool
	view      *prober.View
	gossip    *gossiper.Gossiper
	count     *counter.Registry
	storeLink *storeLink
}

// storeLink connects a node to the store. While losesAnswers is set, calls fail
// but writes take effect.
type storeLink struct {
	storer.Store
	losesAnswers bool
}

// Get implements storer.Store.
func (ln *storeLink) Get(ctx context.Context, key string) (storer.Entry, error) {
	if ln.losesAnswers {
		return storer.Entry{}, &storer.Error{Op: "get", Key: key, Kind: storer.Unavailable}
	}
	return ln.Store.Get(ctx, key)
}

// Swap implements storer.Store.
func (ln *storeLink) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	written, err := ln.Store.Swap(ctx, key, value, revision)
	if ln.losesAnswers {
		return 0, &storer.Error{Op: "swap", Key: key, Kind: storer.Uncertain}
	}
	return written, err
}

func newSettings(tb testing.TB, servers, models, memory, replicas int, overrides ...string) *configurer.Settings {
	var text strings.Builder
	text.WriteString("[engine-kind.k]\nchecks-fencing = yes\n[planning]\nmove-weight = 1\nattainment-weight = 4\nmoves-per-hour = 1000\n")
	for ix := range servers {
		fmt.Fprintf(&text, "[backend-server.w%d]\nkind = k\naddress = 127.0.0.1:%d\nzone = zone-%d\nmemory = 64GiB\nslots = 16\n", ix, ix+1, ix%3)
	}
	for ix := range models {
		fmt.Fprintf(&text, "[model.m%02d]\nmemory = %dGiB\nmax-replicas = %d\n", ix, memory, replicas)
	}
	files := []configurer.File{{Name: "fleet.ini", Text: text.String()}}
	for ix, more := range overrides {
		files = append(files, configurer.File{Name: fmt.Sprintf("refine-%d.ini", ix), Text: more})
	}
	st, faults := configurer.Parse(files)
	require.Empty(tb, faults)
	return st
}

func newRig(t testing.TB, nodes int, st *configurer.Settings) *rig {
	log.SetHandler(discard.Default)
	checker.Reset()
	rg := &rig{
		t: t, store: platform.NewMemory(), network: network.New(), settings: st,
		demand: planner.Demand{}, serves: map[placement]bool{}, unusable: map[string]bool{}, batches: map[int64]string{},
	}
	for range nodes {
		rg.add(nil)
	}
	return rg
}

// add starts a node. If claims is nil, the node gets a claimer of its own.
func (rg *rig) add(claims placer.Claims) *node {
	nd := &node{id: fmt.Sprintf("n%d", len(rg.nodes)), gossip: gossiper.New(), count: counter.NewRegistry(), storeLink: &storeLink{Store: rg.store}}
	view := func() *prober.View { return nd.view }
	seed := uint64(len(rg.nodes))
	release := func(context.Context, messenger.Message) (messenger.Message, error) { return nil, placer.ErrUnexpected }
	if claims == nil {
		cl := claimer.New(rg.store, view, rg.network.From(nd.id), claimer.WithRandom(rand.New(rand.NewPCG(seed, 1))))
		claims = cl
		release = func(ctx context.Context, call messenger.Message) (messenger.Message, error) {
			return cl.Handle(ctx, call.(*messenger.Release))
		}
	}
	nd.Placer = placer.New(nd.id, nd.storeLink, claims, view, rg.network.From(nd.id), nd.gossip,
		placer.WithRandom(rand.New(rand.NewPCG(seed, 2))), placer.WithRegistry(nd.count))
	rg.network.Listen(nd.id, messenger.HandlerFunc(func(ctx context.Context, call messenger.Message) (messenger.Message, error) {
		if _, ok := call.(*messenger.Release); ok {
			return release(ctx, call)
		}
		return nd.Handle(call)
	}))
	rg.nodes = append(rg.nodes, nd)
	rg.updateViews()
	return nd
}

// updateViews gives all nodes a view with the current state of each node.
func (rg *rig) updateViews() {
	var members []prober.Member
	for _, nd := range rg.nodes {
		mb := prober.Member{ID: nd.id, PeerAddress: nd.id, State: prober.Alive}
		if nd.dead {
			mb.State = prober.Dead
		}
		members = append(members, mb)
	}
	for _, nd := range rg.nodes {
		nd.view = prober.NewView(nd.id, members)
	}
}

// kill stops the node and marks it as dead in the views of all nodes.
func (rg *rig) kill(nd *node) {
	nd.dead = true
	rg.network.Kill(nd.id)
	rg.updateViews()
}

// holder returns the node that should hold the plan.
func (rg *rig) holder() *node {
	for _, nd := range rg.nodes {
		if !nd.dead && nd.view.Owns(placer.Resource) {
			return nd
		}
	}
	return nil
}

func (rg *rig) alive() (all []*node) {
	for _, nd := range rg.nodes {
		if !nd.dead {
			all = append(all, nd)
		}
	}
	return all
}

func (rg *rig) situation() placer.Situation {
	return placer.Situation{
		Settings: rg.settings,
		Usable:   func(server string) bool { return !rg.unusable[server] },
		Silent:   rg.silent,
		Serving:  func(model, server string) bool { return rg.serves[placement{model, server}] },
		ReportedModels: func(server string) (all []string) {
			for _, md := range rg.settings.Models() {
				if rg.serves[placement{md.Name(), server}] {
					all = append(all, md.Name())
				}
			}
			return all
		},
		Demand: func() planner.Demand {
			part := planner.Demand{}
			for model, load := range rg.demand {
				part[model] = load / float64(len(rg.alive()))
			}
			return part
		},
	}
}

// tick runs one node and records the plan that it has in force. It fails if two
// plans have the same number.
func (rg *rig) tick(nd *node) {
	nd.Tick(rg.t.Context(), time.Now(), rg.situation())
	rc := nd.Current()
	if rc == nil {
		return
	}
	if batch, ok := rg.batches[rc.Number()]; ok {
		require.Equal(rg.t, batch, rc.Batch(), "one plan of each number")
		return
	}
	rg.batches[rc.Number()] = rc.Batch()
	if rg.last != nil {
		rg.moves += rc.Plan().Moves(rg.last)
	}
	rg.last = rc.Plan()
}

// run runs all nodes and servers for a number of seconds.
func (rg *rig) run(seconds int) {
	for range seconds {
		for _, nd := range rg.alive() {
			rg.tick(nd)
		}
		rg.exchangeGossip()
		rg.applyPlan()
		time.Sleep(time.Second)
	}
}

func (rg *rig) exchangeGossip() {
	for _, from := range rg.alive() {
		vn, payload, ok := from.gossip.Get("plan")
		for _, to := range rg.alive() {
			if ok {
				to.gossip.Publish("plan", vn, payload)
			}
		}
	}
}

// newest returns the newest plan in force on a live node, or nil.
func (rg *rig) newest() *planner.Plan {
	var newest *planner.Record
	for _, nd := range rg.alive() {
		if rc := nd.Current(); rc != nil && rc.Newer(newest) {
			newest = rc
		}
	}
	if newest == nil {
		return nil
	}
	return newest.Plan()
}

func (rg *rig) applyPlan() {
	pl := rg.newest()
	if pl == nil {
		return
	}
	for _, bs := range rg.settings.BackendServers() {
		if !rg.unusable[bs.Name()] {
			rg.unload(pl, bs)
			rg.load(pl, bs)
		}
	}
}

func (rg *rig) unload(pl *planner.Plan, bs *configurer.BackendServer) {
	for _, md := range rg.settings.Models() {
		at := placement{md.Name(), bs.Name()}
		if !slices.Contains(pl.Models(bs.Name()), md.Name()) && rg.serves[at] && rg.servingReplicas(md.Name()) > 1 {
			delete(rg.serves, at)
		}
	}
}

func (rg *rig) load(pl *planner.Plan, bs *configurer.BackendServer) {
	left := bs.WeightMemory()
	for _, md := range rg.settings.Models() {
		if rg.serves[placement{md.Name(), bs.Name()}] {
			left -= md.Memory()
		}
	}
	for _, model := range pl.Models(bs.Name()) {
		md, _ := rg.settings.Model(model)
		if at := (placement{model, bs.Name()}); !rg.serves[at] && md.Memory() <= left {
			rg.serves[at] = true
			return
		}
	}
}

func (rg *rig) servingReplicas(model string) int {
	count := 0
	for at := range rg.serves {
		if at.model == model && !rg.unusable[at.server] {
			count++
		}
	}
	return count
}

// requireReached checks that the servers have loaded the newest plan and that
// no invariant was violated.
func (rg *rig) requireReached() {
	pl := rg.newest()
	for _, bs := range rg.settings.BackendServers() {
		for _, model := range pl.Models(bs.Name()) {
			require.True(rg.t, rg.serves[placement{model, bs.Name()}], "%s on %s", model, bs.Name())
		}
	}
	require.Empty(rg.t, checker.Violations())
}
