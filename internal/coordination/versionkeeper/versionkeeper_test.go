package versionkeeper_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	prefix = "own/"
	// viewLag is how far the nodes' copies of the servers are behind.
	viewLag = 500 * time.Millisecond
	// lifetime is the longest time from the first event of a stream to its taking up.
	lifetime = 10 * time.Second
)

var errCut = errors.New("cut off")

// node is a node of the fleet and what it knows of the servers.
type node struct {
	keeper *versionkeeper.Keeper
	// current is when its copy of the servers was taken, in Unix nanoseconds.
	current atomic.Int64
	cut     bool
	stop    context.CancelFunc
	starts  int
}

// fleet is nodes that call each other directly, with one pool of servers.
type fleet struct {
	t     *testing.T
	store *platform.Keyspace
	mu    sync.Mutex
	nodes map[string]*node
	// processes are the servers that are registered, and routes those of the
	// configuration in force.
	processes []versionkeeper.Process
	routes    []versionkeeper.Route
}

// Call implements versionkeeper.Caller for the node that the link belongs to.
func (ln link) Call(_ context.Context, address string, call messenger.Message) (messenger.Message, error) {
	ln.fleet.mu.Lock()
	from, to := ln.fleet.nodes[ln.from], ln.fleet.nodes[address]
	cut, keeper := from.cut || to.cut || from.starts != ln.starts, to.keeper
	ln.fleet.mu.Unlock()
	if cut {
		return nil, errCut
	}
	return keeper.Handle(call), nil
}

// link is the connections of one node.
type link struct {
	fleet *fleet
	from  string
	// starts is the number of the process; a former one reaches nobody.
	starts int
}

func newFleet(t *testing.T, count int) *fleet {
	log.SetLevel(log.FatalLevel)
	fl := &fleet{t: t, store: platform.NewKeyspace(), nodes: map[string]*node{}, routes: []versionkeeper.Route{route("/s/", "p")}}
	for ix := range count {
		fl.nodes[fmt.Sprint("n", ix)] = &node{}
	}
	return fl
}

// start starts a node, or starts it again without memory.
func (fl *fleet) start(name string) {
	fl.mu.Lock()
	nd := fl.nodes[name]
	nd.starts++
	self := fmt.Sprint(name, "/", nd.starts)
	fl.mu.Unlock()
	if nd.stop != nil {
		nd.stop()
	}
	ctx, cancel := context.WithCancel(fl.t.Context())
	members := func() (all []prober.Member) {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		for other, member := range fl.nodes {
			all = append(all, prober.Member{ID: fmt.Sprint(other, "/", member.starts), PeerAddress: other, Zone: "z" + other[1:]})
		}
		return all
	}
	age := func() time.Duration { return time.Since(time.Unix(0, nd.current.Load())) }
	kp := versionkeeper.New(link{fl, name, nd.starts}, self, members, versionkeeper.WithAge(age),
		versionkeeper.WithStore(fl.store, prefix, func() bool { return fl.leader() == name }))
	fl.mu.Lock()
	nd.keeper, nd.stop, nd.cut = kp, cancel, false
	fl.mu.Unlock()
	fl.sync(name)
	go func() { _ = kp.Run(ctx) }()
}

// leader returns the first node that is not cut off.
func (fl *fleet) leader() string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for ix := range len(fl.nodes) {
		if name := fmt.Sprint("n", ix); !fl.nodes[name].cut {
			return name
		}
	}
	return ""
}

// sync gives the node the servers and marks of now, unless it is cut off.
func (fl *fleet) sync(name string) {
	nd := fl.nodes[name]
	if nd.cut {
		return
	}
	entries, _, err := fl.store.Snapshot(fl.t.Context(), prefix)
	require.NoError(fl.t, err)
	nd.keeper.Replace(entries)
	now := time.Now()
	nd.current.Store(now.UnixNano())
	nd.keeper.Configure(now, fl.routes)
	nd.keeper.Update(now, fl.processes)
}

func (fl *fleet) syncAll() {
	for name := range fl.nodes {
		fl.sync(name)
	}
}

