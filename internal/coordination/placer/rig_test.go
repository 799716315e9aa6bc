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
	"github.com/lagoonpass/lagoonpass/internal/coordination/placer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/network"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// place is a model on a server.
type place struct{ model, server string }

// rig is placers over one store, and servers that follow the newest plan as
// the orderer would: one load a server and step, and no last replica given up.
type rig struct {
	t        testing.TB
	store    *platform.Memory
	network  *network.Network
	settings *configurer.Settings
	nodes    []*node
	demand   planner.Demand
	serves   map[place]bool
	unusable map[string]bool
	// silent overrides which servers do not answer; nil means the unusable ones.
	silent  func(server string) bool
	batches map[int64]string
	last    *planner.Plan
	moves   int
}

type node struct {
	*placer.Placer
	id     string
	dead   bool
	view   *prober.View
	spread *spreader.Spreader
	count  *counter.Registry
	link   *link
}

// link is a node's way to the store. Once it is deaf no answer comes back,
// though writes take effect.
type link struct {
	storer.Store
	deaf bool
}

// Get implements storer.Store.
func (ln *link) Get(ctx context.Context, key string) (storer.Entry, error) {
	if ln.deaf {
		return storer.Entry{}, &storer.Error{Op: "get", Key: key, Kind: storer.Unavailable}
	}
	return ln.Store.Get(ctx, key)
}

// Swap implements storer.Store.
func (ln *link) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	written, err := ln.Store.Swap(ctx, key, value, revision)
	if ln.deaf {
		return 0, &storer.Error{Op: "swap", Key: key, Kind: storer.Uncertain}
	}
	return written, err
}

func fleet(tb testing.TB, servers, models, memory, replicas int, refine ...string) *configurer.Settings {
	var text strings.Builder
	text.WriteString("[engine-kind.k]\nchecks-fencing = yes\n[planning]\nmove-weight = 1\nattainment-weight = 4\nmoves-per-hour = 1000\n")
	for ix := range servers {
		fmt.Fprintf(&text, "[backend-server.w%d]\nkind = k\naddress = 127.0.0.1:%d\nzone = zone-%d\nmemory = 64GiB\nslots = 16\n", ix, ix+1, ix%3)
	}
	for ix := range models {
		fmt.Fprintf(&text, "[model.m%02d]\nmemory = %dGiB\nmax-replicas = %d\n", ix, memory, replicas)
	}
	files := []configurer.File{{Name: "fleet.ini", Text: text.String()}}
	for ix, more := range refine {
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
		demand: planner.Demand{}, serves: map[place]bool{}, unusable: map[string]bool{}, batches: map[int64]string{},
	}
	for range nodes {
		rg.add(nil)
	}
	return rg
}

// add starts a node, with a claimer of its own unless one is given.
func (rg *rig) add(claims placer.Claims) *node {
	nd := &node{id: fmt.Sprintf("n%d", len(rg.nodes)), spread: spreader.New(), count: counter.NewRegistry(), link: &link{Store: rg.store}}
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
	nd.Placer = placer.New(nd.id, nd.link, claims, view, rg.network.From(nd.id), nd.spread,
		placer.WithRandom(rand.New(rand.NewPCG(seed, 2))), placer.WithRegistry(nd.count))
	rg.network.Listen(nd.id, messenger.HandlerFunc(func(ctx context.Context, call messenger.Message) (messenger.Message, error) {
		if _, ok := call.(*messenger.Release); ok {
			return release(ctx, call)
		}
		return nd.Handle(call)
	}))
	rg.nodes = append(rg.nodes, nd)
	rg.see()
	return nd
}

// see gives all nodes the same view.
func (rg *rig) see() {
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

// kill ends the node; the others notice.
func (rg *rig) kill(nd *node) {
	nd.dead = true
	rg.network.Kill(nd.id)
	rg.see()
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
		Serving:  func(model, server string) bool { return rg.serves[place{model, server}] },
		Held: func(server string) (all []string) {
			for _, md := range rg.settings.Models() {
				if rg.serves[place{md.Name(), server}] {
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

// tick runs one node and notes the plan that it has in force.
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

// run lets seconds pass.
func (rg *rig) run(seconds int) {
	for range seconds {
		for _, nd := range rg.alive() {
			rg.tick(nd)
		}
		rg.gossip()
		rg.follow()
		time.Sleep(time.Second)
	}
}

func (rg *rig) gossip() {
	for _, from := range rg.alive() {
		vn, payload, ok := from.spread.Get("plan")
		for _, to := range rg.alive() {
			if ok {
				to.spread.Publish("plan", vn, payload)
			}
		}
	}
}

// newest returns the newest plan that a living node has in force.
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

func (rg *rig) follow() {
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
		at := place{md.Name(), bs.Name()}
		if !slices.Contains(pl.Models(bs.Name()), md.Name()) && rg.serves[at] && rg.serving(md.Name()) > 1 {
			delete(rg.serves, at)
		}
	}
}

func (rg *rig) load(pl *planner.Plan, bs *configurer.BackendServer) {
	left := bs.WeightMemory()
	for _, md := range rg.settings.Models() {
		if rg.serves[place{md.Name(), bs.Name()}] {
			left -= md.Memory()
		}
	}
	for _, model := range pl.Models(bs.Name()) {
		md, _ := rg.settings.Model(model)
		if at := (place{model, bs.Name()}); !rg.serves[at] && md.Memory() <= left {
			rg.serves[at] = true
			return
		}
	}
}

func (rg *rig) serving(model string) int {
	count := 0
	for at := range rg.serves {
		if at.model == model && !rg.unusable[at.server] {
			count++
		}
	}
	return count
}

// requireReached checks that the servers hold what the plan says.
func (rg *rig) requireReached() {
	pl := rg.newest()
	for _, bs := range rg.settings.BackendServers() {
		for _, model := range pl.Models(bs.Name()) {
			require.True(rg.t, rg.serves[place{model, bs.Name()}], "%s on %s", model, bs.Name())
		}
	}
	require.Empty(rg.t, checker.Violations())
}
