package keyspacerunner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/truncationdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// Guards against answers of a process that pass for complete although a later one has its
// name or its address.
func TestProcessIsReplacedByALaterOneOfItsNameOrAddress(t *testing.T) {
	sent := versionkeeper.Process{Server: "a", Incarnation: 2}
	for name, tc := range map[string]struct {
		registered []storer.Entry
		want       truncationdetector.State
	}{
		"the process itself":            {[]storer.Entry{registration("a", "p 10.0.0.1:1 2")}, truncationdetector.Running},
		"a later one, same address":     {[]storer.Entry{registration("a", "p 10.0.0.1:1 3")}, truncationdetector.Replaced},
		"a later one, another address":  {[]storer.Entry{registration("a", "p 10.0.0.9:1 3")}, truncationdetector.Replaced},
		"a later server at the address": {[]storer.Entry{registration("a", "p 10.0.0.1:1 2"), registration("b", "p 10.0.0.1:1 3")}, truncationdetector.Replaced},
		"an earlier server's remainder": {[]storer.Entry{registration("a", "p 10.0.0.1:1 2"), registration("b", "p 10.0.0.1:1 1")}, truncationdetector.Running},
		"another server":                {[]storer.Entry{registration("a", "p 10.0.0.1:1 2"), registration("b", "p 10.0.0.2:1 3")}, truncationdetector.Running},
	} {
		rn := newNode()
		configSink{rn}.Replace([]storer.Entry{configuration(1, settingsText)})
		serverSink{rn}.Replace(tc.registered)
		require.Equal(t, tc.want, rn.processState(t.Context(), sent, "10.0.0.1:1"), name)
	}
}

// While the store is out of reach, a later process can't register. The node asks the server.
func TestServerIsAskedForItsProcessWhileRegistrationsAreNotCurrent(t *testing.T) {
	sent := versionkeeper.Process{Server: "a", Incarnation: 2}
	for boot, want := range map[string]truncationdetector.State{
		"3": truncationdetector.Replaced, "2": truncationdetector.Running, "0": truncationdetector.Running, "": truncationdetector.Running,
	} {
		rn := newNodeWith(nil, bootEngines{boot: boot})
		configSink{rn}.Replace([]storer.Entry{configuration(1, settingsText)})
		serverSink{rn}.Replace([]storer.Entry{registration("a", "p 10.0.0.1:1 2")})
		require.Equal(t, want, rn.processState(t.Context(), sent, "10.0.0.1:1"), "process %q answers", boot)
	}
}

// Guards against answers of leaving servers that pass for broken off. What a server has said
// holds after its registration, which may end before its last answers.
func TestProcessThatLeavesIsKnownAfterItsRegistration(t *testing.T) {
	for name, tc := range map[string]struct {
		leave func(rn *Runner)
		want  truncationdetector.State
	}{
		"said nothing":         {func(*Runner) {}, truncationdetector.Unlisted},
		"said so in an answer": {func(rn *Runner) { rn.noteSignals("a", time.Now(), throttler.Signals{Leaving: true}) }, truncationdetector.Leaving},
		"registered so": {func(rn *Runner) {
			rn.tracker.Update(time.Now(), tracker.Server{ID: "a", Incarnation: 2, Leaving: true})
		}, truncationdetector.Leaving},
		"registered so, with a time that is far": {func(rn *Runner) {
			rn.tracker.Update(time.Now(), tracker.Server{ID: "a", Incarnation: 2, Leaving: true, Remaining: time.Hour})
		}, truncationdetector.Leaving},
		"registered so, with a time that is over": {func(rn *Runner) {
			rn.tracker.Update(time.Now(), tracker.Server{ID: "a", Incarnation: 2, Leaving: true, Remaining: time.Millisecond})
		}, truncationdetector.Stopped},
	} {
		rn := newNode()
		configSink{rn}.Replace([]storer.Entry{configuration(1, settingsText)})
		serverSink{rn}.Replace([]storer.Entry{registration("a", "p 10.0.0.1:1 2")})
		tc.leave(rn)
		serverSink{rn}.Replace(nil)
		sent := versionkeeper.Process{Server: "a", Incarnation: 2}
		require.Equal(t, tc.want, rn.processState(t.Context(), sent, "10.0.0.1:1"), name)
	}
}
