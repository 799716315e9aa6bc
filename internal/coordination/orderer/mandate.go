package orderer

import "time"

// Mandate is what a node may order a backend server with.
type Mandate struct {
	// Number is the greatest fencing number that is certainly recorded.
	Number int64
	// Claim is the fencing number with which the node took the server over. It
	// changes whenever the node may have lost the server meanwhile; 1 means
	// that no node owned the server before.
	Claim int64
	// Claimed is when the takeover was known to have taken effect.
	Claimed time.Time
	// Confirmed is when the last write of the record was begun that took
	// effect: the node owned the server then.
	Confirmed time.Time
}

// Fence returns the mandate for a server that the node owns by its record.
// Any goroutine may call it.
func (od *Orderer) Fence(server string) (Mandate, bool) {
	od.mu.Lock()
	defer od.mu.Unlock()
	md, ok := od.mandates[server]
	return md, ok
}

// Raise asks for a new fencing number, with a write that confirms that the
// node owns the server. Any goroutine may call it.
func (od *Orderer) Raise(server string) {
	od.mu.Lock()
	defer od.mu.Unlock()
	od.raises[server] = true
}

// share lets other goroutines see the keeper's mandate, and takes in what they
// asked for.
func (od *Orderer) share(kp *keeper) {
	od.mu.Lock()
	defer od.mu.Unlock()
	server := kp.goal.server
	if kp.ledger == nil {
		delete(od.mandates, server)
		return
	}
	od.mandates[server] = kp.mandate
	if od.raises[server] {
		delete(od.raises, server)
		kp.raise = true
	}
}

func (od *Orderer) unshare(server string) {
	od.mu.Lock()
	defer od.mu.Unlock()
	delete(od.mandates, server)
	delete(od.raises, server)
}

// raiseFence records a greater fencing number.
func (kp *keeper) raiseFence() *step {
	kp.raise = false
	kp.ledger.Advance()
	return kp.record(kp.ledger, kp.revision, func(time.Time) {})
}
