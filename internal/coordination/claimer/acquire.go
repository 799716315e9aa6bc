package claimer

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// acquire takes a resource that the view gives to the node.
func (cl *Claimer) acquire(ctx context.Context, cm *claim, vw *prober.View) (int64, error) {
	now := time.Now()
	if now.Before(cm.notBefore) || !cl.pace.AllowN(now, 1) {
		return 0, ErrWait
	}
	found, revision, err := cl.read(ctx, cm)
	if err != nil {
		cl.delay(cm)
		return 0, err
	}
	if found.batch == cm.pending && found.holder == vw.Self() && !found.released {
		// The write took effect although its answer was lost.
		return cl.seat(cm, *found, revision), nil
	}
	asked, err := cl.free(ctx, cm, vw, found)
	if err == nil && asked {
		found, revision, err = cl.read(ctx, cm)
	}
	if err == nil && asked && !found.released {
		err = errors.Wrapf(ErrHeld, "%s by %s", cm.resource, found.holder)
	}
	if err != nil {
		cl.delay(cm)
		return 0, err
	}
	return cl.take(ctx, cm, found, revision)
}

// free makes sure that the resource may be taken from its holder. It reports
// whether it asked the holder to release it.
func (cl *Claimer) free(ctx context.Context, cm *claim, vw *prober.View, found *record) (asked bool, err error) {
	if found.holder == "" || found.released || found.holder == vw.Self() {
		return false, nil
	}
	holder, known := vw.Member(found.holder)
	if !known || holder.State == prober.Dead {
		cl.registry.Inc("claim", "taken-from-dead")
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	call := &messenger.Release{Resource: cm.resource, Epoch: found.epoch, Requester: vw.Self()}
	answer, err := cl.caller.Call(ctx, holder.PeerAddress, call)
	if rl, ok := answer.(*messenger.Released); err == nil && ok && rl.Done {
		return true, nil
	}
	cl.registry.Inc("claim", "not-released")
	return true, errors.Wrapf(ErrHeld, "%s by %s", cm.resource, found.holder)
}

// take writes the next epoch over the record that was found.
func (cl *Claimer) take(ctx context.Context, cm *claim, found *record, revision int64) (int64, error) {
	vw := cl.view()
	if vw.Stale() {
		return 0, ErrNotOwner
	}
	next := record{epoch: found.epoch + 1, holder: vw.Self(), batch: rand.Text(), payload: found.payload}
	cm.pending = next.batch
	written, err := cl.write(ctx, cm, next, revision)
	if err != nil {
		cl.delay(cm)
		return 0, err
	}
	cl.registry.Inc("claim", "acquired")
	return cl.seat(cm, next, written), nil
}

// seat notes that the node has come to hold the resource.
func (cl *Claimer) seat(cm *claim, rc record, revision int64) int64 {
	cm.held = true
	cm.backoff = 0
	cm.acquiredAt = time.Now()
	return cl.confirm(cm, rc, revision)
}

// confirm notes that the node holds the resource now.
func (cl *Claimer) confirm(cm *claim, rc record, revision int64) int64 {
	checkForward(cm.resource, cm.highest, rc.epoch)
	cm.highest = max(cm.highest, rc.epoch)
	cm.record, cm.revision = rc, revision
	cm.confirmedAt = time.Now()
	cm.nextCheck = cm.confirmedAt.Add(cl.jitter(checkInterval))
	return rc.epoch
}

func checkForward(resource string, before, after int64) {
	checker.Assert(checker.FenceForward, after >= before, "%s: epoch %d after %d", resource, after, before)
}

// keep confirms a held resource when that is due, and keeps it while the store
// is down, unless the node was paused since it was confirmed last.
func (cl *Claimer) keep(ctx context.Context, cm *claim, vw *prober.View) (int64, error) {
	now := time.Now()
	if mb, ok := vw.Member(vw.Self()); ok && mb.State == prober.Leaving {
		return 0, errors.Join(ErrNotOwner, cl.giveUp(ctx, cm))
	}
	confirmed := !cm.confirmedAt.Before(vw.Since())
	if confirmed && now.Before(cm.nextCheck) {
		return cm.record.epoch, nil
	}
	found, revision, err := cl.read(ctx, cm)
	switch {
	case errors.Is(err, ErrUnavailable) && confirmed:
		cm.nextCheck = now.Add(cl.jitter(checkInterval))
		return cm.record.epoch, nil
	case err != nil:
		return 0, err
	case !found.same(&cm.record):
		cl.lose(cm, found)
		return 0, ErrLost
	}
	return cl.confirm(cm, *found, revision), nil
}

// lose notes that another node took the resource, and delays taking it again,
// longer each time.
func (cl *Claimer) lose(cm *claim, found *record) {
	now := time.Now()
	cl.registry.Inc("claim", "lost")
	checkForward(cm.resource, cm.record.epoch, found.epoch)
	if now.Sub(cm.acquiredAt) > maxLossBackoff+cm.lossDelay {
		cm.lossDelay = 0
	}
	cm.lossDelay = min(max(2*cm.lossDelay, minLossBackoff), maxLossBackoff)
	cm.notBefore = now.Add(cl.jitter(cm.lossDelay))
	cm.held = false
	cm.record = record{}
}

// delay puts off the next attempt with exponential backoff.
func (cl *Claimer) delay(cm *claim) {
	cm.backoff = min(max(2*cm.backoff, minBackoff), maxBackoff)
	cm.notBefore = time.Now().Add(cl.jitter(cm.backoff))
}

func (cl *Claimer) giveUp(ctx context.Context, cm *claim) error {
	next := cm.record
	next.released = true
	if err := cl.rewrite(ctx, cm, next); err != nil {
		return err
	}
	cl.registry.Inc("claim", "released")
	cm.held = false
	return nil
}

// rewrite writes the record of a held resource under the same epoch.
func (cl *Claimer) rewrite(ctx context.Context, cm *claim, next record) error {
	next.batch = rand.Text()
	written, err := cl.write(ctx, cm, next, cm.revision)
	switch {
	case errors.Is(err, ErrHeld):
		return cl.outwritten(ctx, cm)
	case err != nil:
		cm.confirmedAt = time.Time{}
		return err
	}
	cm.record, cm.revision = next, written
	return nil
}

// outwritten finds out who changed the record of a held resource.
func (cl *Claimer) outwritten(ctx context.Context, cm *claim) error {
	cm.confirmedAt = time.Time{}
	found, revision, err := cl.read(ctx, cm)
	if err != nil {
		return err
	}
	if found.same(&cm.record) {
		// An earlier write of this node took effect late.
		cm.record, cm.revision = *found, revision
		return ErrUnavailable
	}
	cl.lose(cm, found)
	return ErrLost
}

func (cl *Claimer) write(ctx context.Context, cm *claim, next record, revision int64) (int64, error) {
	value, err := next.encode()
	if err != nil {
		return 0, err
	}
	written, err := storer.SwapSettled(ctx, cl.store, cm.key(), value, revision, isBatch(next.batch))
	if storer.Is(err, storer.Conflict) {
		return 0, errors.Wrapf(ErrHeld, "%v", err)
	}
	if err != nil {
		return 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return written, nil
}

// read returns the record of a resource; one that does not exist has epoch
// zero and no holder.
func (cl *Claimer) read(ctx context.Context, cm *claim) (*record, int64, error) {
	en, err := cl.store.Get(ctx, cm.key())
	if storer.Is(err, storer.NotFound) {
		return &record{}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	rc, err := decodeRecord(en.Value)
	if err != nil {
		cl.registry.Inc("claim", "corrupt")
		return nil, 0, err
	}
	return rc, en.Revision, nil
}

// Handle answers a peer that asks for a resource. The node gives up what its
// own view gives to the requester, and nothing that the view gives to itself.
func (cl *Claimer) Handle(ctx context.Context, rl *messenger.Release) (*messenger.Released, error) {
	cm, err := cl.enter(ctx, rl.Resource)
	if err != nil {
		return nil, err
	}
	defer cm.leave()
	if !cm.held || cm.record.epoch != rl.Epoch {
		return &messenger.Released{}, nil
	}
	owner, ok := cl.view().Owner(rl.Resource)
	if !ok || owner.ID != rl.Requester {
		cl.registry.Inc("claim", "kept")
		return &messenger.Released{}, nil
	}
	if err := cl.giveUp(ctx, cm); err != nil {
		return nil, err
	}
	return &messenger.Released{Done: true}, nil
}
