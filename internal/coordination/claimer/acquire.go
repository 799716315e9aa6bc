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

// acquire takes a resource that the view assigns to the node.
func (cl *Claimer) acquire(ctx context.Context, cm *claim, vw *prober.View) (int64, error) {
	now := time.Now()
	if now.Before(cm.notBefore) || !cl.limiter.AllowN(now, 1) {
		return 0, ErrWait
	}
	found, revision, err := cl.read(ctx, cm)
	if err != nil {
		cl.backOff(cm)
		return 0, err
	}
	if found.batch == cm.pendingBatch && found.holder == vw.Self() && !found.released {
		// The write took effect although its answer was lost.
		return cl.recordAcquired(cm, *found, revision), nil
	}
	requested, err := cl.requestRelease(ctx, cm, vw, found)
	if err == nil && requested {
		found, revision, err = cl.read(ctx, cm)
	}
	if err == nil && requested && !found.released {
		err = errors.Wrapf(ErrHeld, "resource %s, holder %s", cm.resource, found.holder)
	}
	if err != nil {
		cl.backOff(cm)
		return 0, err
	}
	return cl.take(ctx, cm, found, revision)
}

// requestRelease makes sure that the node may take the resource from its
// holder. It reports whether it requested a release from the holder.
func (cl *Claimer) requestRelease(ctx context.Context, cm *claim, vw *prober.View, found *record) (requested bool, err error) {
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
	return true, errors.Wrapf(ErrHeld, "resource %s, holder %s", cm.resource, found.holder)
}

// take makes the node the holder: it replaces the record that was found with
// one of the next epoch.
func (cl *Claimer) take(ctx context.Context, cm *claim, found *record, revision int64) (int64, error) {
	vw := cl.view()
	if vw.Stale() {
		return 0, ErrNotOwner
	}
	next := record{epoch: found.epoch + 1, holder: vw.Self(), batch: rand.Text(), payload: found.payload}
	cm.pendingBatch = next.batch
	written, err := cl.write(ctx, cm, next, revision)
	if err != nil {
		cl.backOff(cm)
		return 0, err
	}
	cl.registry.Inc("claim", "acquired")
	return cl.recordAcquired(cm, next, written), nil
}

// recordAcquired records that the node has acquired the resource.
func (cl *Claimer) recordAcquired(cm *claim, rc record, revision int64) int64 {
	cm.held = true
	cm.backoff = 0
	cm.acquiredAt = time.Now()
	return cl.recordConfirmed(cm, rc, revision)
}

// recordConfirmed records that the node holds the resource now.
func (cl *Claimer) recordConfirmed(cm *claim, rc record, revision int64) int64 {
	assertMonotonic(cm.resource, cm.highestEpoch, rc.epoch)
	cm.highestEpoch = max(cm.highestEpoch, rc.epoch)
	cm.record, cm.revision = rc, revision
	cm.confirmedAt = time.Now()
	cm.nextCheck = cm.confirmedAt.Add(cl.jitter(checkInterval))
	return rc.epoch
}

// assertMonotonic asserts that the epochs of a resource never decrease.
func assertMonotonic(resource string, before, after int64) {
	checker.Assert(checker.FenceMonotonic, after >= before, "%s: epoch %d after %d", resource, after, before)
}

// recheck reads the record of a held resource when that is due, and releases
// the resource if the node is leaving. While the store is down the node keeps
// the resource, unless it was paused since the last confirmation.
func (cl *Claimer) recheck(ctx context.Context, cm *claim, vw *prober.View) (int64, error) {
	now := time.Now()
	if mb, ok := vw.Member(vw.Self()); ok && mb.State == prober.Leaving {
		return 0, errors.Join(ErrNotOwner, cl.writeReleased(ctx, cm))
	}
	confirmed := !cm.confirmedAt.Before(vw.ValidSince())
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
	case !found.sameHolder(&cm.record):
		cl.recordLost(cm, found)
		return 0, ErrLost
	}
	return cl.recordConfirmed(cm, *found, revision), nil
}

