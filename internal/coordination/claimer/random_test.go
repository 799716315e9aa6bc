package claimer_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/claimer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/network"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/lister"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	worldNodes = 4
	worldStep  = 100 * time.Millisecond
)

// world is nodes with probers and claimers that a random run does things to.
type world struct {
	store   *platform.Memory
	network *network.Network
	nodes   []*resident
	ctx     context.Context
	lives   int
	number  int64
	epoch   int64
	holders map[int64]string
	broken  string
}

type resident struct {
	id, address string
	prober      *prober.Prober
	claimer     *claimer.Claimer
	stop        context.CancelFunc
	epoch       int64
	number      int64
}

// pausing is a store whose answers wait while the node is paused.
type pausing struct {
	storer.Store
	wait func()
}

// Swap implements storer.Store.
func (ps *pausing) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	ps.wait()
	defer ps.wait()
	return ps.Store.Swap(ctx, key, value, revision)
}

// VMs implements prober.VMList.
func (wd *world) VMs(context.Context) ([]lister.VM, error) {
	var vms []lister.VM
	for ix := range worldNodes {
		vms = append(vms, lister.VM{Name: fmt.Sprintf("a%d", ix), Address: fmt.Sprintf("a%d", ix), Kind: lister.KindEntry})
	}
	return vms, nil
}

func newWorld(ctx context.Context) *world {
	wd := &world{
		store: platform.NewMemory(), ctx: ctx, holders: map[int64]string{},
		network: network.New(network.WithDelay(time.Millisecond)), nodes: make([]*resident, worldNodes),
	}
	for ix := range worldNodes {
		wd.start(ix)
	}
	return wd
}

// start starts a new life at an address.
func (wd *world) start(ix int) {
	wd.lives++
	rs := &resident{id: fmt.Sprintf("n%d", wd.lives), address: fmt.Sprintf("a%d", ix)}
	wait := func() { wd.network.Wait(rs.address) }
	presence := func() messenger.Presence {
		wait()
		return messenger.Presence{ID: rs.id, Zone: "z", Region: "r", PeerAddress: rs.address}
	}
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(wd.lives), stream)) }
	caller := wd.network.From(rs.address)
	rs.prober = prober.New(presence, wd, caller, prober.WithRandom(random(1)))
	rs.claimer = claimer.New(&pausing{wd.store, wait}, rs.prober.View, caller, claimer.WithRandom(random(2)))
	wd.network.Listen(rs.address, messenger.HandlerFunc(func(ctx context.Context, call messenger.Message) (messenger.Message, error) {
		if rl, ok := call.(*messenger.Release); ok {
			return rs.claimer.Handle(ctx, rl)
		}
		return rs.prober.Handle(ctx, call)
	}))
	ctx, cancel := context.WithCancel(wd.ctx)
	rs.stop = cancel
	wd.nodes[ix] = rs
	go func() { _ = rs.prober.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			wait()
			_, _ = rs.claimer.Hold(ctx, resource)
			time.Sleep(worldStep)
		}
	}()
}

// action is one thing that happens.
type action struct {
	kind, one, two int
	wait           time.Duration
}

var actions = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
	return action{
		kind: rapid.IntRange(0, 9).Draw(rt, "kind"),
		one:  rapid.IntRange(0, worldNodes-1).Draw(rt, "one"),
		two:  rapid.IntRange(0, worldNodes-1).Draw(rt, "two"),
		wait: time.Duration(rapid.IntRange(0, 60).Draw(rt, "wait")) * worldStep,
	}
}), 5, 30)

