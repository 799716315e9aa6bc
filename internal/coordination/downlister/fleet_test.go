package downlister_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/downlister"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// fleet is a number of nodes and servers without a network between them.
type fleet struct {
	t     *testing.T
	nodes []*node
	// servers is the number of servers.
	servers int

	mu   sync.Mutex
	boot map[string]int
	dead map[string]bool
	// attempts counts the requests and probes that a dead server refused, by node.
	attempts, probes int
}

type node struct {
	*downlister.Lister
	id    string
	fleet *fleet
	// cut says that the node is refused by all servers, earlier that its build does not
	// know ServerNotice.
	cut, earlier bool
	// doubtful is the server that the node may have lost with its path.
	doubtful string
	counts   *counter.Registry
	unknown  int
}

func newFleet(t *testing.T, nodes, servers int) *fleet {
	log.SetHandler(discard.Default)
	fl := &fleet{t: t, servers: servers, boot: map[string]int{}, dead: map[string]bool{}}
	for ix := range servers {
		fl.boot["w"+strconv.Itoa(ix)] = 1
	}
	var peers []downlister.Peer
	for ix := range nodes {
		peers = append(peers, downlister.Peer{ID: "n" + strconv.Itoa(ix), Address: strconv.Itoa(ix)})
	}
	for ix := range nodes {
		nd := &node{id: peers[ix].ID, fleet: fl, counts: counter.NewRegistry()}
		others := append(append([]downlister.Peer(nil), peers[:ix]...), peers[ix+1:]...)
		nd.Lister = downlister.New(nd.id, nd.connect, downlister.WithPeers(fl, func() []downlister.Peer { return append([]downlister.Peer(nil), others...) }),
			downlister.WithDoubt(func(server string) bool { return nd.doubtful == server }), downlister.WithRegistry(nd.counts))
		fl.nodes = append(fl.nodes, nd)
	}
	fl.register()
	return fl
}

// register tells all nodes of the present registrations.
func (fl *fleet) register() {
	for _, nd := range fl.nodes {
		var all []downlister.Registration
		for ix := range fl.servers {
			name := "w" + strconv.Itoa(ix)
			all = append(all, downlister.Registration{Process: fl.process(name), Address: name})
		}
		nd.Update(all)
	}
}

func (fl *fleet) process(server string) downlister.Process {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return downlister.Process{Server: server, Boot: strconv.Itoa(fl.boot[server])}
}

func (fl *fleet) kill(server string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.dead[server] = true
}

func (fl *fleet) revive(server string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.boot[server]++
	delete(fl.dead, server)
}

// setCut cuts the first two nodes off from all servers, or ends that.
func (fl *fleet) setCut(yes bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.nodes[0].cut, fl.nodes[1].cut = yes, yes
}

func (nd *node) refuses(address string) bool {
	nd.fleet.mu.Lock()
	defer nd.fleet.mu.Unlock()
	return nd.cut || nd.fleet.dead[address]
}

func (nd *node) connect(_ context.Context, address string) error {
	time.Sleep(time.Millisecond)
	if nd.refuses(address) {
		nd.fleet.mu.Lock()
		nd.fleet.probes++
		nd.fleet.mu.Unlock()
		return syscall.ECONNREFUSED
	}
	return nil
}

// Call implements downlister.Caller.
func (fl *fleet) Call(_ context.Context, address string, call messenger.Message) (messenger.Message, error) {
	time.Sleep(2 * time.Millisecond)
	ix, _ := strconv.Atoi(address)
	nd := fl.nodes[ix]
	switch tc := call.(type) {
	case *messenger.Check:
		if nd.earlier {
			return &messenger.Checked{Node: nd.id}, nil
		}
		return &messenger.Checked{Node: nd.id, Build: messenger.BuildLatest}, nil
	case *messenger.ServerNotice:
		if nd.earlier {
			fl.mu.Lock()
			nd.unknown++
			fl.mu.Unlock()
			return nil, io.EOF
		}
		return nd.Handle(tc), nil
	}
	return nil, errors.New("not expected")
}

// request sends a request of the node to one of the replicas, as the admitter does.
func (nd *node) request(replicas []string) (sent bool) {
	tried := map[string]bool{}
	for {
		server := nd.choose(replicas)
		if server == "" {
			return false
		}
		if !nd.refuses(server) {
			return true
		}
		require.False(nd.fleet.t, tried[server], "a request tries an address again that has refused it")
		tried[server] = true
		nd.fleet.mu.Lock()
		nd.fleet.attempts++
		nd.fleet.mu.Unlock()
		nd.Refused(nd.fleet.process(server))
	}
}

func (nd *node) choose(replicas []string) string {
	suspected := ""
	for _, server := range replicas {
		switch {
		case nd.Down(server):
		case nd.Suspected(server):
			suspected = server
		default:
			return server
		}
	}
	return suspected
}

