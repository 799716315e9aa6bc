package admitter

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// ejectedServers is a Health that takes the listed servers out.
type ejectedServers map[string]bool

func (es ejectedServers) Weight(server string) float64 {
	if es[server] {
		return 0
	}
	return 1
}

// A stream that goes on was promised room on servers of another software version, and
// waited for servers that could not continue it.
func TestStreamIsAdmittedOnlyToTheSoftwareThatBeganIt(t *testing.T) {
	health := ejectedServers{}
	sc, st := newTestScheduler(t, WithHealth(health))
	update := func(versions map[string]string) {
		tb := testTable(st)
		for _, tg := range tb.Targets() {
			tg.Software = versions[tg.Name]
		}
		sc.Update(testStart, router.NewTable(tb.Targets(), 1))
	}
	submit := func(software string) (*Entry, *refuser.Refusal) {
		tk := testTicket(st, "desk", "urgent", "m", testStart)
		tk.Software, tk.Resumed, tk.Avoid = software, true, []string{"w1"}
		return sc.Submit(testStart, tk)
	}
	update(map[string]string{"w0": "v1", "w1": "v2"})
	for range 4 {
		en, rf := submit("v2")
		require.Nil(t, rf)
		require.Equal(t, "w1", en.Target().Name, "the only server of v2, although the stream broke off there")
	}
	_, rf := submit("v3")
	require.Equal(t, refuser.VersionGone, rf.Reason())
	require.Zero(t, rf.RetryAfter(), "coming back is useless")

	health["w0"] = true
	en, rf := submit("v1")
	require.Nil(t, rf)
	require.Equal(t, "w0", en.Target().Name, "an ejected server is better than none")

	en, rf = submit("v2")
	require.Nil(t, rf)
	require.True(t, en.Granted(), "a resumed stream may exceed the slots by one")
	waiting, rf := submit("v2")
	require.Nil(t, rf)
	require.False(t, waiting.Granted())
	update(map[string]string{"w0": "v1", "w1": "v1"})
	require.Equal(t, refuser.VersionGone, waiting.Refusal().Reason(), "told at once when the last server is gone")
}

// A stream began at a version that other nodes had not heard of yet, although an older
// one was there, and a server whose registration had ended was used like the others.
func TestDoubtfulServersAreUsedOnlyWithoutOthers(t *testing.T) {
	sc, st := newTestScheduler(t)
	for name, tc := range map[string]struct {
		unsettled, unlisted []string
		resumable           bool
		want                []string
	}{
		"a known version is there":             {[]string{"w0"}, nil, true, []string{"w1"}},
		"all versions are new":                 {[]string{"w0", "w1"}, nil, true, []string{"w0", "w1"}},
		"the stream cannot go on":              {[]string{"w0"}, nil, false, []string{"w0", "w1"}},
		"no version of them is new ":           {nil, nil, true, []string{"w0", "w1"}},
		"a server may have left":               {nil, []string{"w0"}, false, []string{"w1"}},
		"all servers may have left":            {nil, []string{"w0", "w1"}, true, []string{"w0", "w1"}},
		"one may have left, the other is new ": {[]string{"w1"}, []string{"w0"}, true, []string{"w1"}},
	} {
		t.Run(name, func(t *testing.T) {
			tb := testTable(st)
			for _, tg := range tb.Targets() {
				tg.Unsettled, tg.Unlisted = slices.Contains(tc.unsettled, tg.Name), slices.Contains(tc.unlisted, tg.Name)
			}
			sc.Update(testStart, router.NewTable(tb.Targets(), 1))
			used := map[string]bool{}
			for range 2 * len(tc.want) {
				tk := testTicket(st, "desk", "urgent", "m", testStart)
				tk.Resumable = tc.resumable
				en, rf := sc.Submit(testStart, tk)
				require.Nil(t, rf)
				require.True(t, en.Granted())
				used[en.Target().Name] = true
			}
			require.ElementsMatch(t, tc.want, slices.Collect(maps.Keys(used)))
		})
	}
}
