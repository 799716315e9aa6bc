package adapterkeeper

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

// target is an adapter on a server.
type target struct{ server, adapter string }

// lease is this node's lease of an adapter on a server.
type lease struct {
	// until is when the node stops using the lease.
	until time.Time
	// active is the number of running requests that use the adapter.
	active int
	// requestDone is closed when the request to the owner ends; it is nil while
	// none is in flight.
	requestDone chan struct{}
	// err is the result of the last request to the owner.
	err error
}

// Ensure implements dispatcher.Adapters. It waits until the adapter is ready on
// the server, and returns a function that releases it. The error wraps
// ErrNotReady.
func (kp *Keeper) Ensure(ctx context.Context, server string, ad *configurer.Adapter) (func(), error) {
	tg := target{server, ad.Name()}
	kp.mu.Lock()
	ls, ok := kp.leases[tg]
	if !ok {
		ls = &lease{}
		kp.leases[tg] = ls
	}
	ls.active++
	fresh := kp.now().Before(ls.until)
	kp.mu.Unlock()
	release := func() { kp.release(ls) }
	if fresh {
		return release, nil
	}
	if err := kp.acquire(ctx, tg, ls); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func (kp *Keeper) release(ls *lease) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	ls.active--
}

// acquire waits for a lease from the server's owner. Concurrent callers share
// one request to the owner.
func (kp *Keeper) acquire(ctx context.Context, tg target, ls *lease) error {
	kp.mu.Lock()
	requestDone := ls.requestDone
	if requestDone == nil && kp.now().Before(ls.until) {
		kp.mu.Unlock()
		return nil
	}
	if requestDone == nil {
		requestDone = make(chan struct{})
		ls.requestDone = requestDone
		go kp.refreshLease(tg, ls, requestDone)
	}
	kp.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, kp.waitTimeout)
	defer cancel()
	select {
	case <-requestDone:
	case <-ctx.Done():
		kp.noteRefusal(tg, reasonTimeout)
		return errors.Wrapf(ErrNotReady, "%s on %s: %s", tg.adapter, tg.server, reasonTimeout)
	}
	kp.mu.Lock()
	defer kp.mu.Unlock()
	return ls.err
}

// refreshLease requests the adapter from the owner and records the answer. The
// lease starts at the time of the request.
func (kp *Keeper) refreshLease(tg target, ls *lease, requestDone chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), loadRequestTimeout)
	defer cancel()
	requested := kp.now()
	reason := kp.checkReady(ctx, tg)
	if reason != "" {
		kp.noteRefusal(tg, reason)
	}
	kp.mu.Lock()
	defer kp.mu.Unlock()
	ls.err = nil
	if reason == "" {
		ls.until = requested.Add(kp.lease - kp.lease/useMarginDivisor)
	} else {
		ls.err = kp.notReadyError(tg, reason)
	}
	ls.requestDone = nil
	close(requestDone)
}

// checkReady returns the reason why the adapter is not ready, or "". While no
// node may send orders to the server, no adapter in its report is unloaded. A
// stale report costs one attempt, which the server refuses.
func (kp *Keeper) checkReady(ctx context.Context, tg target) string {
	reason := kp.requestFromOwner(ctx, tg)
	if (reason == reasonNoOwner || reason == reasonUnreachable) && kp.reportsAdapter(tg.server, tg.adapter) {
		kp.registry.Inc("adapter", "unheld")
		return ""
	}
	return reason
}

func (kp *Keeper) requestFromOwner(ctx context.Context, tg target) string {
	vw := kp.view()
	address, self, _ := vw.ServerOwner(tg.server)
	others := kp.otherReplicas(tg)
	if self {
		reason := kp.Obtain(ctx, tg.server, tg.adapter)
		if reason != "" {
			kp.noteStandings(tg.adapter, others, kp.standingsOn(others, tg.adapter))
		}
		return reason
	}
	call := &messenger.AdapterLoad{From: vw.Self(), Server: tg.server, Adapter: tg.adapter, Others: others}
	kp.registry.Inc("adapter", "asked")
	answer, err := kp.peers.Call(ctx, address, call)
	if as, isState := answer.(*messenger.AdapterState); err == nil && isState {
		if as.Ready {
			return ""
		}
		kp.noteStandings(tg.adapter, others, as.Others)
		return as.Reason
	}
	kp.registry.Inc("adapter", "refused", reasonUnreachable)
	return reasonUnreachable
}

// Run renews the leases of running requests until the context ends.
func (kp *Keeper) Run(ctx context.Context) error {
	if kp.batchRenewals {
		waiter.Every(ctx, kp.lease/renewalsPerLease, func() {
			kp.renewAll(ctx)
			kp.releaseAll()
		})
		return nil
	}
	waiter.Every(ctx, renewInterval, kp.renew)
	return nil
}

// renew renews the leases in use and deletes expired ones that are not.
func (kp *Keeper) renew() {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	now := kp.now()
	for tg, ls := range kp.leases {
		switch {
		case ls.requestDone != nil:
		case ls.active == 0 && !now.Before(ls.until):
			delete(kp.leases, tg)
		case ls.active > 0 && ls.until.Sub(now) <= renewThreshold:
			ls.requestDone = make(chan struct{})
			go kp.refreshLease(tg, ls, ls.requestDone)
		}
	}
}
