package orderer

import "time"

// Ownership holds the fencing numbers with which a node may send orders to a
// backend server that it owns.
type Ownership struct {
	// Number is the greatest fencing number that is confirmed in the record.
	Number int64
	// Claim is the fencing number with which the node took the server over. It
	// changes whenever the node may have lost the server in between. 1 means
	// that no node owned the server before.
	Claim int64
	// Claimed is the time at which the takeover was confirmed.
	Claimed time.Time
	// Confirmed is the start of the latest confirmed write of the record. The
	// node owned the server at that time.
	Confirmed time.Time
}

// Fence returns the fencing numbers for a server, and false if the node does
// not own the server. It is safe for concurrent use.
func (od *Orderer) Fence(server string) (Ownership, bool) {
	od.mu.Lock()
	defer od.mu.Unlock()
	ow, ok := od.ownerships[server]
	return ow, ok
}

// Raise requests a greater fencing number for a server. The write that records
// it also confirms that the node still owns the server. It is safe for
// concurrent use.
func (od *Orderer) Raise(server string) {
	od.mu.Lock()
	defer od.mu.Unlock()
	od.fenceRequests[server] = true
}

// publish makes the reconciler's fencing numbers visible to other goroutines
// and passes a pending request for a new number to the reconciler.
func (od *Orderer) publish(rc *reconciler) {
	od.mu.Lock()
	defer od.mu.Unlock()
	server := rc.goal.server
	if rc.ledger == nil {
		delete(od.ownerships, server)
		return
	}
	od.ownerships[server] = rc.ownership
	if od.fenceRequests[server] {
		delete(od.fenceRequests, server)
		rc.fenceRequested = true
	}
}

func (od *Orderer) withdraw(server string) {
	od.mu.Lock()
	defer od.mu.Unlock()
	delete(od.ownerships, server)
	delete(od.fenceRequests, server)
}

// advanceFence returns the step that records a greater fencing number.
func (rc *reconciler) advanceFence() *step {
	rc.fenceRequested = false
	rc.ledger.Advance()
	return rc.writeLedger(rc.ledger, rc.revision, func(time.Time) {})
}
