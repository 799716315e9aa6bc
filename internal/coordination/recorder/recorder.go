// Package recorder keeps the at-most-once record: which idempotency keys were
// begun, by which attempt, and how they ended. The record lives in the
// platform's store, in shards. The owner of a shard commits all keys that wait
// by one compare-and-swap on the shard's head before any of them is granted.
//
// Ownership only saves work. Two nodes that both take themselves for the owner
// are kept apart by the compare-and-swap: the one that loses forgets its state
// and grants nothing.
//
// # Usage
//
//	rc := recorder.New("entry-1", store, view, pool, settings)
//	defer rc.Close()
//	key, rf := recorder.NewKey(caller, header, headerTime, body)
//	an := rc.Begin(ctx, key)
//	if an.Grant != nil {
//		// The only attempt that may send; nothing may be sent after Abandon.
//		an.Grant.Finish(result)
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

// layoutKey names the value that fixes the number of shards for good: with
// another number, keys would be looked for where they were not recorded.
const layoutKey = "record/layout"

// maxShards bounds the number of a shard.
const maxShards = 4096

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Recorder is one node's part of the record.
type Recorder struct {
	node     string
	store    storer.Store
	view     func() *prober.View
	caller   Caller
	settings func() *configurer.Records
	registry *counter.Registry
	random   *rand.Rand
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	mu       sync.Mutex
	count    int
	shards   map[int]*shard
	outbox   *outbox

	segmentBytes int
}

// Option changes a Recorder that is being made.
type Option func(*Recorder)

// WithRegistry makes the recorder count in rg.
func WithRegistry(rg *counter.Registry) Option { return func(rc *Recorder) { rc.registry = rg } }

// WithRandom makes the recorder draw its delays from random.
func WithRandom(random *rand.Rand) Option { return func(rc *Recorder) { rc.random = random } }

// WithSegmentBytes sets the size beyond which the open segment is sealed.
func WithSegmentBytes(size int) Option { return func(rc *Recorder) { rc.segmentBytes = size } }

// New returns the recorder of a node. The settings may be nil while no
// configuration is in force; then nothing is granted.
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

// Close stops the recorder's work. Ends that Flush did not see recorded are
// lost; their keys stay unresolved.
func (rc *Recorder) Close() {
	rc.cancel()
	rc.running.Wait()
}

// Flush waits until the ends of this node's attempts are recorded.
func (rc *Recorder) Flush(ctx context.Context) error { return rc.outbox.flush(ctx) }

// Handle answers a peer's Begin or Finish.
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

func checkBegin(bg *messenger.Begin) error {
	if len(bg.Key) != hashBytes || len(bg.Request) != hashBytes || bg.Attempt == "" || bg.Shard < 0 || bg.Shard >= maxShards {
		return errors.New("malformed begin")
	}
	return nil
}

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

// layout returns the number of shards, which the first node ever fixed.
func (rc *Recorder) layout(ctx context.Context) (int, error) {
	rc.mu.Lock()
	count := rc.count
	rc.mu.Unlock()
	if count > 0 {
		return count, nil
	}
	st := rc.settings()
	if st == nil {
		return 0, errors.New("no configuration is in force")
	}
	count, err := readLayout(ctx, rc.store, st.Shards())
	if err != nil {
		return 0, err
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.count = count
	return count, nil
}

func readLayout(ctx context.Context, st storer.Store, wanted int) (int, error) {
	en, err := st.Get(ctx, layoutKey)
	if storer.Is(err, storer.NotFound) {
		value, encodeErr := encodeLayout(wanted)
		if encodeErr != nil {
			return 0, encodeErr
		}
		// Any value found afterwards will do, whoever wrote it.
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

func resource(number int) string { return fmt.Sprintf("record/%d", number) }

// jitter returns a random time from half of dn to all of it.
func (rc *Recorder) jitter(dn time.Duration) time.Duration {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return dn/2 + time.Duration(rc.random.Int64N(int64(dn/2)+1))
}
