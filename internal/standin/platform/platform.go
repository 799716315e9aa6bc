// Package platform is a stand-in for the platform: its key-value service, in
// the JSON of the etcd v3 gateway, and its VM list, which lags.
//
// # Usage
//
//	mem := platform.NewMemory()
//	mem.SetDown(true)        // an outage
//	mem.LoseAnswers(1)       // the next write takes effect and fails as Uncertain
//	srv := httptest.NewServer(platform.Handler(mem, list))
//
// Memory implements storer.Store, so that tests need no sockets.
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

// errInjected is the cause of errors during an outage and of lost writes and
// answers.
var errInjected = errors.New("injected fault of the key-value service")

// Memory is an in-memory key-value service with faults on demand.
type Memory struct {
	mu          sync.Mutex
	entries     map[string]storer.Entry
	revision    int64         // of the latest write
	down        bool          // calls fail as Unavailable
	loseAnswers int           // next writes that take effect but fail as Uncertain
	loseWrites  int           // next writes that fail as Uncertain without effect
	latency     time.Duration // duration of a call
	reads       int64         // calls of Get and List
	writes      int64         // calls of Swap and Delete
}

// NewMemory returns an empty service.
func NewMemory() *Memory {
	return &Memory{entries: map[string]storer.Entry{}}
}

// SetDown starts an outage if down is set, and ends it otherwise. Calls fail as
// Unavailable during an outage.
func (me *Memory) SetDown(down bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.down = down
}

// SetLatency sets the duration of every call.
func (me *Memory) SetLatency(dn time.Duration) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.latency = dn
}

// LoseAnswers makes the next count writes take effect and fail as Uncertain.
func (me *Memory) LoseAnswers(count int) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.loseAnswers = count
}

// LoseWrites makes the next count writes fail as Uncertain without effect.
func (me *Memory) LoseWrites(count int) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.loseWrites = count
}

// Calls returns how often entries were read and written so far.
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
		return storer.Entry{}, &storer.Error{Op: "get", Key: key, Kind: storer.Unavailable, Cause: errInjected}
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
		return nil, &storer.Error{Op: "list", Key: prefix, Kind: storer.Unavailable, Cause: errInjected}
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
		return 0, &storer.Error{Op: op, Key: key, Kind: storer.Unavailable, Cause: errInjected}
	}
	if me.loseWrites > 0 {
		me.loseWrites--
		return 0, &storer.Error{Op: op, Key: key, Kind: storer.Uncertain, Cause: errInjected}
	}
	if me.entries[key].Revision != revision {
		return 0, &storer.Error{Op: op, Key: key, Kind: storer.Conflict}
	}
	me.revision++
	apply()
	if me.loseAnswers > 0 {
		me.loseAnswers--
		return 0, &storer.Error{Op: op, Key: key, Kind: storer.Uncertain, Cause: errInjected}
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
