package recorder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// inBubble runs a test of a cluster in a synctest bubble and checks the
// invariants at the end.
func inBubble(t *testing.T, size int, settings string, fn func(t *testing.T, cl *cluster)) {
	t.Helper()
	checker.Reset()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, size, defaultSegmentBytes, settings)
		defer cl.close()
		fn(t, cl)
	})
	require.Empty(t, checker.Violations())
}

func requireRefusal(t *testing.T, an Answer, rs refuser.Reason, oc refuser.Outcome) {
	t.Helper()
	require.NotNil(t, an.Refusal, "%+v", an)
	require.Equal(t, rs, an.Refusal.Reason())
	require.Equal(t, oc, an.Refusal.Outcome())
}

func TestNewKeyRefusesKeyWithoutTime(t *testing.T) {
	_, rf := NewKey("c", "order-17", "")
	require.Equal(t, refuser.KeyUntimed, rf.Reason())
	require.Equal(t, refuser.NotRun, rf.Outcome())
	_, rf = NewKey("c", "order-17", "yesterday")
	require.Equal(t, refuser.KeyUntimed, rf.Reason())
	timed, rf := NewKey("c", "order-17", "2026-01-02T03:04:05Z")
	require.Nil(t, rf)
	require.EqualValues(t, 1767323045000, timed.time)
	uuid, rf := NewKey("c", "019b7b00-0000-7000-8000-000000000001", "")
	require.Nil(t, rf)
	require.EqualValues(t, 0x019b7b000000, uuid.time)
	_, rf = NewKey("c", "019b7b00-0000-4000-8000-000000000001", "")
	require.Equal(t, refuser.KeyUntimed, rf.Reason(), "a UUIDv4 has no time")
}

// TestSameKeyThroughTwoNodesRunsOnce covers hazard 15: requests with the same
// key on two live nodes.
func TestSameKeyThroughTwoNodesRunsOnce(t *testing.T) {
	inBubble(t, 3, smallRecord, func(t *testing.T, cl *cluster) {
		ctx := t.Context()
		key := keyAt("k")
		first := cl.nodes[0].Begin(ctx, key)
		require.NotNil(t, first.Grant)
		requireRefusal(t, cl.nodes[1].Begin(ctx, key), refuser.KeyInProgress, refuser.Unknown)
		first.Grant.MarkSent()
		first.Grant.Finish(result("booked"))
		require.NoError(t, cl.nodes[0].Flush(ctx))
		again := cl.nodes[2].Begin(ctx, key)
		require.Equal(t, "booked", string(again.Result.Body))
	})
}

// TestPausedExecutorSendsOnceWhileOthersAnswerUnknown covers hazard 16: the
// executor pauses, other nodes answer for its key, and the executor resumes and
// sends.
func TestPausedExecutorSendsOnceWhileOthersAnswerUnknown(t *testing.T) {
	inBubble(t, 3, smallRecord, func(t *testing.T, cl *cluster) {
		ctx := t.Context()
		key := keyAt("k")
		paused := cl.nodes[0].Begin(ctx, key)
		require.NotNil(t, paused.Grant)
		cl.setState(1, 0, prober.Dead)
		cl.setState(2, 0, prober.Dead)
		requireRefusal(t, cl.nodes[1].Begin(ctx, key), refuser.KeyUnresolved, refuser.Unknown)
		time.Sleep(time.Minute)
		requireRefusal(t, cl.nodes[2].Begin(ctx, key), refuser.KeyUnresolved, refuser.Unknown)
		paused.Grant.MarkSent()
		paused.Grant.Finish(result("late"))
		cl.setState(1, 0, prober.Alive)
		cl.setState(2, 0, prober.Alive)
		require.NoError(t, cl.nodes[0].Flush(ctx))
		require.Equal(t, "late", string(cl.nodes[1].Begin(ctx, key).Result.Body))
	})
}

