package accountant

import (
	"slices"
	"time"
)

// Ledger is the record of one backend server. It is not safe for use by
// several goroutines.
type Ledger struct {
	batch     string
	owner     string
	fence     int64
	boot      string
	role      string
	roleBytes int64
	entries   []Entry
	attempts  []Attempt
}

// Batch returns the id of the write that stored the ledger.
func (lg *Ledger) Batch() string { return lg.batch }

// SetBatch sets the id of the next write.
func (lg *Ledger) SetBatch(batch string) { lg.batch = batch }

// Owner returns the id of the node that took the record last.
func (lg *Ledger) Owner() string { return lg.owner }

// Fence returns the greatest fencing number given out.
func (lg *Ledger) Fence() int64 { return lg.fence }

// Boot returns the boot id of the engine seen last.
func (lg *Ledger) Boot() string { return lg.boot }

// Role returns the role confirmed last, or nothing.
func (lg *Ledger) Role() string { return lg.role }

// Entries returns the entries in the order of their making.
func (lg *Ledger) Entries() []Entry { return lg.entries }

// Attempts returns the sendings whose outcome is unknown.
func (lg *Ledger) Attempts() []Attempt { return lg.attempts }

// StartAt raises the fencing number to a floor, for a record that begins anew
// while numbers up to the floor were in use.
func (lg *Ledger) StartAt(floor int64) { lg.fence = max(lg.fence, floor) }

// TakeOver makes a node the owner, with a new fencing number, and starts the
// late-order bound of every attempt anew.
func (lg *Ledger) TakeOver(owner string, now time.Time) {
	lg.owner = owner
	lg.fence++
	for ix := range lg.attempts {
		lg.attempts[ix].seen = now
	}
}

// Advance gives the owner a greater fencing number.
func (lg *Ledger) Advance() { lg.fence++ }

// Entry returns the entry of a copy.
func (lg *Ledger) Entry(cp Copy) (Entry, bool) {
	if ix := lg.find(cp); ix >= 0 {
		return lg.entries[ix], true
	}
	return Entry{}, false
}

func (lg *Ledger) find(cp Copy) int {
	return slices.IndexFunc(lg.entries, func(en Entry) bool { return en.Copy == cp })
}

// Reserved returns the bytes that are or may come to be in use by copies of
// models and by the role.
func (lg *Ledger) Reserved() int64 {
	sum := lg.roleNeed()
	for _, en := range lg.entries {
		sum += max(en.bytes, lg.mayLoad(en.Copy))
	}
	for ix, at := range lg.attempts {
		if at.action == Load && lg.find(at.Copy) < 0 && lg.firstLoad(ix) {
			sum += lg.mayLoad(at.Copy)
		}
	}
	return sum
}

// mayLoad returns the most bytes that an attempt may load for the copy.
func (lg *Ledger) mayLoad(cp Copy) int64 {
	most := int64(0)
	for _, at := range lg.attempts {
		if at.action == Load && at.Copy == cp {
			most = max(most, at.bytes)
		}
	}
	return most
}

// firstLoad reports whether no earlier attempt loads the same copy.
func (lg *Ledger) firstLoad(ix int) bool {
	return !slices.ContainsFunc(lg.attempts[:ix], func(at Attempt) bool {
		return at.action == Load && at.Copy == lg.attempts[ix].Copy
	})
}

// roleNeed returns the most bytes that the role or one that an attempt may
// still set keeps for KV cache.
func (lg *Ledger) roleNeed() int64 {
	most := lg.roleBytes
	for _, at := range lg.attempts {
		if at.action == SetRole {
			most = max(most, at.bytes)
		}
	}
	return most
}

// Fits reports whether a copy can be loaded without reserving more than limit.
func (lg *Ledger) Fits(limit int64, cp Copy, bytes int64) bool {
	had := int64(0)
	if en, ok := lg.Entry(cp); ok {
		had = en.bytes
	}
	had = max(had, lg.mayLoad(cp))
	return lg.Reserved()-had+max(had, bytes) <= limit
}

// FitsRole reports whether a role can be set without reserving more than limit.
func (lg *Ledger) FitsRole(limit, bytes int64) bool {
	need := lg.roleNeed()
	return lg.Reserved()-need+max(need, bytes) <= limit
}

