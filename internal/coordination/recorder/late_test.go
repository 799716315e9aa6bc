package recorder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// TestLateBeginOfAnAbandonedAttemptIsNotGranted plays a Begin that the network
// delays until its attempt and a later one were abandoned. Were it granted, the
// key would stay in progress for as long as the attempt's node lives.
func TestLateBeginOfAnAbandonedAttemptIsNotGranted(t *testing.T) {
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
				sg.commit(sg.next(fmt.Sprint(ix), nil))
				lg = reload(t, lg)
			}
			sg := lg.stage(time.Now(), rules{retention: time.Hour, shardBytes: 1 << 20})
			require.Equal(t, messenger.BeginAbandoned, sg.begin(first).Status)
			require.Equal(t, messenger.BeginAbandoned, sg.begin(second).Status)
			require.Equal(t, messenger.BeginGranted, sg.begin(beginOf(key, "third")).Status)
		})
	}
}

// TestAbandonedAttemptsOfAKeyAreBounded covers a key that is abandoned over and
// over: its entry must not grow with each attempt.
func TestAbandonedAttemptsOfAKeyAreBounded(t *testing.T) {
	key := keyAt("key")
	lg := newLedger(head{epoch: 1})
	for ix := range 10 * maxAbandoned {
		bg := beginOf(key, fmt.Sprint(ix))
		sg := lg.stage(time.Now(), rules{retention: time.Hour, shardBytes: 1 << 20})
		require.Equal(t, messenger.BeginGranted, sg.begin(bg).Status)
		sg.finish(finishOf(bg, true))
		sg.commit(sg.next(fmt.Sprint(ix), nil))
	}
	require.Len(t, lg.entries[key.id].abandonedBy, maxAbandoned)
}

// TestLostAttempt ends with a key that nobody may send again, and whose entry
// keeps saying so over a load of the shard.
func TestLostAttempt(t *testing.T) {
	key := keyAt("key")
	bg := beginOf(key, "first")
	lg := newLedger(head{epoch: 1})
	rl := rules{retention: time.Hour, shardBytes: 1 << 20}
	sg := lg.stage(time.Now(), rl)
	require.Equal(t, messenger.BeginGranted, sg.begin(bg).Status)
	sg.finish(&messenger.Finish{Begin: *bg, Lost: true})
	sg.commit(sg.next("1", nil))
	lg = reload(t, lg)
	sg = lg.stage(time.Now(), rl)
	for _, attempt := range []string{"first", "second"} {
		require.Equal(t, messenger.BeginLost, sg.begin(beginOf(key, attempt)).Status)
	}
	sg.finish(&messenger.Finish{Begin: *beginOf(key, "third"), Abandoned: true})
	require.Equal(t, messenger.BeginLost, sg.begin(beginOf(key, "third")).Status, "an abandoned attempt frees nothing")
	require.Empty(t, sg.breaches)
}
