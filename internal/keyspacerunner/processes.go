package keyspacerunner

import (
	"context"
	"strconv"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/truncationdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
)

// currentAge is the age of the node's copy of the registrations up to which it has the servers
// that started before.
const currentAge = 1200 * time.Millisecond

// stopMargin is how late the time at which a server stops may reach the node.
const stopMargin = time.Second

// processState returns what is known of a process that served a request at the address.
func (rn *Runner) processState(ctx context.Context, pr versionkeeper.Process, address string) truncationdetector.State {
	sn := rn.snapshot.Load()
	if sn == nil || pr.Server == "" {
		return truncationdetector.Running
	}
	listed := false
	for _, sv := range sn.servers {
		if (sv.ID == pr.Server || sv.Address == address) && sv.Incarnation > pr.Incarnation {
			return truncationdetector.Replaced
		}
		listed = listed || sv.ID == pr.Server
	}
	if rn.answersAsLater(ctx, pr, address) {
		return truncationdetector.Replaced
	}
	rn.mu.Lock()
	stopsAt, leaving := rn.tracker.Departure(pr.Server, pr.Incarnation)
	rn.mu.Unlock()
	switch {
	case leaving && !stopsAt.IsZero() && time.Until(stopsAt) < stopMargin:
		return truncationdetector.Stopped
	case leaving:
		return truncationdetector.Leaving
	case !listed:
		return truncationdetector.Unlisted
	}
	return truncationdetector.Running
}

// answersAsLater reports whether a later process of the server answers at the address. The
// server is asked only while it may have started again without being registered.
func (rn *Runner) answersAsLater(ctx context.Context, pr versionkeeper.Process, address string) bool {
	if rn.relayer.Age() <= currentAge {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	number, ok := rn.askIncarnation(ctx, pr.Server, address)
	return ok && number > pr.Incarnation
}

// askIncarnation asks the server at the address which of its processes answers. It returns
// false if the server does not say.
func (rn *Runner) askIncarnation(ctx context.Context, server, address string) (int64, bool) {
	if rn.binding.EngineClient == nil {
		return 0, false
	}
	st, err := rn.binding.EngineClient.State(ctx, server, address)
	if err != nil {
		return 0, false
	}
	number, err := strconv.ParseInt(st.Boot, 10, 64)
	return number, err == nil
}