// Begin notes that an order is about to be sent and returns its attempt, which
// carries the next fencing number.
func (lg *Ledger) Begin(action Action, cp Copy, bytes int64, now time.Time) Attempt {
	lg.fence++
	at := Attempt{Copy: cp, fence: lg.fence, action: action, bytes: bytes, boot: lg.boot, seen: now}
	lg.attempts = append(lg.attempts, at)
	switch action {
	case Load:
		lg.put(Entry{cp, bytes, IntendedLoad})
	case Unload:
		lg.put(Entry{cp, bytes, IntendedUnload})
	case SetRole:
	}
	return at
}

// put sets the state of a copy and never lowers its bytes.
func (lg *Ledger) put(en Entry) {
	ix := lg.find(en.Copy)
	if ix < 0 {
		lg.entries = append(lg.entries, en)
		return
	}
	en.bytes = max(en.bytes, lg.entries[ix].bytes)
	lg.entries[ix] = en
}

// Answered notes that the engine carried out the order with that fencing
// number.
func (lg *Ledger) Answered(fence int64) {
	at, ok := lg.take(fence)
	if !ok {
		return
	}
	switch at.action {
	case Load:
		lg.put(Entry{at.Copy, at.bytes, Loaded})
	case Unload:
		lg.remove(at.Copy)
	case SetRole:
		lg.role, lg.roleBytes = at.model, at.bytes
	}
}

// NotDone notes that the order was not sent or that the engine refused it.
func (lg *Ledger) NotDone(fence int64) { lg.take(fence) }

func (lg *Ledger) take(fence int64) (Attempt, bool) {
	ix := slices.IndexFunc(lg.attempts, func(at Attempt) bool { return at.fence == fence })
	if ix < 0 {
		return Attempt{}, false
	}
	at := lg.attempts[ix]
	lg.attempts = slices.Delete(lg.attempts, ix, ix+1)
	return at, true
}

func (lg *Ledger) remove(cp Copy) {
	lg.entries = slices.DeleteFunc(lg.entries, func(en Entry) bool { return en.Copy == cp })
}

// Acknowledged notes that an engine which checks fencing numbers and boot ids
// has seen the fencing number: it refuses every attempt with a lower one.
func (lg *Ledger) Acknowledged(fence int64) {
	lg.attempts = slices.DeleteFunc(lg.attempts, func(at Attempt) bool { return at.fence < fence })
}

// Expire ends the attempts that the owner has known for longer than the bound.
func (lg *Ledger) Expire(now time.Time, bound time.Duration) {
	if bound <= 0 {
		return
	}
	lg.attempts = slices.DeleteFunc(lg.attempts, func(at Attempt) bool { return now.Sub(at.seen) > bound })
}

// Rebooted notes the engine's boot id and reports whether it changed. An
// engine that started again holds nothing; what attempts may still load stays
// reserved. An engine that checks boot ids refuses the attempts of earlier
// boots.
func (lg *Ledger) Rebooted(boot string, checks bool) bool {
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
	lg.role, lg.roleBytes = "", lg.roleNeed()
	return true
}

// Observe takes what an engine says it holds as evidence of more memory in
// use. A copy that the engine lacks keeps its reservation and has to be
// ordered again.
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
		lg.put(en)
	}
	for ix, en := range lg.entries {
		ready := slices.ContainsFunc(residents, func(rs Resident) bool { return rs.Copy == en.Copy && rs.ready })
		if en.state == Loaded && !ready {
			lg.entries[ix].state = IntendedLoad
		}
	}
}

// Safe reports whether a copy serves and no order that may still arrive takes
// it out of memory.
func (lg *Ledger) Safe(cp Copy) bool {
	en, ok := lg.Entry(cp)
	return ok && en.state == Loaded && !lg.Pending(Unload, cp)
}

// SafeModel reports whether any copy of the model but one is safe.
func (lg *Ledger) SafeModel(model string, but Copy) bool {
	return slices.ContainsFunc(lg.entries, func(en Entry) bool {
		return en.model == model && en.Copy != but && lg.Safe(en.Copy)
	})
}

// Pending reports whether an attempt of the action may still arrive for the
// copy.
func (lg *Ledger) Pending(action Action, cp Copy) bool {
	return slices.ContainsFunc(lg.attempts, func(at Attempt) bool {
		return at.action == action && at.Copy == cp
	})
}

// Assume reserves at least the bytes for the role of an engine whose role was
// never confirmed.
func (lg *Ledger) Assume(bytes int64) {
	if lg.role == "" {
		lg.roleBytes = max(lg.roleBytes, bytes)
	}
}