// recordLost records that another node took the resource, and delays the next
// acquisition, longer after each loss.
func (cl *Claimer) recordLost(cm *claim, found *record) {
	now := time.Now()
	cl.registry.Inc("claim", "lost")
	assertMonotonic(cm.resource, cm.record.epoch, found.epoch)
	if now.Sub(cm.acquiredAt) > maxLossBackoff+cm.lossDelay {
		cm.lossDelay = 0
	}
	cm.lossDelay = min(max(2*cm.lossDelay, minLossBackoff), maxLossBackoff)
	cm.notBefore = now.Add(cl.jitter(cm.lossDelay))
	cm.held = false
	cm.record = record{}
}

// backOff delays the next acquisition with exponential backoff.
func (cl *Claimer) backOff(cm *claim) {
	cm.backoff = min(max(2*cm.backoff, minBackoff), maxBackoff)
	cm.notBefore = time.Now().Add(cl.jitter(cm.backoff))
}

// writeReleased marks the record of a held resource as released.
func (cl *Claimer) writeReleased(ctx context.Context, cm *claim) error {
	next := cm.record
	next.released = true
	if err := cl.rewrite(ctx, cm, next); err != nil {
		return err
	}
	cl.registry.Inc("claim", "released")
	cm.held = false
	return nil
}

// rewrite replaces the record of a held resource under the same epoch.
func (cl *Claimer) rewrite(ctx context.Context, cm *claim, next record) error {
	next.batch = rand.Text()
	written, err := cl.write(ctx, cm, next, cm.revision)
	switch {
	case errors.Is(err, ErrHeld):
		return cl.resolveConflict(ctx, cm)
	case err != nil:
		cm.confirmedAt = time.Time{}
		return err
	}
	cm.record, cm.revision = next, written
	return nil
}

// resolveConflict finds out which node changed the record of a held resource.
// It returns ErrLost if another node took the resource, and ErrUnavailable if
// an earlier write of this node took effect late.
func (cl *Claimer) resolveConflict(ctx context.Context, cm *claim) error {
	cm.confirmedAt = time.Time{}
	found, revision, err := cl.read(ctx, cm)
	if err != nil {
		return err
	}
	if found.sameHolder(&cm.record) {
		cm.record, cm.revision = *found, revision
		return ErrUnavailable
	}
	cl.recordLost(cm, found)
	return ErrLost
}

// write replaces the record of a resource and returns its new revision. The
// error wraps ErrHeld if the record is not at the given revision, and
// ErrUnavailable if the store did not answer.
func (cl *Claimer) write(ctx context.Context, cm *claim, next record, revision int64) (int64, error) {
	value, err := next.encode()
	if err != nil {
		return 0, err
	}
	written, err := storer.SwapSettled(ctx, cl.store, cm.key(), value, revision, hasBatch(next.batch))
	if storer.Is(err, storer.Conflict) {
		return 0, errors.Wrapf(ErrHeld, "%v", err)
	}
	if err != nil {
		return 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return written, nil
}

// read returns the record of a resource and its revision. A missing record has
// epoch 0 and no holder.
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

// Handle answers a peer's request to release a resource. The node releases the
// resource only if its own view assigns the resource to the requester.
func (cl *Claimer) Handle(ctx context.Context, rl *messenger.Release) (*messenger.Released, error) {
	cm, err := cl.lockClaim(ctx, rl.Resource)
	if err != nil {
		return nil, err
	}
	defer cm.unlock()
	if !cm.held || cm.record.epoch != rl.Epoch {
		return &messenger.Released{}, nil
	}
	owner, ok := cl.view().Owner(rl.Resource)
	if !ok || owner.ID != rl.Requester {
		cl.registry.Inc("claim", "kept")
		return &messenger.Released{}, nil
	}
	if err := cl.writeReleased(ctx, cm); err != nil {
		return nil, err
	}
	return &messenger.Released{Done: true}, nil
}
