package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
)

// fakeVersions is what is known of servers s0 and s1.
type fakeVersions struct {
	// processes returns the process of a server; calls counts the calls.
	processes   func(server string, calls int) versionkeeper.Process
	calls       int
	unconfirmed string
	uncertain   bool
	doubtful    bool // connections may be newer than what is known of processes
	began       []string
}

func (fv *fakeVersions) Process(server string) versionkeeper.Process {
	fv.calls++
	return fv.processes(server, fv.calls)
}

func (fv *fakeVersions) Confirm(_ context.Context, pr versionkeeper.Process, _ string) bool {
	return pr.Server != fv.unconfirmed
}

func (fv *fakeVersions) Certain(string, time.Time) bool { return !fv.doubtful }

func (fv *fakeVersions) Began(_ string, pr versionkeeper.Process) {
	fv.began = append(fv.began, pr.Server+" "+pr.Software)
}

func (fv *fakeVersions) Find(context.Context, string, versionkeeper.Route) (versionkeeper.Origin, bool) {
	return versionkeeper.Origin{Pool: "p", Software: "v1"}, !fv.uncertain
}

// A stream that broke off after its first event went on at a process whose software was
// not that of the first, or not known.
func TestEventsPassOnlyFromTheSoftwareThatBeganTheStream(t *testing.T) {
	process := func(software string, incarnation int64) func(string, int) versionkeeper.Process {
		return func(server string, _ int) versionkeeper.Process {
			return versionkeeper.Process{Server: server, Pool: "p", Software: software, Incarnation: incarnation}
		}
	}
	for name, tc := range map[string]struct {
		versions fakeVersions
		body     string
		sent     int
		began    []string
	}{
		"the same software":                  {fakeVersions{processes: process("v1", 1)}, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", 2, []string{"s0 v1", "s1 v1"}},
		"a process that is not confirmed":    {fakeVersions{processes: process("v1", 1), unconfirmed: "s1"}, "id: 1\ndata: x\n\n", 2, []string{"s0 v1"}},
		"not certain where the stream began": {fakeVersions{processes: process("v1", 1), uncertain: true}, "id: 1\ndata: x\n\n", 1, []string{"s0 v1"}},
		"a new connection, confirmed":        {fakeVersions{processes: process("v1", 1), doubtful: true}, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", 2, []string{"s0 v1", "s1 v1"}},
		"a new connection, not confirmed":    {fakeVersions{processes: process("v1", 1), doubtful: true, unconfirmed: "s0"}, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", 2, []string{"s0 ", "s1 v1"}},
		"another software": {fakeVersions{processes: func(server string, _ int) versionkeeper.Process {
			return process(map[string]string{"s0": "v1", "s1": "v2"}[server], 1)(server, 0)
		}}, "id: 1\ndata: x\n\n", 1, []string{"s0 v1"}},
		"a server that was started again before its first event": {fakeVersions{processes: func(server string, calls int) versionkeeper.Process {
			return process("v1", int64(min(calls, 2)))(server, 0)
		}}, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", 2, []string{"s1 v1"}},
	} {
		t.Run(name, func(t *testing.T) {
			pr, _ := runProxyWith(t, "resumable", nil, []dispatcher.Option{dispatcher.WithVersions(&tc.versions)}, events(1, abortStream), events(2, func() {}))
			require.Equal(t, tc.body, pr.Body.String())
			require.Len(t, pr.received(), tc.sent)
			require.Equal(t, tc.began, tc.versions.began)
		})
	}
}
