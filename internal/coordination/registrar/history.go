package registrar

import "time"

// history is what the registrations that a process read first tell of processes before
// it.
type history struct {
	// registered says that an earlier process had the node's address.
	registered bool
	// started holds the start times of the processes of the other nodes, in Unix
	// milliseconds; 0 means unknown.
	started []int64
}

func (rg *Registrar) historyLocked() *history {
	own := rg.presence()
	hy := &history{}
	for _, mb := range rg.members {
		switch {
		case mb.presence.PeerAddress != own.PeerAddress:
			hy.started = append(hy.started, mb.presence.Started)
		case mb.presence.ID != own.ID:
			hy.registered = true
		}
	}
	return hy
}

// MayHavePredecessor reports whether an earlier process of the node may have run within
// the time before this one started. It is false only if the node's address was not
// registered and the processes of all other nodes are as new as this one: registrations of
// lost nodes are removed, so that a missing one alone says little. It returns true until
// the registrations were read.
func (rg *Registrar) MayHavePredecessor(within time.Duration) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.history == nil || rg.history.registered {
		return true
	}
	own := rg.presence().Started
	for _, started := range rg.history.started {
		if started == 0 || max(own-started, started-own) >= within.Milliseconds() {
			return true
		}
	}
	return false
}