func (wd *world) do(ac action) {
	one, two := wd.nodes[ac.one].address, wd.nodes[ac.two].address
	switch ac.kind {
	case 0:
		wd.network.Resume(one)
		wd.network.Kill(one)
		wd.nodes[ac.one].stop()
		wd.start(ac.one)
	case 1:
		wd.network.Pause(one)
	case 2:
		wd.network.Resume(one)
	case 3:
		wd.network.Cut(one, two)
	case 4:
		wd.network.Cut(one, two)
		wd.network.Cut(two, one)
	case 5:
		wd.network.Heal(one, two)
	case 6:
		wd.store.SetDown(true)
	case 7:
		wd.store.SetDown(false)
	case 8:
		wd.store.LoseAnswers(1)
	case 9:
		wd.number++
		wd.nodes[ac.one].prober.Spreader().Publish("configuration", spreader.Version{Epoch: wd.number}, nil)
	}
	for range max(1, ac.wait/worldStep) {
		time.Sleep(worldStep)
		synctest.Wait()
		wd.check()
	}
}

func (wd *world) fail(format string, args ...any) {
	if wd.broken == "" {
		wd.broken = fmt.Sprintf(format, args...)
	}
}

// check compares the invariants with what all nodes say.
func (wd *world) check() {
	for _, rs := range wd.nodes {
		if epoch, ok := rs.claimer.Epoch(resource); ok {
			if holder := wd.holders[epoch]; holder != "" && holder != rs.id {
				wd.fail("epoch %d held by %s and %s", epoch, holder, rs.id)
			}
			if epoch < rs.epoch {
				wd.fail("%s: epoch %d after %d", rs.id, epoch, rs.epoch)
			}
			wd.holders[epoch] = rs.id
			rs.epoch = epoch
			wd.epoch = max(wd.epoch, epoch)
		}
		vn, _, _ := rs.prober.Spreader().Get("configuration")
		if vn.Epoch < rs.number {
			wd.fail("%s: revision %d after %d", rs.id, vn.Epoch, rs.number)
		}
		rs.number = vn.Epoch
	}
}

// heal ends all faults and gives the nodes time to agree.
func (wd *world) heal() {
	wd.store.SetDown(false)
	for _, one := range wd.nodes {
		wd.network.Resume(one.address)
		for _, two := range wd.nodes {
			wd.network.Heal(one.address, two.address)
		}
	}
	const patience = 15 * time.Minute // a node that lost a claim waits for minutes
	for began := time.Now(); time.Since(began) < patience && !wd.agreed(); {
		time.Sleep(worldStep)
		synctest.Wait()
		wd.check()
	}
	if !wd.agreed() {
		wd.fail("no agreement after healing")
	}
}

func (wd *world) agreed() bool {
	held := 0
	for _, rs := range wd.nodes {
		vw := rs.prober.View()
		for _, other := range wd.nodes {
			if mb, ok := vw.Member(other.id); !ok || mb.State != prober.Alive {
				return false
			}
		}
		epoch, ok := rs.claimer.Epoch(resource)
		if ok {
			held++
			if epoch != wd.epoch {
				return false // the former holder learns it from the record
			}
		}
		if vn, _, _ := rs.prober.Spreader().Get("configuration"); vw.Stale() || vn.Epoch != wd.number && wd.known(vn.Epoch) {
			return false
		}
	}
	return held == 1
}

// known reports whether some node has a newer number than this one; a number
// that only a killed node had is lost.
func (wd *world) known(number int64) bool {
	for _, rs := range wd.nodes {
		if vn, _, _ := rs.prober.Spreader().Get("configuration"); vn.Epoch > number {
			return true
		}
	}
	return false
}

func TestRandomFaultsKeepOneHolderPerEpochAndHealToOneView(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		require.NoError(t, flag.Set("rapid.seed", "11"))
		require.NoError(t, flag.Set("rapid.checks", "40"))
	}
	checker.Reset()
	rapid.Check(t, func(rt *rapid.T) {
		all := actions.Draw(rt, "actions")
		broken := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			wd := newWorld(ctx)
			for _, ac := range all {
				wd.do(ac)
			}
			wd.heal()
			broken = wd.broken
			cancel()
			time.Sleep(time.Minute) // all goroutines end
		})
		if broken != "" {
			rt.Fatal(broken)
		}
	})
	require.Empty(t, checker.Violations())
}
