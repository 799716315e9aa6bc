package soaker

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/standin/connector"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// errInjected is the cause of errors while the store is cut off and of lost
// answers.
var errInjected = errors.New("injected fault between the node and the store")

// nodeStore is the platform's store as one node reaches it, with injected faults.
type nodeStore struct {
	storer.Store
	network *connector.Network
	host    string
	cut     atomic.Bool // true while the node can't reach the store
	// loseAnswers is true while the answers to successful writes are dropped.
	loseAnswers atomic.Bool
}

// Get implements storer.Store.
func (ns *nodeStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := ns.beforeCall("get", key); err != nil {
		return storer.Entry{}, err
	}
	defer ns.network.Wait(ns.host)
	return ns.Store.Get(ctx, key)
}

// List implements storer.Store.
func (ns *nodeStore) List(ctx context.Context, prefix string) ([]storer.Entry, error) {
	if err := ns.beforeCall("list", prefix); err != nil {
		return nil, err
	}
	defer ns.network.Wait(ns.host)
	return ns.Store.List(ctx, prefix)
}

// Swap implements storer.Store.
func (ns *nodeStore) Swap(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	if err := ns.beforeCall("swap", key); err != nil {
		return 0, err
	}
	defer ns.network.Wait(ns.host)
	next, err := ns.Store.Swap(ctx, key, value, revision)
	if lost := ns.afterCall("swap", key); lost != nil {
		return 0, lost
	}
	return next, err
}

// Delete implements storer.Store.
func (ns *nodeStore) Delete(ctx context.Context, key string, revision int64) error {
	if err := ns.beforeCall("delete", key); err != nil {
		return err
	}
	defer ns.network.Wait(ns.host)
	err := ns.Store.Delete(ctx, key, revision)
	if lost := ns.afterCall("delete", key); lost != nil {
		return lost
	}
	return err
}

// beforeCall waits while the node is paused. It returns an error of the kind
// Unavailable while the store is cut off.
func (ns *nodeStore) beforeCall(op, key string) error {
	ns.network.Wait(ns.host)
	if ns.cut.Load() {
		return &storer.Error{Op: op, Key: key, Kind: storer.Unavailable, Cause: errInjected}
	}
	return nil
}

// afterCall returns an error of the kind Uncertain while answers are dropped.
func (ns *nodeStore) afterCall(op, key string) error {
	if ns.loseAnswers.Load() || ns.cut.Load() {
		return &storer.Error{Op: op, Key: key, Kind: storer.Uncertain, Cause: errInjected}
	}
	return nil
}
