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

// lease is what this node knows of an adapter that it uses.
type lease struct {
	until  time.Time
	active int
	asking chan struct{}
	err    error
}

// Ensure implements dispatcher.Adapters.
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

// acquire asks the server's owner, once for all that wait.
func (kp *Keeper) acquire(ctx context.Context, tg target, ls *lease) error {
	kp.mu.Lock()
	asking := ls.asking
	if asking == nil && kp.now().Before(ls.until) {
		kp.mu.Unlock()
		return nil
	}
	if asking == nil {
		asking = make(chan struct{})
		ls.asking = asking
		go kp.ask(tg, ls, asking)
	}
	kp.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, kp.patience)
	defer cancel()
	select {
	case <-asking:
	case <-ctx.Done():
		return errors.Wrapf(ErrNotReady, "%s on %s: %v", tg.adapter, tg.server, ctx.Err())
	}
	kp.mu.Lock()
	defer kp.mu.Unlock()
	return ls.err
}

// ask asks the owner and takes in its answer. The lease counts from before the
// question.
func (kp *Keeper) ask(tg target, ls *lease, asking chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	asked := kp.now()
	reason := kp.question(ctx, tg)
	kp.mu.Lock()
	defer kp.mu.Unlock()
	ls.err = nil
	if reason == "" {
		ls.until = asked.Add(kp.lease - kp.lease/useDivisor)
	} else {
		ls.err = errors.Wrapf(ErrNotReady, "%s on %s: %s", tg.adapter, tg.server, reason)
	}
	ls.asking = nil
	close(asking)
}

// question returns why the adapter is not ready, or nothing. While nobody may
// send orders to the server, nobody unloads what it reports to hold; a report
// that is out of date costs an attempt, which the server refuses.
func (kp *Keeper) question(ctx context.Context, tg target) string {
	reason := kp.askOwner(ctx, tg)
	if (reason == reasonNoOwner || reason == reasonUnreachable) && kp.reported(tg.server, tg.adapter) {
		kp.registry.Inc("adapter", "unheld")
		return ""
	}
	return reason
}

func (kp *Keeper) askOwner(ctx context.Context, tg target) string {
	vw := kp.view()
	address, self, _ := vw.ServerOwner(tg.server)
	if self {
		return kp.Obtain(ctx, tg.server, tg.adapter)
	}
	call := &messenger.AdapterLoad{From: vw.Self(), Server: tg.server, Adapter: tg.adapter}
	kp.registry.Inc("adapter", "asked")
	answer, err := kp.peers.Call(ctx, address, call)
	if as, isState := answer.(*messenger.AdapterState); err == nil && isState {
		if as.Ready {
			return ""
		}
		return as.Reason
	}
	kp.registry.Inc("adapter", "refused", reasonUnreachable)
	return reasonUnreachable
}

// Run renews the leases of running requests until the context ends.
func (kp *Keeper) Run(ctx context.Context) error {
	if kp.together {
		waiter.Every(ctx, kp.lease/useRenewals, func() { kp.tellUse(ctx) })
		return nil
	}
	waiter.Every(ctx, renewInterval, kp.renew)
	return nil
}

// renew asks again for what is in use, and forgets what is not.
func (kp *Keeper) renew() {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	now := kp.now()
	for tg, ls := range kp.leases {
		switch {
		case ls.asking != nil:
		case ls.active == 0 && !now.Before(ls.until):
			delete(kp.leases, tg)
		case ls.active > 0 && ls.until.Sub(now) <= renewAfter:
			ls.asking = make(chan struct{})
			go kp.ask(tg, ls, ls.asking)
		}
	}
}
