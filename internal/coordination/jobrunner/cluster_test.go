package jobrunner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/recorder"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// nodeStore is the store as seen by one node. Once the node is dead, calls
// fail.
type nodeStore struct {
	*platform.Memory
	dead atomic.Bool
	// diesAfterWrite makes the node die with its next successful write.
	diesAfterWrite atomic.Bool
}

// checkAlive returns an error if the node is dead.
func (ns *nodeStore) checkAlive(key string) error {
	if ns.dead.Load() {
		return &storer.Error{Op: "call", Key: key, Kind: storer.Unavailable}
	}
	return nil
}

func (ns *nodeStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := ns.checkAlive(key); err != nil {
		return storer.Entry{}, err
	}
	return ns.Memory.Get(ctx, key)
}

func (ns *nodeStore) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	if err := ns.checkAlive(key); err != nil {
		return 0, err
	}
	written, err := ns.Memory.Swap(ctx, key, value, revision)
	if err == nil && ns.diesAfterWrite.Load() {
		ns.dead.Store(true)
	}
	return written, err
}

// node is an entry node with a job runner and a recorder. It also executes its
// jobs: requests with the path "book" may not be repeated, all others may.
type node struct {
	cluster *cluster
	store   *nodeStore
	record  *recorder.Recorder
	runner  *Runner
	stop    context.CancelFunc
	stopped chan struct{}
}

func (nd *node) Repeatable(rq Request) bool { return rq.Path != "book" }

// Execute runs the request under its run key if it may not be repeated. It
// takes runDuration, so that a test can kill the node during the run.
func (nd *node) Execute(ctx context.Context, jb *Job) (Result, *refuser.Refusal) {
	cl := nd.cluster
	if rf := cl.refusal(); rf != nil {
		return Result{}, rf
	}
	if nd.Repeatable(jb.Request()) {
		return nd.work(ctx, jb)
	}
	key, rf := recorder.NewKey(jb.Caller(), jb.RunKey(), "", jb.Request().Body)
	if rf != nil {
		return Result{}, rf
	}
	an := nd.record.Begin(ctx, key)
	if an.Refusal != nil {
		return Result{}, an.Refusal
	}
	if an.Result != nil {
		return Result{Status: an.Result.Status, Body: an.Result.Body}, nil
	}
	if nd.store.dead.Load() {
		return Result{}, refuser.New(refuser.Internal, "dead")
	}
	an.Grant.MarkSent()
	rs, rf := nd.work(ctx, jb)
	if rf == nil {
		an.Grant.Finish(recorder.Result{RecordResult: messenger.RecordResult{Status: rs.Status, Body: rs.Body}})
	}
	return rs, rf
}

// work counts a run and answers after runDuration. On a dead node it never
// answers.
func (nd *node) work(ctx context.Context, jb *Job) (Result, *refuser.Refusal) {
	nd.cluster.countRun(jb.ID())
	if !waiter.Sleep(ctx, nd.cluster.runDuration) {
		return Result{}, refuser.New(refuser.BackendFailed, "cancelled").WithOutcome(refuser.Unknown)
	}
	if nd.store.dead.Load() {
		<-ctx.Done()
	}
	return Result{Status: 200, Body: []byte("answer to " + string(jb.Request().Body))}, nil
}

// cluster is several nodes on one store.
type cluster struct {
	store       *platform.Memory
	runDuration time.Duration
	mu          sync.Mutex
	nodes       []*node
	members     []prober.Member
	runCounts   map[string]int   // runs of each job id
	refuse      *refuser.Refusal // refusal of every new run, or nil
	dropNotices bool             // JobNotice messages get no answer
}