// startAll starts all nodes again without memory.
func (fl *fleet) startAll() {
	for name := range fl.nodes {
		fl.start(name)
	}
}

// follow has all nodes follow the store for a time.
func (fl *fleet) follow(length time.Duration) {
	for range length / time.Second {
		time.Sleep(time.Second)
		fl.syncAll()
	}
}

// forgetRecords removes what the store knows of pools with one version.
func (fl *fleet) forgetRecords() {
	entries, _, err := fl.store.Snapshot(fl.t.Context(), prefix+"software/")
	require.NoError(fl.t, err)
	var keys []string
	for _, en := range entries {
		keys = append(keys, en.Key)
	}
	_, err = fl.store.Commit(fl.t.Context(), storer.Transaction{Deletes: keys})
	require.NoError(fl.t, err)
	fl.syncAll()
}

func (fl *fleet) setCut(name string, cut bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.nodes[name].cut = cut
}

func process(server, software string, incarnation int64) versionkeeper.Process {
	return versionkeeper.Process{Server: server, Pool: "p", Software: software, Incarnation: incarnation}
}

func route(prefix string, pools ...string) versionkeeper.Route {
	return versionkeeper.Route{Host: "h", Prefix: prefix, Pools: pools}
}

// find asks the node where a stream began, and returns "" if it does not know.
func (fl *fleet) find(name, id string) string {
	origin, ok := fl.nodes[name].keeper.Find(fl.t.Context(), id, fl.routes[0])
	if !ok {
		return ""
	}
	return origin.Software
}

// A node took up streams of a lost or unreachable node at any version.
func TestOriginIsFoundOrUnknown(t *testing.T) {
	for name, tc := range map[string]struct {
		began func(fl *fleet) // before the stream is taken up at n1
		want  string
	}{
		"one version, told to nobody": {func(fl *fleet) {
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
		}, "v1"},
		"two versions, the node is lost": {func(fl *fleet) {
			fl.processes = append(fl.processes, process("w2", "v2", 1))
			fl.syncAll()
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			time.Sleep(time.Second)
			fl.start("n0")
		}, "v1"},
		"the second version came after the stream, and the node is lost": {func(fl *fleet) {
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			fl.processes = append(fl.processes, process("w2", "v2", 1))
			fl.syncAll()
			time.Sleep(time.Second)
			fl.start("n0")
		}, "v1"},
		"two versions, lost before it told": {func(fl *fleet) {
			fl.processes = append(fl.processes, process("w2", "v2", 1))
			fl.syncAll()
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			fl.start("n0")
		}, ""},
		"the asking node has not heard of the second version": {func(fl *fleet) {
			fl.processes = append(fl.processes, process("w2", "v2", 1))
			fl.sync("n0")
			fl.nodes["n0"].keeper.Began("s", process("w2", "v2", 1))
			time.Sleep(100 * time.Millisecond)
		}, "v2"},
		"the asking node is cut off": {func(fl *fleet) {
			fl.setCut("n1", true)
			time.Sleep(10 * time.Second)
		}, ""},
		"all nodes were lost after the former version had gone": {func(fl *fleet) {
			fl.processes = append(fl.processes, process("w2", "v2", 1))
			fl.syncAll()
			time.Sleep(time.Second)
			fl.processes = fl.processes[1:]
			fl.syncAll()
			for ix := range fl.nodes {
				fl.start(ix)
			}
		}, ""},
		"all nodes were lost with one version": {func(fl *fleet) {
			time.Sleep(time.Second)
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			fl.startAll()
		}, "v1"},
		"all nodes were lost twice with one version": {func(fl *fleet) {
			time.Sleep(time.Second)
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			fl.startAll()
			time.Sleep(2 * time.Second)
			fl.startAll()
		}, "v1"},
		"all nodes were lost while all servers changed their version": {func(fl *fleet) {
			time.Sleep(time.Second)
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			fl.processes[0] = process("w1", "v2", 2)
			fl.startAll()
			time.Sleep(time.Second)
		}, ""},
		"all nodes were lost before the leader recorded the version": {func(fl *fleet) {
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			fl.startAll()
		}, ""},
		"only the asking node has just started, and the version is not recorded": {func(fl *fleet) {
			fl.follow(130 * time.Second)
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			fl.start("n0")
			fl.start("n1")
			fl.forgetRecords()
		}, "v1"},
		"all others have just started as well, and the version is not recorded": {func(fl *fleet) {
			fl.follow(130 * time.Second)
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			fl.startAll()
			fl.forgetRecords()
		}, ""},
		"the asking node has just started and reaches no other, the mark is not written": {func(fl *fleet) {
			fl.processes = append(fl.processes, process("w2", "v2", 1))
			fl.syncAll()
			fl.nodes["n0"].keeper.Began("s", process("w2", "v2", 1))
			fl.processes = fl.processes[:1]
			fl.start("n1")
			for _, other := range []string{"n0", "n2", "n3"} {
				fl.setCut(other, true)
			}
		}, ""},
		"the asking node has seen one version for long and reaches no other": {func(fl *fleet) {
			fl.follow(130 * time.Second)
			fl.nodes["n0"].keeper.Began("s", process("w1", "v1", 1))
			for _, other := range []string{"n0", "n2", "n3"} {
				fl.setCut(other, true)
			}
		}, "v1"},
		"the server was started again at the other version": {func(fl *fleet) {
			fl.nodes["n1"].keeper.Began("s", process("w1", "v1", 1))
			fl.processes[0] = process("w1", "v2", 2)
			fl.syncAll()
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 4)
				fl.processes = []versionkeeper.Process{process("w1", "v1", 1)}
				for ix := range fl.nodes {
					fl.start(ix)
				}
				tc.began(fl)
				require.Equal(t, tc.want, fl.find("n1", "s"))
			})
		})
	}
}

