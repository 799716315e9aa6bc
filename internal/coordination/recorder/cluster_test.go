package recorder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const smallRecord = "[records]\nshards = 2\nretention = 2s\nshard-bytes = 96KiB\ninterval = 20ms\n"

func recordsOf(tb testing.TB, text string) *configurer.Records {
	tb.Helper()
	st, faults := configurer.Parse([]configurer.File{{Name: "records.ini", Text: text}})
	require.Empty(tb, faults)
	return st.Records()
}

// lateStore applies some writes only after it answered that they are uncertain.
type lateStore struct {
	*platform.Memory
	mu sync.Mutex
	// late is the number of next writes that are applied late.
	late int
}

func (ls *lateStore) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	ls.mu.Lock()
	late := ls.late > 0
	if late {
		ls.late--
	}
	ls.mu.Unlock()
	if !late {
		return ls.Memory.Swap(ctx, key, value, revision)
	}
	time.AfterFunc(70*time.Millisecond, func() {
		_, _ = ls.Memory.Swap(context.Background(), key, value, revision)
	})
	return 0, &storer.Error{Op: "swap", Key: key, Kind: storer.Uncertain}
}

// cluster is several recorders on a network and a store with injected faults.
type cluster struct {
	mu     sync.Mutex
	random *rand.Rand
	store  *lateStore
	nodes  []*Recorder
	// faultRate is the probability that a call fails.
	faultRate float64
	members   []prober.Member
	// views holds, for each node, the states of other nodes that it sees as
	// other than in members.
	views []map[string]prober.State
}

func newCluster(tb testing.TB, seed uint64, size, segmentBytes int, settings string) *cluster {
	cl := &cluster{random: rand.New(rand.NewPCG(seed, 1)), store: &lateStore{Memory: platform.NewMemory()}}
	st := recordsOf(tb, settings)
	for ix := range size {
		id := fmt.Sprintf("n%d", ix)
		cl.members = append(cl.members, prober.Member{ID: id, PeerAddress: id, State: prober.Alive})
		cl.views = append(cl.views, map[string]prober.State{})
	}
	for ix := range size {
		view := func() *prober.View { return cl.view(ix) }
		cl.nodes = append(cl.nodes, New(cl.members[ix].ID, cl.store, view, cl,
			func() *configurer.Records { return st }, WithRandom(rand.New(rand.NewPCG(seed, uint64(ix)))), WithSegmentBytes(segmentBytes)))
	}
	return cl
}

func (cl *cluster) close() {
	for _, rc := range cl.nodes {
		rc.Close()
	}
}

func (cl *cluster) view(ix int) *prober.View {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	members := append([]prober.Member(nil), cl.members...)
	for jx := range members {
		if st, ok := cl.views[ix][members[jx].ID]; ok && jx != ix {
			members[jx].State = st
		}
	}
	return prober.NewView(cl.members[ix].ID, members)
}

// setState makes node ix see node jx in a state.
func (cl *cluster) setState(ix, jx int, st prober.State) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.views[ix][cl.members[jx].ID] = st
}

// draw returns a random number from 0 to below-1.
func (cl *cluster) draw(below int) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.random.IntN(below)
}

// chance returns true with the given probability.
func (cl *cluster) chance(probability float64) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.random.Float64() < probability
}

// Call implements Caller. A faulty call is lost, loses its answer or is late.
func (cl *cluster) Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error) {
	var peer *Recorder
	for ix, mb := range cl.members {
		if mb.PeerAddress == address {
			peer = cl.nodes[ix]
		}
	}
	lost := &messenger.Error{Failure: messenger.Lost, Address: address}
	if !cl.chance(cl.faultRate) {
		return peer.Handle(ctx, call)
	}
	switch cl.draw(3) {
	case 0:
		return nil, lost
	case 1:
		_, _ = peer.Handle(ctx, call)
		return nil, lost
	default:
		delay := time.Duration(cl.draw(3000)) * time.Millisecond
		time.AfterFunc(delay, func() { _, _ = peer.Handle(context.Background(), call) })
		return nil, lost
	}
}

// keyAt returns a key with the current time.
func keyAt(name string) Key {
	return Key{id: sum([]byte(name)), time: time.Now().UnixMilli(), request: sum([]byte("body of " + name))}
}

func result(text string) Result {
	return Result{messenger.RecordResult{Status: 200, ContentType: "text/plain", Body: []byte(text)}}
}