func newCluster(t *testing.T, size int) *cluster {
	st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: "[records]\njob-retention = 1m\njobs-at-once = 4\n"}})
	require.Empty(t, faults)
	cl := &cluster{store: platform.NewMemory(), runDuration: 200 * time.Millisecond, runCounts: map[string]int{}}
	for ix := range size {
		id := fmt.Sprintf("n%d", ix)
		cl.members = append(cl.members, prober.Member{ID: id, PeerAddress: id, State: prober.Alive})
	}
	for ix := range size {
		nd := &node{cluster: cl, store: &nodeStore{Memory: cl.store}, stopped: make(chan struct{})}
		id := cl.members[ix].ID
		view := func() *prober.View { return cl.view(id) }
		nd.record = recorder.New(id, nd.store, view, cl, st.Records)
		nd.runner = New(id, nd.store, view, cl, st.Records, nd)
		var ctx context.Context
		ctx, nd.stop = context.WithCancel(context.Background())
		go func() {
			defer close(nd.stopped)
			_ = nd.runner.Run(ctx)
		}()
		cl.nodes = append(cl.nodes, nd)
	}
	return cl
}

// close stops all nodes and cancels their running jobs.
func (cl *cluster) close() {
	cl.store.SetDown(false)
	for _, nd := range cl.nodes {
		nd.stop()
		nd.runner.mu.Lock()
		for _, cancel := range nd.runner.active {
			cancel()
		}
		nd.runner.mu.Unlock()
		<-nd.stopped
		nd.record.Close()
	}
}

func (cl *cluster) view(id string) *prober.View {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return prober.NewView(id, cl.members)
}

// kill disconnects a node from the store and its peers, which see it as dead.
func (cl *cluster) kill(ix int) {
	cl.nodes[ix].store.dead.Store(true)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.members[ix].State = prober.Dead
}

func (cl *cluster) countRun(id string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.runCounts[id]++
}

func (cl *cluster) runs(id string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.runCounts[id]
}

func (cl *cluster) setRefusal(rf *refuser.Refusal) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.refuse = rf
}

func (cl *cluster) refusal() *refuser.Refusal {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.refuse
}

// Call implements Caller.
func (cl *cluster) Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error) {
	cl.mu.Lock()
	dropNotices := cl.dropNotices
	members := append([]prober.Member(nil), cl.members...)
	cl.mu.Unlock()
	for ix, mb := range members {
		if mb.PeerAddress != address || cl.nodes[ix].store.dead.Load() {
			continue
		}
		if notice, ok := call.(*messenger.JobNotice); ok {
			if dropNotices {
				break
			}
			return cl.nodes[ix].runner.Handle(notice), nil
		}
		return cl.nodes[ix].record.Handle(ctx, call)
	}
	return nil, &messenger.Error{Failure: messenger.Unreachable, Address: address}
}

func newSubmission(path, body string) Submission {
	return Submission{Caller: "desk", Request: Request{Method: "POST", Path: path, Body: []byte(body)}}
}

// accept accepts a job through a node.
func (cl *cluster) accept(t *testing.T, ix int, sn Submission) *Job {
	jb, rf := cl.nodes[ix].runner.Accept(t.Context(), sn)
	require.Nil(t, rf)
	return jb
}

// await waits until the job has ended and returns it.
func (cl *cluster) await(t *testing.T, ix int, id string, within time.Duration) *Job {
	return cl.awaitAll(t, ix, []string{id}, within)[id]
}

// awaitAll waits until all jobs have ended and returns them. It checks all of
// them in each round: an ended job may be removed after the retention period
// while another one is still running.
func (cl *cluster) awaitAll(t *testing.T, ix int, ids []string, within time.Duration) map[string]*Job {
	ended := make(map[string]*Job, len(ids))
	for since := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		for _, id := range ids {
			if ended[id] != nil {
				continue
			}
			jb, rf := cl.nodes[ix].runner.Get(t.Context(), "desk", id)
			if rf == nil && jb.State().Ended() {
				ended[id] = jb
				continue
			}
			require.Less(t, time.Since(since), within, "job did not end: %+v %v", jb, rf)
		}
		if len(ended) == len(ids) {
			return ended
		}
	}
}
