// Package platform is a stand-in for the platform: its key-value service, in
// the JSON of the etcd v3 gateway, and its lagging list of VMs.
//
// # Usage
//
//	mem := platform.NewMemory()
//	mem.SetDown(true)        // an outage
//	mem.LoseAnswers(1)       // the next write takes effect, its answer is lost
//	srv := httptest.NewServer(platform.Handler(mem, list))
//
// Memory is itself a storer.Store, so that tests of decisions need no sockets.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

var errDown = errors.New("service is down")

// Memory is the key-value service, held in memory, with faults on demand.
type Memory struct {
	mu       sync.Mutex
	entries  map[string]storer.Entry
	revision int64
	down     bool
	lose     int
	refuse   int
	latency  time.Duration
	reads    int64
	writes   int64
}

// NewMemory returns an empty service.
func NewMemory() *Memory {
	return &Memory{entries: map[string]storer.Entry{}}
}

// SetDown starts or ends an outage.
func (me *Memory) SetDown(down bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.down = down
}

// SetLatency makes every call take that long.
func (me *Memory) SetLatency(dn time.Duration) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.latency = dn
}

// LoseAnswers makes the next count writes take effect and fail as Uncertain.
func (me *Memory) LoseAnswers(count int) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.lose = count
}

// LoseWrites makes the next count writes fail as Uncertain without effect.
func (me *Memory) LoseWrites(count int) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.refuse = count
}

// Calls returns the number of reads and writes so far.
func (me *Memory) Calls() (reads, writes int64) {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.reads, me.writes
}

// Get implements storer.Store.
func (me *Memory) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := me.wait(ctx); err != nil {
		return storer.Entry{}, &storer.Error{Op: "get", Key: key, Kind: storer.Unavailable, Cause: err}
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	me.reads++
	if me.down {
		return storer.Entry{}, &storer.Error{Op: "get", Key: key, Kind: storer.Unavailable, Cause: errDown}
	}
	en, ok := me.entries[key]
	if !ok {
		return storer.Entry{}, &storer.Error{Op: "get", Key: key, Kind: storer.NotFound}
	}
	return en, nil
}

// List implements storer.Store.
func (me *Memory) List(ctx context.Context, prefix string) ([]storer.Entry, error) {
	if err := me.wait(ctx); err != nil {
		return nil, &storer.Error{Op: "list", Key: prefix, Kind: storer.Unavailable, Cause: err}
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	me.reads++
	if me.down {
		return nil, &storer.Error{Op: "list", Key: prefix, Kind: storer.Unavailable, Cause: errDown}
	}
	var found []storer.Entry
	for key, en := range me.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, en)
		}
	}
	sort.Slice(found, func(ix, jx int) bool { return found[ix].Key < found[jx].Key })
	return found, nil
}

// Swap implements storer.Store.
func (me *Memory) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	return me.write(ctx, "swap", key, revision, func() {
		me.entries[key] = storer.Entry{Key: key, Value: append([]byte(nil), value...), Revision: me.revision}
	})
}

// Delete implements storer.Store.
func (me *Memory) Delete(ctx context.Context, key string, revision int64) error {
	_, err := me.write(ctx, "delete", key, revision, func() { delete(me.entries, key) })
	return err
}

func (me *Memory) write(ctx context.Context, op, key string, revision int64, apply func()) (int64, error) {
	if err := me.wait(ctx); err != nil {
		return 0, &storer.Error{Op: op, Key: key, Kind: storer.Unavailable, Cause: err}
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	me.writes++
	if me.down {
		return 0, &storer.Error{Op: op, Key: key, Kind: storer.Unavailable, Cause: errDown}
	}
	if me.refuse > 0 {
		me.refuse--
		return 0, &storer.Error{Op: op, Key: key, Kind: storer.Uncertain, Cause: errDown}
	}
	if me.entries[key].Revision != revision {
		return 0, &storer.Error{Op: op, Key: key, Kind: storer.Conflict}
	}
	me.revision++
	apply()
	if me.lose > 0 {
		me.lose--
		return 0, &storer.Error{Op: op, Key: key, Kind: storer.Uncertain, Cause: errDown}
	}
	return me.revision, nil
}

func (me *Memory) wait(ctx context.Context) error {
	me.mu.Lock()
	latency := me.latency
	me.mu.Unlock()
	if latency == 0 {
		return ctx.Err()
	}
	tm := time.NewTimer(latency)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tm.C:
		return nil
	}
}
