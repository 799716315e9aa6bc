package orderer

import (
	"maps"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// replicaStatus says whether a model's record counts the replica on the
// reconciler's server. The zero value means that this is unknown.
type replicaStatus int

const (
	counted replicaStatus = iota + 1
	uncounted
)

// reconcileReplicas updates the models' records: confirmed replicas on the
// server count, and lost ones don't.
func (rc *reconciler) reconcileReplicas(time.Time) *step {
	names := map[string]bool{}
	for model := range rc.replicaStatus {
		names[model] = true
	}
	for _, en := range rc.ledger.Entries() {
		names[en.Model()] = true
	}
	for _, model := range slices.Sorted(maps.Keys(names)) {
		if counts, ok := rc.replicaMismatch(model); ok {
			return rc.recordReplica(model, counts)
		}
	}
	return nil
}

// replicaMismatch reports whether the model's record needs an update (ok), and
// whether the server's replica should count.
func (rc *reconciler) replicaMismatch(model string) (counts, ok bool) {
	safe := rc.ledger.ModelStaysLoaded(model, accountant.Copy{})
	switch rc.replicaStatus[model] {
	case counted:
		return false, !safe
	case uncounted:
		dc, desired := rc.goal.desiredCopy(model)
		return true, desired && rc.ledger.StaysLoaded(dc.Copy)
	default:
		return safe, true
	}
}

// recordReplica returns the step that records whether the server's replica of
// the model counts. It skips the write if the record already says so and no
// pending write of this or an earlier owner can still take effect on the
// record that was read.
func (rc *reconciler) recordReplica(model string, counts bool) *step {
	return rc.readReplicas(model, func(now time.Time, rp *accountant.Replicas, revision int64) {
		fresh := rp.Fence(rc.goal.server) >= rc.takeoverFence && !rc.uncertainWrites[model]
		if fresh && rp.Counts(rc.goal.server) == counts {
			rc.setReplicaStatus(model, counts)
			return
		}
		rc.queuedStep = rc.writeReplicas(now, model, rp, revision, counts)
	})
}

func (rc *reconciler) readReplicas(model string, then func(time.Time, *accountant.Replicas, int64)) *step {
	return &step{readTask{modelPrefix + model}, func(now time.Time, rs result) {
		if rs.err != nil {
			rc.fail(now, "store", rs.err)
			return
		}
		rp, err := accountant.DecodeReplicas(rs.entry.Value)
		if err != nil {
			rc.fail(now, "corrupt-record", err)
			return
		}
		then(now, rp, rs.entry.Revision)
	}}
}

// writeReplicas returns the step that records, with the current fencing number,
// whether the server's replica counts.
func (rc *reconciler) writeReplicas(now time.Time, model string, rp *accountant.Replicas, revision int64, counts bool) *step {
	if !rp.Set(rc.goal.server, rc.ledger.Fence(), counts) {
		rc.dropRecord()
		rc.fail(now, "lost-ownership", nil)
		return nil
	}
	batch := rc.newBatch()
	rp.SetBatch(batch)
	value, err := rp.Encode()
	if err != nil {
		rc.fail(now, "corrupt-record", err)
		return nil
	}
	isOwnWrite := func(stored []byte) bool {
		found, err := accountant.DecodeReplicas(stored)
		return err == nil && found.Batch() == batch
	}
	rc.replicaStatus[model] = 0
	rc.uncertainWrites[model] = true
	return &step{writeTask{modelPrefix + model, value, revision, isOwnWrite}, func(now time.Time, rs result) {
		if rs.err != nil {
			rc.fail(now, "store", rs.err)
			return
		}
		rc.failures = 0
		delete(rc.uncertainWrites, model)
		rc.setReplicaStatus(model, counts)
	}}
}

func (rc *reconciler) setReplicaStatus(model string, counts bool) {
	if counts {
		rc.replicaStatus[model] = counted
		delete(rc.unloadPermitted, model)
		return
	}
	rc.replicaStatus[model] = uncounted
}

// permitUnload returns the step that removes the server's replica from the
// model's record, if enough others count, so that it may be unloaded.
func (rc *reconciler) permitUnload(cp accountant.Copy) *step {
	model := cp.Model()
	return rc.readReplicas(model, func(now time.Time, rp *accountant.Replicas, revision int64) {
		if rp.Counts(rc.goal.server) && rc.otherReplicas(model, rp) < rc.goal.minReplicas[model] {
			rc.permitRetryAt[model] = now.Add(permitRetryInterval)
			rc.refuse(cp, "last-replicas")
			return
		}
		st := rc.writeReplicas(now, model, rp, revision, false)
		if st == nil {
			return
		}
		written := st.then
		st.then = func(now time.Time, rs result) {
			written(now, rs)
			rc.unloadPermitted[model] = rs.err == nil
		}
		rc.queuedStep = st
	})
}

// otherReplicas returns the number of replicas on other servers that count and
// serve the model.
func (rc *reconciler) otherReplicas(model string, rp *accountant.Replicas) int {
	count := 0
	for _, server := range rp.Servers() {
		if server != rc.goal.server && rc.serving(model, server) {
			count++
		}
	}
	return count
}