// TestGrantAfterDeadlineIsAbandoned covers hazards 13 and 16: the deadline
// passes while the Begin is recorded. The executor sends nothing, and a retry
// is granted.
func TestGrantAfterDeadlineIsAbandoned(t *testing.T) {
	inBubble(t, 2, smallRecord, func(t *testing.T, cl *cluster) {
		warm(t, cl)
		key := keyAt("k")
		cl.store.SetLatency(200 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		an := cl.nodes[0].Begin(ctx, key)
		require.Nil(t, an.Grant)
		require.Equal(t, refuser.NotRun, an.Refusal.Outcome())
		require.NoError(t, cl.nodes[0].Flush(t.Context()))
		require.NotNil(t, cl.nodes[1].Begin(t.Context(), key).Grant)
	})
}

// warm makes each node read the layout by beginning a key.
func warm(t *testing.T, cl *cluster) {
	for ix, rc := range cl.nodes {
		require.NotNil(t, rc.Begin(t.Context(), keyAt("warm"+string(rune('0'+ix)))).Grant)
	}
}

// splitOwnership makes a second node act as the owner of a key's shard, and
// returns both.
func splitOwnership(cl *cluster, key Key) (owner, rival int) {
	name, _ := cl.view(0).Owner(resource(shardOf(key.id, 2)))
	for ix, mb := range cl.members {
		if mb.ID == name.ID {
			owner = ix
		}
	}
	rival = (owner + 1) % len(cl.nodes)
	for ix := range cl.nodes {
		if ix != rival {
			cl.setState(rival, ix, prober.Dead)
		}
	}
	return owner, rival
}

// TestOutdatedOwnerReloadsShard covers hazards 1 and 2: two nodes act as the
// owner, and each continues after the other has committed.
func TestOutdatedOwnerReloadsShard(t *testing.T) {
	inBubble(t, 3, smallRecord, func(t *testing.T, cl *cluster) {
		key := keyAt("k")
		owner, rival := splitOwnership(cl, key)
		for round := range 3 {
			for _, ix := range []int{owner, rival} {
				other := key
				other.request = sum([]byte{byte(round), byte(ix)})
				other.id[hashBytes-1] = byte(round*16 + ix)
				require.NotNil(t, cl.nodes[ix].Begin(t.Context(), other).Grant)
				require.Nil(t, cl.nodes[owner+rival-ix].Begin(t.Context(), other).Grant)
			}
		}
	})
}

// TestOutdatedOwnerDoesNotAcknowledgeUnrecordedFinish checks that an outdated
// owner does not confirm the Finish of a key that is not in its state.
func TestOutdatedOwnerDoesNotAcknowledgeUnrecordedFinish(t *testing.T) {
	inBubble(t, 3, smallRecord, func(t *testing.T, cl *cluster) {
		key := keyAt("k")
		first := key
		first.id[hashBytes-1]++
		owner, rival := splitOwnership(cl, key)
		require.NotNil(t, cl.nodes[owner].Begin(t.Context(), first).Grant)
		an := cl.nodes[rival].Begin(t.Context(), key)
		require.NotNil(t, an.Grant)
		fn := finishOf(an.Grant.begin, false)
		fn.Result = result("booked").RecordResult
		answer, err := cl.nodes[owner].Handle(t.Context(), fn)
		require.NoError(t, err)
		require.False(t, answer.(*messenger.Finished).Recorded)
		an.Grant.Finish(result("booked"))
		require.NoError(t, cl.nodes[rival].Flush(t.Context()))
		require.Equal(t, "booked", string(cl.nodes[owner].Begin(t.Context(), key).Result.Body))
	})
}

// TestLostAnswerOfCommitStillGrantsOnce covers hazard 3: the commit takes
// effect and its answer is lost.
func TestLostAnswerOfCommitStillGrantsOnce(t *testing.T) {
	inBubble(t, 2, smallRecord, func(t *testing.T, cl *cluster) {
		require.NotNil(t, cl.nodes[0].Begin(t.Context(), keyAt("warm")).Grant)
		cl.store.LoseAnswers(1)
		key := keyAt("k")
		require.NotNil(t, cl.nodes[0].Begin(t.Context(), key).Grant)
		requireRefusal(t, cl.nodes[1].Begin(t.Context(), key), refuser.KeyInProgress, refuser.Unknown)
	})
}

// TestKeyWithAnotherBodyConflicts and the next test cover hazard 18: a key is
// used again with another body, and after it has expired.
func TestKeyWithAnotherBodyConflicts(t *testing.T) {
	inBubble(t, 1, smallRecord, func(t *testing.T, cl *cluster) {
		key := keyAt("k")
		require.NotNil(t, cl.nodes[0].Begin(t.Context(), key).Grant)
		other := key
		other.request = sum([]byte("another"))
		requireRefusal(t, cl.nodes[0].Begin(t.Context(), other), refuser.KeyConflict, refuser.NotRun)
	})
}

func TestExpiredKeyNeverRunsAgain(t *testing.T) {
	inBubble(t, 1, "[records]\nshards = 1\nretention = 2s\nshard-bytes = 8MiB\n", func(t *testing.T, cl *cluster) {
		key := keyAt("old")
		first := cl.nodes[0].Begin(t.Context(), key)
		first.Grant.Finish(result("done"))
		for round := range 3 {
			fill(t, cl, round)
			time.Sleep(5 * time.Second)
		}
		require.NotNil(t, cl.nodes[0].Begin(t.Context(), keyAt("new")).Grant)
		requireRefusal(t, cl.nodes[0].Begin(t.Context(), key), refuser.KeyExpired, refuser.Unknown)
	})
}

// fill records enough keys with results to seal segments.
func fill(t *testing.T, cl *cluster, round int) {
	body := make([]byte, 2048)
	for ix := range 40 {
		an := cl.nodes[0].Begin(t.Context(), keyAt(string(rune('a'+round))+string(rune('A'+ix))))
		require.NotNil(t, an.Grant, "%v", an.Refusal)
		an.Grant.Finish(result(string(body)))
	}
	require.NoError(t, cl.nodes[0].Flush(t.Context()))
}

func TestFullRecordRefusesNewKeys(t *testing.T) {
	inBubble(t, 1, "[records]\nshards = 1\nretention = 1h\nshard-bytes = 64KiB\n", func(t *testing.T, cl *cluster) {
		body := make([]byte, 2048)
		var last Answer
		for ix := range 60 {
			last = cl.nodes[0].Begin(t.Context(), keyAt(string(rune('A'+ix))))
			if last.Grant == nil {
				break
			}
			last.Grant.Finish(result(string(body)))
		}
		requireRefusal(t, last, refuser.RecordFull, refuser.NotRun)
		again := cl.nodes[0].Begin(t.Context(), Key{id: sum([]byte("A")), time: time.Now().UnixMilli(), request: sum([]byte("body of A"))})
		require.Nil(t, again.Grant, "a key in the record does not run again")
	})
}

func TestStoreOutageRefusesNewKeysAndKeepsResults(t *testing.T) {
	inBubble(t, 2, smallRecord, func(t *testing.T, cl *cluster) {
		key := keyAt("k")
		an := cl.nodes[0].Begin(t.Context(), key)
		require.NotNil(t, an.Grant)
		cl.store.SetDown(true)
		an.Grant.Finish(result("kept"))
		requireRefusal(t, cl.nodes[1].Begin(t.Context(), keyAt("other")), refuser.StoreUnavailable, refuser.NotRun)
		time.Sleep(time.Hour)
		cl.store.SetDown(false)
		require.NoError(t, cl.nodes[0].Flush(t.Context()))
		require.Equal(t, "kept", string(cl.nodes[1].Begin(t.Context(), key).Result.Body))
	})
}

func TestBeginAfterAbandonIsNotGranted(t *testing.T) {
	lg := newLedger(head{epoch: 1})
	sg := lg.stage(time.Now(), rules{retention: time.Hour, shardBytes: 1 << 20})
	key := keyAt("k")
	bg := beginOf(key, "a")
	sg.finish(finishOf(bg, true))
	require.Equal(t, messenger.BeginAbandoned, sg.begin(bg).Status)
	require.Equal(t, messenger.BeginGranted, sg.begin(beginOf(key, "b")).Status)
}

func TestViolatedInvariantsAreReported(t *testing.T) {
	defer checker.Reset()
	checker.Reset()
	gr := &Grant{begin: beginOf(keyAt("k"), "a")}
	gr.MarkSent()
	gr.MarkSent()
	gr.ended.Store(true)
	gr.MarkSent()
	lg := newLedger(head{epoch: 1})
	sg := lg.stage(time.Now(), rules{})
	sg.finish(finishOf(beginOf(keyAt("k"), "a"), false))
	sg.commit(sg.nextHead("b", nil))
	var seen []checker.Invariant
	for _, vl := range checker.Violations() {
		seen = append(seen, vl.Invariant)
	}
	require.Contains(t, seen, checker.AtMostOnce)
	require.Contains(t, seen, checker.NotRunCorrect)
	require.Len(t, seen, 4)
}
