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

// processState returns what is known of a process that served a request at the address.
// While the registrations are not current, the server is asked.
func (rn *Runner) processState(ctx context.Context, pr versionkeeper.Process, address string) truncationdetector.State {
	sn := rn.snapshot.Load()
	if sn == nil || pr.Server == "" {
		return truncationdetector.Running
	}
	for _, sv := range sn.servers {
		if (sv.ID == pr.Server || sv.Address == address) && sv.Incarnation > pr.Incarnation {
			return truncationdetector.Replaced
		}
	}
	if rn.relayer.Age() <= currentAge {
		return truncationdetector.Running
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if number, ok := rn.askIncarnation(ctx, pr.Server, address); ok && number > pr.Incarnation {
		return truncationdetector.Replaced
	}
	return truncationdetector.Running
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
