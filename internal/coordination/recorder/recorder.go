// Package recorder keeps the at-most-once record: which idempotency keys were
// begun, by which attempt, and how they finished. The record is stored in the
// platform's store, in shards. The owner of a shard commits all pending keys by
// one compare-and-swap on the shard's head before it grants any of them.
//
// Ownership only reduces conflicts; it isn't needed for safety. If two nodes
// both act as the owner, the compare-and-swap of one of them fails, and that
// node discards its state and grants nothing.
//
// # Usage
//
//	rc := recorder.New("entry-1", store, view, pool, settings)
//	defer rc.Close()
//	key, rf := recorder.NewKey(caller, header, headerTime, body)
//	an := rc.Begin(ctx, key)
//	if an.Grant != nil {
//		// Only this attempt may send, and not after Abandon.
//		an.Grant.MarkSent()
//		an.Grant.Finish(send(request))
//	}
//
// Peers' Begin and Finish messages go to Handle.
package recorder

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// layoutKey is the store key of the number of shards. The number never changes:
// with another number, keys would be looked up in shards that do not hold them.
const layoutKey = "record/layout"

// maxShards bounds the shard number in a message.
const maxShards = 4096

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Recorder is one node's part of the record. It is safe for concurrent use.
type Recorder struct {
	// node is the id of this node.
	node  string
	store storer.Store
	// view returns the membership, which determines the owner of each shard.
	view     func() *prober.View
	caller   Caller
	settings func() *configurer.Records
	registry *counter.Registry
	random   *rand.Rand
	// ctx ends at Close, and running holds the goroutines that end with it.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	// shardCount is the number of shards, or 0 until the layout is read.
	shardCount int
	// shards holds, by number, the shards for which a message has arrived.
	shards map[int]*shard
	outbox *outbox

	// segmentBytes is the size beyond which the open segment is sealed.
	segmentBytes int
}

// Option configures a Recorder.
type Option func(*Recorder)

// WithRegistry makes the recorder count its events in rg.
func WithRegistry(rg *counter.Registry) Option { return func(rc *Recorder) { rc.registry = rg } }

// WithRandom sets the source of the jitter of delays.
func WithRandom(random *rand.Rand) Option { return func(rc *Recorder) { rc.random = random } }

// WithSegmentBytes sets the size in bytes beyond which the open segment is
// sealed.
func WithSegmentBytes(size int) Option { return func(rc *Recorder) { rc.segmentBytes = size } }

// New returns a running recorder of the node, which the caller must Close.
// settings may return nil while no configuration is in force; then the recorder
// grants nothing.
func New(node string, st storer.Store, view func() *prober.View, cl Caller, settings func() *configurer.Records, opts ...Option) *Recorder {
	rc := &Recorder{
		node:     node,
		store:    st,
		view:     view,
		caller:   cl,
		settings: settings,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		shards:   map[int]*shard{},

		segmentBytes: defaultSegmentBytes,
	}
	for _, opt := range opts {
		opt(rc)
	}
	rc.ctx, rc.cancel = context.WithCancel(context.Background())
	rc.outbox = newOutbox(rc)
	rc.running.Go(rc.outbox.run)
	return rc
}

// Close stops the recorder. It loses the finish messages that are not recorded
// yet, see Flush; their keys stay unresolved.
func (rc *Recorder) Close() {
	rc.cancel()
	rc.running.Wait()
}

// Flush waits until the outcomes of this node's finished attempts are recorded.
// It returns an error if the context ends first.
func (rc *Recorder) Flush(ctx context.Context) error { return rc.outbox.flush(ctx) }

// Handle answers a Begin or Finish message of a peer. It returns an error for a
// malformed message or one of another kind.
func (rc *Recorder) Handle(ctx context.Context, call messenger.Message) (messenger.Message, error) {
	switch tc := call.(type) {
	case *messenger.Begin:
		if err := checkBegin(tc); err != nil {
			return nil, err
		}
		return rc.shard(tc.Shard).begin(ctx, tc), nil
	case *messenger.Finish:
		if err := checkBegin(&tc.Begin); err != nil {
			return nil, err
		}
		return rc.shard(tc.Shard).finish(ctx, tc), nil
	default:
		return nil, errors.Errorf("the record has no answer to message of kind %d", call.Kind())
	}
}

// checkBegin returns an error if a field of the message is out of range.
func checkBegin(bg *messenger.Begin) error {
	if len(bg.Key) != hashBytes || len(bg.Request) != hashBytes || bg.Attempt == "" || bg.Shard < 0 || bg.Shard >= maxShards {
		return errors.New("malformed begin")
	}
	return nil
}

// shard returns the shard of the number and starts its loop at the first call.
func (rc *Recorder) shard(number int) *shard {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	sh := rc.shards[number]
	if sh == nil {
		sh = newShard(rc, number)
		rc.shards[number] = sh
		if rc.ctx.Err() == nil {
			rc.running.Go(sh.run)
		}
	}
	return sh
}

// layout returns the number of shards, which the first node that reads the
// layout sets from its settings.
func (rc *Recorder) layout(ctx context.Context) (int, error) {
	rc.mu.Lock()
	shardCount := rc.shardCount
	rc.mu.Unlock()
	if shardCount > 0 {
		return shardCount, nil
	}
	st := rc.settings()
	if st == nil {
		return 0, errors.New("no configuration is in force")
	}
	shardCount, err := readLayout(ctx, rc.store, st.Shards())
	if err != nil {
		return 0, err
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.shardCount = shardCount
	return shardCount, nil
}

// readLayout reads the number of shards and writes the wanted number if there
// is none.
func readLayout(ctx context.Context, st storer.Store, wanted int) (int, error) {
	en, err := st.Get(ctx, layoutKey)
	if storer.Is(err, storer.NotFound) {
		value, encodeErr := encodeLayout(wanted)
		if encodeErr != nil {
			return 0, encodeErr
		}
		// On a conflict, another node wrote the layout; the read below returns it.
		if _, err = st.Swap(ctx, layoutKey, value, 0); err != nil && !storer.Is(err, storer.Conflict) {
			return 0, errors.Wrap(err, "write layout of the record")
		}
		en, err = st.Get(ctx, layoutKey)
	}
	if err != nil {
		return 0, errors.Wrap(err, "read layout of the record")
	}
	count, err := msgpack.NewDecoder(bytes.NewReader(en.Value)).DecodeInt()
	if err != nil || count < 1 {
		return 0, errors.Wrap(errCorrupt, "layout")
	}
	return count, nil
}

func encodeLayout(count int) ([]byte, error) {
	var buf bytes.Buffer
	err := msgpack.NewEncoder(&buf).EncodeInt(int64(count))
	return buf.Bytes(), err
}

// resource returns the name by which the membership assigns an owner to a
// shard. It is also the prefix of the shard's store keys.
func resource(number int) string { return fmt.Sprintf("record/%d", number) }

// jitter returns a random duration from dn/2 to dn.
func (rc *Recorder) jitter(dn time.Duration) time.Duration {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return dn/2 + time.Duration(rc.random.Int64N(int64(dn/2)+1))
}