// run starts the nodes and has each send requests, to a random one of the models that two
// servers hold, until the time has passed.
func (fl *fleet) run(ctx context.Context, pause time.Duration) {
	for _, nd := range fl.nodes {
		go func() { _ = nd.Run(ctx) }()
		go func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * pause))))
				nd.request([]string{fl.random(), fl.random()})
			}
		}()
	}
}

// stop ends what run has begun.
func stop(cancel func()) {
	cancel()
	time.Sleep(time.Second)
}

func (fl *fleet) random() string { return "w" + strconv.Itoa(rand.IntN(fl.servers)) }

// TestCrashesCostLessThanOneAttemptPerNode addresses the load in which 21 of 60 servers
// crash while 67 nodes send: each node used to find each crash out by several requests.
func TestCrashesCostLessThanOneAttemptPerNode(t *testing.T) {
	for _, pause := range []time.Duration{180 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const crashes, nodes = 21, 67
				fl := newFleet(t, nodes, 60)
				ctx, cancel := context.WithCancel(t.Context())
				defer stop(cancel)
				fl.run(ctx, pause)
				time.Sleep(time.Second)
				before := time.Now()
				for ix := range crashes {
					fl.kill("w" + strconv.Itoa(ix))
				}
				time.Sleep(6 * time.Second)
				fl.mu.Lock()
				attempts, probes := fl.attempts, fl.probes
				fl.mu.Unlock()
				perCrash := float64(attempts) / (nodes * crashes)
				bytes, known := int64(0), 0
				for _, nd := range fl.nodes {
					bytes = max(bytes, nd.counts.Values()["server-down.notice-bytes"])
					for ix := range crashes {
						if nd.Down("w" + strconv.Itoa(ix)) {
							known++
						}
					}
				}
				perSecond := float64(bytes-1000) / time.Since(before).Seconds()
				t.Logf("%.3f of the crashes are known to the nodes", float64(known)/(nodes*crashes))
				t.Logf("%.2f attempts and %.2f probes per node and crash; %.0f bytes/s after the first 1000 of the busiest node", perCrash, float64(probes)/(nodes*crashes), perSecond)
				require.Less(t, perCrash, 1.0)
				require.LessOrEqual(t, perSecond, 1000.0)
				for ix := range crashes {
					fl.revive("w" + strconv.Itoa(ix))
				}
				fl.register()
				for _, nd := range fl.nodes {
					for ix := range crashes {
						require.False(t, nd.Down("w"+strconv.Itoa(ix)), "a new process ends an outage at once")
					}
				}
			})
		})
	}
}

// TestNodesWithoutPathReportNoServerAsDown guards against nodes that are refused by sound
// servers and take them out for all others, before they know that their path is bad.
func TestNodesWithoutPathReportNoServerAsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 20, 30)
		ctx, cancel := context.WithCancel(t.Context())
		defer stop(cancel)
		fl.run(ctx, 50*time.Millisecond)
		fl.setCut(true)
		downTime := 0
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			for _, nd := range fl.nodes[2:] {
				for server := range fl.boot {
					if nd.Down(server) {
						downTime += 10
					}
				}
			}
		}
		share := float64(downTime) / (18 * 30 * 5000)
		t.Logf("sound servers are out for %.4f of the time", share)
		require.Less(t, share, 0.02)
		fl.setCut(false)
		fl.nodes[0].Forget(slices.Collect(maps.Keys(fl.boot)))
		require.False(t, fl.nodes[0].Down("w0"))
		time.Sleep(8 * time.Second) // longer than the longest time between two probes
		for _, nd := range fl.nodes {
			for server := range fl.boot {
				require.False(t, nd.Down(server), "probes end what was wrong")
			}
		}
	})
}

// TestNoNoticesInDoubtOrToEarlierBuilds guards against a message that ends the
// connections of earlier builds, against reports of a node that may be at fault, and against
// the want of reports of servers to which the node's path is not in doubt.
func TestNoNoticesInDoubtOrToEarlierBuilds(t *testing.T) {
	for _, tc := range []struct {
		doubtful string
		earlier  bool
		told     bool // whether the others learn of the outage
	}{{"w0", false, false}, {"", true, false}, {"w1", false, true}} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 5, 4)
				for _, nd := range fl.nodes {
					nd.doubtful, nd.earlier = tc.doubtful, tc.earlier
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer stop(cancel)
				for _, nd := range fl.nodes {
					go func() { _ = nd.Run(ctx) }()
				}
				fl.kill("w0")
				fl.nodes[0].request([]string{"w0"})
				time.Sleep(time.Second)
				require.True(t, fl.nodes[0].Down("w0"))
				told := 0
				for _, nd := range fl.nodes[1:] {
					if nd.Down("w0") {
						told++
					}
					fl.mu.Lock()
					require.Zero(t, nd.unknown)
					fl.mu.Unlock()
				}
				require.Equal(t, tc.told, told > 0)
			})
		})
	}
}