// A stream was taken to have begun at the version of the former process of a server that
// had started again under its id, since the new one was not registered yet.
func TestOnlyConnectionsOlderThanTheCopyAreCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2)
		fl.processes = []versionkeeper.Process{process("w1", "v1", 1)}
		fl.start("n0")
		kp := fl.nodes["n0"].keeper
		require.True(t, kp.Certain("p", time.Now()), "there is one version")
		time.Sleep(2 * time.Second)
		require.False(t, kp.Certain("p", time.Now()), "the copy is old")
		require.False(t, kp.Certain("p", time.Now().Add(-2*time.Second)))
		require.True(t, kp.Certain("p", time.Now().Add(-4*time.Second)))
		fl.processes = append(fl.processes, process("w2", "v2", 1))
		fl.sync("n0")
		require.False(t, kp.Certain("p", time.Now()), "there are two versions")
		require.True(t, kp.Certain("p", time.Now().Add(-4*time.Second)))
	})
}

// A pool stayed marked for ever, or lost its mark while streams could be taken up.
func TestMarkOfPoolLastsAsLongAsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2)
		marks := func() int {
			entries, _, err := fl.store.Snapshot(t.Context(), prefix+"mixed/")
			require.NoError(t, err)
			return len(entries)
		}
		fl.processes = []versionkeeper.Process{process("w1", "v1", 1), process("w2", "v2", 1)}
		fl.start("n0")
		fl.start("n1")
		time.Sleep(time.Second)
		require.Equal(t, 1, marks())
		fl.processes = fl.processes[1:]
		fl.syncAll()
		fl.follow(30 * time.Second)
		require.Equal(t, 1, marks())
		// A leader that has started and has no copy of the servers yet knows of no pool.
		starting := versionkeeper.New(link{fl, "n0", 1}, "n2", func() []prober.Member { return nil },
			versionkeeper.WithStore(fl.store, prefix, func() bool { return true }))
		entries, _, err := fl.store.Snapshot(t.Context(), prefix)
		require.NoError(t, err)
		starting.Replace(entries)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.NoError(t, starting.Run(ctx))
		require.Equal(t, 1, marks())
		time.Sleep(2 * time.Minute)
		fl.follow(2 * time.Second)
		require.Equal(t, 1, marks(), "the leader has not followed the servers meanwhile")
		fl.follow(2 * time.Minute)
		require.Zero(t, marks())
	})
}

