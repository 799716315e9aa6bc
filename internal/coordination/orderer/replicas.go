package orderer

import (
	"maps"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
)

// standing is what a model's record is known to say of the keeper's server.
// The zero value means that it is not known.
type standing int

const (
	counted standing = iota + 1
	uncounted
)

// settle brings the models' records in line with what is safe on the server: a
// confirmed replica is counted, a lost one no longer is.
func (kp *keeper) settle(time.Time) *step {
	names := map[string]bool{}
	for model := range kp.standing {
		names[model] = true
	}
	for _, en := range kp.ledger.Entries() {
		names[en.Model()] = true
	}
	for _, model := range slices.Sorted(maps.Keys(names)) {
		if counts, ok := kp.misjudged(model); ok {
			return kp.count(model, counts)
		}
	}
	return nil
}

// misjudged returns what the record of the model should say if it is not known
// to say so.
func (kp *keeper) misjudged(model string) (counts, ok bool) {
	safe := kp.ledger.SafeModel(model, accountant.Copy{})
	switch kp.standing[model] {
	case counted:
		return false, !safe
	case uncounted:
		wn, wanted := kp.goal.want(model)
		return true, wanted && kp.ledger.Safe(wn.Copy)
	default:
		return safe, true
	}
}

// count writes whether the server's replica of the model counts. It spares the
// write only if no earlier one, of this or an older owner, can still take
// effect on the record as it was read.
func (kp *keeper) count(model string, counts bool) *step {
	return kp.readReplicas(model, func(now time.Time, rp *accountant.Replicas, revision int64) {
		fresh := rp.Fence(kp.goal.server) >= kp.claimFence && !kp.unsure[model]
		if fresh && rp.Counts(kp.goal.server) == counts {
			kp.stand(model, counts)
			return
		}
		kp.queued = kp.writeReplicas(now, model, rp, revision, counts)
	})
}

func (kp *keeper) readReplicas(model string, then func(time.Time, *accountant.Replicas, int64)) *step {
	return &step{readTask{modelPrefix + model}, func(now time.Time, rs result) {
		if rs.err != nil {
			kp.fail(now, "store", rs.err)
			return
		}
		rp, err := accountant.DecodeReplicas(rs.entry.Value)
		if err != nil {
			kp.fail(now, "corrupt-record", err)
			return
		}
		then(now, rp, rs.entry.Revision)
	}}
}

// writeReplicas says with the present fencing number whether the server counts.
func (kp *keeper) writeReplicas(now time.Time, model string, rp *accountant.Replicas, revision int64, counts bool) *step {
	if !rp.Set(kp.goal.server, kp.ledger.Fence(), counts) {
		kp.drop()
		kp.fail(now, "lost-ownership", nil)
		return nil
	}
	batch := kp.newBatch()
	rp.SetBatch(batch)
	value, err := rp.Encode()
	if err != nil {
		kp.fail(now, "corrupt-record", err)
		return nil
	}
	mine := func(stored []byte) bool {
		found, err := accountant.DecodeReplicas(stored)
		return err == nil && found.Batch() == batch
	}
	kp.standing[model] = 0
	kp.unsure[model] = true
	return &step{writeTask{modelPrefix + model, value, revision, mine}, func(now time.Time, rs result) {
		if rs.err != nil {
			kp.fail(now, "store", rs.err)
			return
		}
		kp.failures = 0
		delete(kp.unsure, model)
		kp.stand(model, counts)
	}}
}

func (kp *keeper) stand(model string, counts bool) {
	if counts {
		kp.standing[model] = counted
		delete(kp.permits, model)
		return
	}
	kp.standing[model] = uncounted
}

// permit takes the server's replica out of the model's record, if enough others
// count, so that it may be unloaded.
func (kp *keeper) permit(cp accountant.Copy) *step {
	model := cp.Model()
	return kp.readReplicas(model, func(now time.Time, rp *accountant.Replicas, revision int64) {
		if rp.Counts(kp.goal.server) && kp.others(model, rp) < kp.goal.minReplicas[model] {
			kp.denied[model] = now.Add(denialInterval)
			kp.refuse(cp, "last-replicas")
			return
		}
		st := kp.writeReplicas(now, model, rp, revision, false)
		if st == nil {
			return
		}
		written := st.then
		st.then = func(now time.Time, rs result) {
			written(now, rs)
			kp.permits[model] = rs.err == nil
		}
		kp.queued = st
	})
}

// others returns how many replicas on other servers count and serve.
func (kp *keeper) others(model string, rp *accountant.Replicas) int {
	count := 0
	for _, server := range rp.Servers() {
		if server != kp.goal.server && kp.serving(model, server) {
			count++
		}
	}
	return count
}
