package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// A process that followed another one took itself for the first of its node, or the first
// processes of a deployment for ones that followed others.
func TestOnlyProcessesOfANewDeploymentHaveNoPredecessor(t *testing.T) {
	const own = 1_000_000
	for name, tc := range map[string]struct {
		entries []string // registrations at p:0 (the own address), p:1, ...
		want    bool
	}{
		"nobody is registered":              {nil, false},
		"others are new":                    {[]string{"", `"n1","started":996000`, `"n2","started":1003000`}, false},
		"the address was registered":        {[]string{`"before","started":999000`}, true},
		"the own registration":              {[]string{`"n0","started":1000000`}, false},
		"another is old":                    {[]string{"", `"n1","started":996000`, `"n2","started":900000`}, true},
		"another is of an earlier build":    {[]string{"", `"n1"`}, true},
		"the clock of another one is ahead": {[]string{"", `"n1","started":2000000`}, true},
	} {
		t.Run(name, func(t *testing.T) {
			rg := New(platform.NewKeyspace(), "", func() messenger.Presence { return messenger.Presence{ID: "n0", PeerAddress: "p:0", Started: own} })
			require.True(t, rg.MayHavePredecessor(10*time.Second), "nothing was read")
			var entries []storer.Entry
			for ix, text := range tc.entries {
				if text != "" {
					value := fmt.Sprintf(`{"peer-address":"p:%d","ready":true,"id":%s}`, ix, text)
					entries = append(entries, storer.Entry{Key: fmt.Sprint(nodesPrefix, "p:", ix), Value: []byte(value), Revision: 1})
				}
			}
			rg.Replace(entries)
			require.Equal(t, tc.want, rg.MayHavePredecessor(10*time.Second))
			rg.Replace([]storer.Entry{{Key: nodesPrefix + "p:0", Value: []byte(`{"peer-address":"p:0","id":"n0"}`), Revision: 2}})
			require.Equal(t, tc.want, rg.MayHavePredecessor(10*time.Second), "later registrations change nothing")
		})
	}
}
