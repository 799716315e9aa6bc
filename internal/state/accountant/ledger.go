package accountant

import (
	"slices"
	"time"
)

// Ledger is the record of one backend server. It is not safe for use by
// several goroutines.
type Ledger struct {
	batch     string    // id of the write that stored the ledger
	owner     string    // id of the node that last took the ledger over
	fence     int64     // greatest fencing number issued
	boot      string    // boot id of the engine seen last; empty if none was
	role      string    // role confirmed last; empty if none was
	roleBytes int64     // memory reserved for the role's KV cache
	entries   []Entry   // in order of creation
	attempts  []Attempt // those whose outcome is unknown
}

// Batch returns the id of the write that stored the ledger.
func (lg *Ledger) Batch() string { return lg.batch }

// SetBatch sets the id of the next write.
func (lg *Ledger) SetBatch(batch string) { lg.batch = batch }

// Owner returns the id of the node that last took the ledger over.
func (lg *Ledger) Owner() string { return lg.owner }

// Fence returns the greatest fencing number issued.
func (lg *Ledger) Fence() int64 { return lg.fence }

// Boot returns the boot id of the engine seen last.
func (lg *Ledger) Boot() string { return lg.boot }

// Role returns the role confirmed last, or an empty string.
func (lg *Ledger) Role() string { return lg.role }

// Entries returns the entries in order of creation.
func (lg *Ledger) Entries() []Entry { return lg.entries }

// Attempts returns the attempts whose outcome is unknown.
func (lg *Ledger) Attempts() []Attempt { return lg.attempts }

// RaiseFence raises the fencing number to at least floor. A new record needs it
// if fencing numbers up to floor have been used before.
func (lg *Ledger) RaiseFence(floor int64) { lg.fence = max(lg.fence, floor) }

// TakeOver makes a node the owner, with a new fencing number, and restarts the
// late-order bound of every attempt.
func (lg *Ledger) TakeOver(owner string, now time.Time) {
	lg.owner = owner
	lg.fence++
	for ix := range lg.attempts {
		lg.attempts[ix].firstSeen = now
	}
}

// Advance increments the fencing number.
func (lg *Ledger) Advance() { lg.fence++ }

// Entry returns the entry of a copy, and false if there is none.
func (lg *Ledger) Entry(cp Copy) (Entry, bool) {
	if ix := lg.indexOf(cp); ix >= 0 {
		return lg.entries[ix], true
	}
	return Entry{}, false
}

func (lg *Ledger) indexOf(cp Copy) int {
	return slices.IndexFunc(lg.entries, func(en Entry) bool { return en.Copy == cp })
}

// Reserved returns the bytes that the copies of models and the role use or may
// still come to use.
func (lg *Ledger) Reserved() int64 {
	sum := lg.maxRoleBytes()
	for _, en := range lg.entries {
		sum += max(en.bytes, lg.pendingLoadBytes(en.Copy))
	}
	for ix, at := range lg.attempts {
		if at.action == Load && lg.indexOf(at.Copy) < 0 && lg.isFirstLoad(ix) {
			sum += lg.pendingLoadBytes(at.Copy)
		}
	}
	return sum
}

// pendingLoadBytes returns the most bytes that an attempt may load for the
// copy.
func (lg *Ledger) pendingLoadBytes(cp Copy) int64 {
	most := int64(0)
	for _, at := range lg.attempts {
		if at.action == Load && at.Copy == cp {
			most = max(most, at.bytes)
		}
	}
	return most
}

// isFirstLoad reports whether no earlier attempt loads the same copy.
func (lg *Ledger) isFirstLoad(ix int) bool {
	return !slices.ContainsFunc(lg.attempts[:ix], func(at Attempt) bool {
		return at.action == Load && at.Copy == lg.attempts[ix].Copy
	})
}

// maxRoleBytes returns the most KV cache bytes of the current role and of the
// roles that attempts may still set.
func (lg *Ledger) maxRoleBytes() int64 {
	most := lg.roleBytes
	for _, at := range lg.attempts {
		if at.action == SetRole {
			most = max(most, at.bytes)
		}
	}
	return most
}

// Fits reports whether a copy of the given size can be loaded with at most
// limit bytes reserved.
func (lg *Ledger) Fits(limit int64, cp Copy, bytes int64) bool {
	current := int64(0)
	if en, ok := lg.Entry(cp); ok {
		current = en.bytes
	}
	current = max(current, lg.pendingLoadBytes(cp))
	return lg.Reserved()-current+max(current, bytes) <= limit
}

// FitsRole reports whether a role with the given KV cache size can be set with
// at most limit bytes reserved.
func (lg *Ledger) FitsRole(limit, bytes int64) bool {
	current := lg.maxRoleBytes()
	return lg.Reserved()-current+max(current, bytes) <= limit
}

// Begin records that an order is about to be sent and returns its attempt,
// which has the next fencing number.
func (lg *Ledger) Begin(action Action, cp Copy, bytes int64, now time.Time) Attempt {
	lg.fence++
	at := Attempt{Copy: cp, fence: lg.fence, action: action, bytes: bytes, boot: lg.boot, firstSeen: now}
	lg.attempts = append(lg.attempts, at)
	switch action {
	case Load:
		lg.setEntry(Entry{cp, bytes, IntendedLoad})
	case Unload:
		lg.setEntry(Entry{cp, bytes, IntendedUnload})
	case SetRole:
	}
	return at
}

