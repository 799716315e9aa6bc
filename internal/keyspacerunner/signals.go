package keyspacerunner

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
)

// maxSignalling bounds the servers whose signals are kept for the log.
const maxSignalling = 4096

// noteSignals applies what a server says about itself, and logs it when it
// changes.
func (rn *Runner) noteSignals(server string, sent time.Time, sg throttler.Signals) {
	if rn.admitter.Observe(server, sent, sg) {
		go rn.tellLimitEnd(server)
	}
	if sg.Leaving && rn.markLeaving(server, sent) {
		rn.refresh()
		go rn.attributeLeaving(server)
	}
	if !rn.signalsChanged(server, sg) {
		return
	}
	line := log.WithField("server", server)
	switch {
	case sg.Leaving:
		rn.registry.Inc("signal", "leaving")
		line.Info("backend server says that it leaves")
	case sg.Pause > 0:
		rn.registry.Inc("signal", "pause")
		line.WithField("pause-ms", sg.Pause.Milliseconds()).Info("backend server wants no requests from this node")
	case sg.Limit > 0:
		rn.registry.Inc("signal", "limit")
		line.WithField("limit", sg.Limit).Info("backend server names a limit")
	case sg.Brittle > 0:
		rn.registry.Inc("signal", "brittle")
		line.WithField("brittle", sg.Brittle).Info("backend server falls over if it has to turn many requests away")
	default:
		line.Info("backend server takes all requests again")
	}
}

// signalsChanged stores a server's signals and reports whether they changed.
func (rn *Runner) signalsChanged(server string, sg throttler.Signals) bool {
	rn.signalsMu.Lock()
	defer rn.signalsMu.Unlock()
	former := rn.signals[server]
	switch {
	case former == sg && sg.Pause == 0:
		return false
	case sg == throttler.Signals{}:
		delete(rn.signals, server)
	case len(rn.signals) < maxSignalling:
		rn.signals[server] = sg
	}
	return true
}

// forgetSignals removes what a server said, because its process has ended.
func (rn *Runner) forgetSignals(server string) {
	rn.admitter.Forget(server)
	rn.signalsMu.Lock()
	defer rn.signalsMu.Unlock()
	delete(rn.signals, server)
}

// reportTimeout bounds the question which process of a server said that it leaves.
const reportTimeout = 500 * time.Millisecond

// attributeLeaving marks the process that answers as the server if it is a later one
// than the node knows. An answer does not name its process: a process that had just
// started under its id, and left at once, was used again when it was registered.
func (rn *Runner) attributeLeaving(server string) {
	bs, ok := rn.Settings().BackendServer(server)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	number, ok := rn.askIncarnation(ctx, server, bs.Address())
	if !ok {
		return
	}
	rn.mu.Lock()
	marked := rn.tracker.MarkProcessLeaving(time.Now(), server, number)
	rn.mu.Unlock()
	if marked {
		log.WithFields(log.Fields{"server": server, "incarnation": number}).Info("backend server leaves that is not registered yet")
		rn.refresh()
	}
}

// markLeaving records that a server said that it leaves, and reports whether that
// is new.
func (rn *Runner) markLeaving(server string, sent time.Time) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.tracker.MarkLeaving(time.Now(), server, sent)
}
