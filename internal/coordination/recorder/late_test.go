package recorder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// TestLateBeginOfAbandonedAttemptIsNotGranted covers a Begin that the network
// delays until its attempt and a later one were abandoned. If it were granted,
// the key would stay in progress as long as the attempt's node lives.
func TestLateBeginOfAbandonedAttemptIsNotGranted(t *testing.T) {
	key := keyAt("key")
	first, second := beginOf(key, "first"), beginOf(key, "second")
	for _, tc := range []struct {
		name  string
		steps []any
	}{
		{"abandoned before the next", []any{finishOf(first, true), second, finishOf(second, true)}},
		{"abandoned while the next runs", []any{second, finishOf(first, true), finishOf(second, true)}},
		{"abandoned after the next", []any{second, finishOf(second, true), finishOf(first, true)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lg := newLedger(head{epoch: 1})
			for ix, step := range tc.steps {
				sg := lg.stage(time.Now(), rules{retention: time.Hour, shardBytes: 1 << 20})
				switch call := step.(type) {
				case *messenger.Begin:
					require.Equal(t, messenger.BeginGranted, sg.begin(call).Status)
				case *messenger.Finish:
					sg.finish(call)
				}
				sg.commit(sg.nextHead(fmt.Sprint(ix), nil))
				lg = reload(t, lg)
			}
			sg := lg.stage(time.Now(), rules{retention: time.Hour, shardBytes: 1 << 20})
			require.Equal(t, messenger.BeginAbandoned, sg.begin(first).Status)
			require.Equal(t, messenger.BeginAbandoned, sg.begin(second).Status)
			require.Equal(t, messenger.BeginGranted, sg.begin(beginOf(key, "third")).Status)
		})
	}
}

// TestEntryKeepsLimitedNumberOfAbandonedAttempts covers a key whose attempts
// are all abandoned: its entry must not grow with each attempt.
func TestEntryKeepsLimitedNumberOfAbandonedAttempts(t *testing.T) {
	key := keyAt("key")
	lg := newLedger(head{epoch: 1})
	for ix := range 10 * maxAbandoned {
		bg := beginOf(key, fmt.Sprint(ix))
		sg := lg.stage(time.Now(), rules{retention: time.Hour, shardBytes: 1 << 20})
		require.Equal(t, messenger.BeginGranted, sg.begin(bg).Status)
		sg.finish(finishOf(bg, true))
		sg.commit(sg.nextHead(fmt.Sprint(ix), nil))
	}
	require.Len(t, lg.entries[key.id].abandonedBy, maxAbandoned)
}

// TestKeyOfLostAttemptIsNeverGranted checks that no attempt is granted the key
// of a lost attempt, also after the shard is loaded again.
func TestKeyOfLostAttemptIsNeverGranted(t *testing.T) {
	key := keyAt("key")
	bg := beginOf(key, "first")
	lg := newLedger(head{epoch: 1})
	rl := rules{retention: time.Hour, shardBytes: 1 << 20}
	sg := lg.stage(time.Now(), rl)
	require.Equal(t, messenger.BeginGranted, sg.begin(bg).Status)
	sg.finish(&messenger.Finish{Begin: *bg, Lost: true})
	sg.commit(sg.nextHead("1", nil))
	lg = reload(t, lg)
	sg = lg.stage(time.Now(), rl)
	for _, attempt := range []string{"first", "second"} {
		require.Equal(t, messenger.BeginLost, sg.begin(beginOf(key, attempt)).Status)
	}
	sg.finish(&messenger.Finish{Begin: *beginOf(key, "third"), Abandoned: true})
	require.Equal(t, messenger.BeginLost, sg.begin(beginOf(key, "third")).Status, "an abandoned attempt frees nothing")
	require.Empty(t, sg.violations)
}
