package keyspacerunner

import (
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

// markLeaving records that a server said that it leaves, and reports whether that
// is new.
func (rn *Runner) markLeaving(server string, sent time.Time) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.tracker.MarkLeaving(time.Now(), server, sent)
}