// The record of a pool stayed at a version that had gone, or followed the servers before
// the streams of the former version had ended.
func TestRecordFollowsThePoolOnceStreamsHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2)
		record := func() string {
			entries, _, err := fl.store.Snapshot(t.Context(), prefix+"software/")
			require.NoError(t, err)
			text := ""
			for _, en := range entries {
				text += en.Key + "=" + string(en.Value)
			}
			return text
		}
		fl.processes = []versionkeeper.Process{process("w1", "v1", 1)}
		fl.startAll()
		fl.follow(time.Second)
		require.Equal(t, "own/software/p=v1", record())
		fl.processes[0] = process("w1", "v2", 2)
		fl.startAll()
		fl.follow(100 * time.Second)
		require.Equal(t, "own/software/p=v1", record(), "streams of v1 may still be taken up")
		fl.follow(30 * time.Second)
		require.Equal(t, "own/software/p=v2", record())
		fl.processes = nil
		fl.follow(150 * time.Second)
		require.Empty(t, record(), "the pool has had no servers for long")
	})
}

// stream is a stream that broke off.
type stream struct {
	id, software string
	began        time.Time
}

// A fleet in which versions come and go, and nodes lag, are cut off and start again,
// lets no stream go on at another version, and most of those at sound nodes go on.
func TestStreamsKeepTheirVersionUnderRandomFaults(t *testing.T) {
	goneOn, takenUp := 0, 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			fl := newFleet(t, 5)
			fl.processes = []versionkeeper.Process{process("w0", "v0", 1), process("w1", "v0", 1), process("w2", "v0", 1)}
			for name := range fl.nodes {
				fl.start(name)
			}
			names := []string{"n0", "n1", "n2", "n3", "n4"}
			var open []stream
			version, calm := 0, map[string]time.Time{}
			for number := range 3000 {
				time.Sleep(20 * time.Millisecond)
				name := names[random.IntN(len(names))]
				nd := fl.nodes[name]
				switch {
				case random.IntN(200) == 0:
					fl.start(name)
					calm[name] = time.Now()
				case random.IntN(200) == 0:
					fl.setCut(name, !nd.cut)
					calm[name] = time.Now()
				case number%500 == 250:
					version++
					fl.processes[random.IntN(3)] = process(fmt.Sprint("w", 3+number), fmt.Sprint("v", version), 1)
				case number%500 == 400:
					for ix := range fl.processes {
						fl.processes[ix].Software, fl.processes[ix].Server = fmt.Sprint("v", version), fmt.Sprint("w", ix, "/", number)
					}
				}
				if number%int(viewLag/(20*time.Millisecond)) == 0 {
					fl.syncAll()
				}
				nd = fl.nodes[name]
				pr := fl.processes[random.IntN(3)]
				known := nd.keeper.Process(pr.Server) == pr
				if known && !nd.cut && nd.keeper.Settled(time.Now(), pr) {
					open = append(open, stream{fmt.Sprint("s", number), pr.Software, time.Now()})
					nd.keeper.Began(open[len(open)-1].id, pr)
				}
				if len(open) == 0 || random.IntN(2) == 0 {
					continue
				}
				ix := random.IntN(len(open))
				st := open[ix]
				open = append(open[:ix], open[ix+1:]...)
				if time.Since(st.began) > lifetime {
					continue
				}
				at := names[random.IntN(len(names))]
				found := fl.find(at, st.id)
				require.Contains(t, []string{"", st.software}, found, "seed %d: %s taken up at %s after %v", seed, st.id, at, time.Since(st.began))
				if !fl.nodes[at].cut && time.Since(calm[at]) > 3*time.Second {
					takenUp++
					if found != "" {
						goneOn++
					}
				}
			}
		})
	}
	require.Greater(t, takenUp, 1000)
	require.Greater(t, 10*goneOn, 9*takenUp, "streams that go on, of %d", takenUp)
	t.Logf("%d of %d streams went on", goneOn, takenUp)
}