// setEntry sets the state of a copy and never lowers its bytes.
func (lg *Ledger) setEntry(en Entry) {
	ix := lg.indexOf(en.Copy)
	if ix < 0 {
		lg.entries = append(lg.entries, en)
		return
	}
	en.bytes = max(en.bytes, lg.entries[ix].bytes)
	lg.entries[ix] = en
}

// MarkExecuted records that the engine executed the order with that fencing
// number.
func (lg *Ledger) MarkExecuted(fence int64) {
	at, ok := lg.removeAttempt(fence)
	if !ok {
		return
	}
	switch at.action {
	case Load:
		lg.setEntry(Entry{at.Copy, at.bytes, Loaded})
	case Unload:
		lg.removeEntry(at.Copy)
	case SetRole:
		lg.role, lg.roleBytes = at.model, at.bytes
	}
}

// MarkNotExecuted records that the order was not sent or that the engine
// refused it.
func (lg *Ledger) MarkNotExecuted(fence int64) { lg.removeAttempt(fence) }

func (lg *Ledger) removeAttempt(fence int64) (Attempt, bool) {
	ix := slices.IndexFunc(lg.attempts, func(at Attempt) bool { return at.fence == fence })
	if ix < 0 {
		return Attempt{}, false
	}
	at := lg.attempts[ix]
	lg.attempts = slices.Delete(lg.attempts, ix, ix+1)
	return at, true
}

func (lg *Ledger) removeEntry(cp Copy) {
	lg.entries = slices.DeleteFunc(lg.entries, func(en Entry) bool { return en.Copy == cp })
}

// MarkAcknowledged records that the engine has seen the fencing number and ends
// all attempts with a lower one. Call it only for an engine that checks fencing
// numbers and boot ids: such an engine refuses these attempts.
func (lg *Ledger) MarkAcknowledged(fence int64) {
	lg.attempts = slices.DeleteFunc(lg.attempts, func(at Attempt) bool { return at.fence < fence })
}

// Expire ends the attempts that the owner first saw longer than bound ago. It
// does nothing if bound is zero or less.
func (lg *Ledger) Expire(now time.Time, bound time.Duration) {
	if bound <= 0 {
		return
	}
	lg.attempts = slices.DeleteFunc(lg.attempts, func(at Attempt) bool { return now.Sub(at.firstSeen) > bound })
}

// RecordBoot records the engine's boot id and reports whether the engine
// restarted. A restarted engine has no copies in memory; memory that attempts
// may still load stays reserved. If checks is set, the engine checks boot ids
// and refuses the attempts of earlier boots, so RecordBoot ends them.
func (lg *Ledger) RecordBoot(boot string, checks bool) bool {
	if lg.boot == boot {
		return false
	}
	first := lg.boot == ""
	lg.boot = boot
	if checks {
		lg.attempts = slices.DeleteFunc(lg.attempts, func(at Attempt) bool { return at.boot != "" && at.boot != boot })
	}
	if first {
		return false
	}
	lg.entries = nil
	lg.role, lg.roleBytes = "", lg.maxRoleBytes()
	return true
}

// Observe records the copies that an engine reports. They can only raise the
// reserved memory. A copy that the engine lacks keeps its reservation and has
// to be loaded again.
func (lg *Ledger) Observe(residents []Resident) {
	for _, rs := range residents {
		en, ok := lg.Entry(rs.Copy)
		if !ok {
			en = Entry{rs.Copy, rs.bytes, IntendedLoad}
		}
		if rs.ready && en.state == IntendedLoad {
			en.state = Loaded
		}
		en.bytes = max(en.bytes, rs.bytes)
		lg.setEntry(en)
	}
	for ix, en := range lg.entries {
		ready := slices.ContainsFunc(residents, func(rs Resident) bool { return rs.Copy == en.Copy && rs.ready })
		if en.state == Loaded && !ready {
			lg.entries[ix].state = IntendedLoad
		}
	}
}

// StaysLoaded reports whether a copy is loaded and no order that may still
// arrive unloads it.
func (lg *Ledger) StaysLoaded(cp Copy) bool {
	en, ok := lg.Entry(cp)
	return ok && en.state == Loaded && !lg.Pending(Unload, cp)
}

// ModelStaysLoaded reports whether StaysLoaded is true for a copy of the model
// other than except.
func (lg *Ledger) ModelStaysLoaded(model string, except Copy) bool {
	return slices.ContainsFunc(lg.entries, func(en Entry) bool {
		return en.model == model && en.Copy != except && lg.StaysLoaded(en.Copy)
	})
}

// Pending reports whether an order with the action may still arrive for the
// copy.
func (lg *Ledger) Pending(action Action, cp Copy) bool {
	return slices.ContainsFunc(lg.attempts, func(at Attempt) bool {
		return at.action == action && at.Copy == cp
	})
}

// ReserveRole reserves at least the given bytes for the role if no role was
// confirmed yet.
func (lg *Ledger) ReserveRole(bytes int64) {
	if lg.role == "" {
		lg.roleBytes = max(lg.roleBytes, bytes)
	}
}
