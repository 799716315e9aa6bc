package dispatcher

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// freeHops is the number of servers without the adapter after which a request waits
	// before it goes to the next one. hopPause is the first wait; it grows by as much with
	// each one. No wait is longer than maxHopPause: a server may have room before what
	// the node was notified of it ends.
	freeHops    = 2
	hopPause    = 20 * time.Millisecond
	maxHopPause = 200 * time.Millisecond
	// maxHopping bounds the requests that wait like this, since they are in no queue that
	// bounds them.
	maxHopping = 256
	// maxHopsLogged bounds the log lines on servers without the adapter of one request.
	maxHopsLogged = 4
)

// hop sends a request whose adapter is not ready on one server to another one. It goes on
// while an answer can still come in time: the request has cost no server anything, and
// its caller, when it came back, would find the same state.
func (pe *proxyExecution) hop(ctx context.Context, fl *failure, refusal *refuser.Refusal) (again bool, rf *refuser.Refusal) {
	pe.hops++
	pause := max(pe.ds.adapters.Pause(pe.ticket.Adapter), time.Duration(pe.hops-freeHops)*hopPause)
	pause = min(pause, maxHopPause)
	pe.ds.registry.Inc("adapter", "hop")
	waiting := pe.ds.hopping.Add(1)
	defer pe.ds.hopping.Add(-1)
	if waiting > maxHopping || time.Until(pe.ticket.LatestStart())-pause < max(pe.ticket.Class.FirstToken(), minTimeToSend) {
		pe.ds.registry.Inc("adapter", "hops-ended")
		return false, pe.deliverBufferedFailure(refusal.WithRetryAfter(max(refusal.RetryAfter(), fl.retryAfter)))
	}
	if pause > 0 && !waiter.Sleep(ctx, pause) {
		return false, pe.endRefusal(ctx)
	}
	return true, nil
}
