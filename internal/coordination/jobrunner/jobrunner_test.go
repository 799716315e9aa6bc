package jobrunner

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/standin/seeder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// TestMain fixes the seed of random runs unless one is given.
func TestMain(m *testing.M) { os.Exit(seeder.Run(m, 43)) }

// inBubble runs fn with a cluster of three nodes in a synctest bubble, and
// checks the invariants.
func inBubble(t *testing.T, fn func(t *testing.T, cl *cluster)) {
	t.Helper()
	checker.Reset()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.close()
		fn(t, cl)
	})
	require.Empty(t, checker.Violations())
}

// keyAtBubbleStart is a UUIDv7 of the time at which a synctest bubble starts.
const keyAtBubbleStart = "00dc6acf-ac00-7000-8000-000000000001"

func TestJobRunsAndKeepsResult(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		jb := cl.accept(t, 0, newSubmission("review", "r1"))
		ended := cl.await(t, 1, jb.ID(), 5*time.Second)
		require.Equal(t, Done, ended.State())
		require.Equal(t, "answer to r1", string(ended.Result().Body))
		_, rf := cl.nodes[0].runner.Get(t.Context(), "other", jb.ID())
		require.Equal(t, refuser.UnknownJob, rf.Reason())
	})
}

func TestSameKeyReturnsSameJob(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		sn := newSubmission("review", "r1")
		sn.Key = "review-17"
		first := cl.accept(t, 0, sn)
		require.Equal(t, first.ID(), cl.accept(t, 1, sn).ID())
		sn.Request.Body = []byte("r2")
		_, rf := cl.nodes[2].runner.Accept(t.Context(), sn)
		require.Equal(t, refuser.KeyConflict, rf.Reason())
		cl.await(t, 0, first.ID(), 5*time.Second)
		require.Equal(t, 1, cl.runs(first.ID()))
	})
}

// TestAcceptSucceedsWhenStoreAnswerIsLost guards against hazard 3: the write of
// a new job takes effect, but its answer is lost.
func TestAcceptSucceedsWhenStoreAnswerIsLost(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		cl.store.LoseAnswers(1)
		jb := cl.accept(t, 0, newSubmission("review", "r1"))
		cl.await(t, 0, jb.ID(), 5*time.Second)
	})
}

func TestAcceptDuringOutageIsRefusedAsNotRun(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		cl.store.SetDown(true)
		_, rf := cl.nodes[0].runner.Accept(t.Context(), newSubmission("review", "r1"))
		require.Equal(t, refuser.StoreUnavailable, rf.Reason())
		require.Equal(t, refuser.NotRun, rf.Outcome())
		require.Positive(t, rf.RetryAfter())
	})
}

// TestAcceptedJobSurvivesDeathOfItsNode guards against hazard 22: the node that
// accepted a job dies before any other node was notified of it, and before it
// began the run itself.
func TestAcceptedJobSurvivesDeathOfItsNode(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		cl.mu.Lock()
		cl.dropNotices = true
		cl.mu.Unlock()
		cl.nodes[0].store.diesAfterWrite.Store(true)
		jb := cl.accept(t, 0, newSubmission("book", "b1"))
		cl.kill(0)
		require.Equal(t, Done, cl.await(t, 1, jb.ID(), 3*time.Minute).State())
		require.Equal(t, 1, cl.runs(jb.ID()))
	})
}

// TestJobEndsWhenExecutorDiesDuringRun guards against hazard 13: the executor
// dies during the run. A repeatable request runs again, any other fails as
// unknown.
func TestJobEndsWhenExecutorDiesDuringRun(t *testing.T) {
	for path, wanted := range map[string]State{"review": Done, "book": Failed} {
		t.Run(path, func(t *testing.T) {
			inBubble(t, func(t *testing.T, cl *cluster) {
				cl.runDuration = time.Second
				jb := cl.accept(t, 0, newSubmission(path, "x"))
				time.Sleep(500 * time.Millisecond)
				running, rf := cl.nodes[0].runner.Get(t.Context(), "desk", jb.ID())
				require.Nil(t, rf)
				victim := 0
				for ix, nd := range cl.nodes {
					if nd.runner.incarnation == running.executor {
						victim = ix
					}
				}
				cl.kill(victim)
				ended := cl.await(t, (victim+1)%3, jb.ID(), 3*time.Minute)
				require.Equal(t, wanted, ended.State())
				if path == "book" {
					require.Equal(t, refuser.Unknown, ended.Refusal().Outcome())
					require.Equal(t, 1, cl.runs(jb.ID()))
				}
			})
		})
	}
}

// TestResultsAreWrittenWithJitterAfterOutage guards against hazard 4: after an
// outage of the store, all pending results are written at the same time.
func TestResultsAreWrittenWithJitterAfterOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		var ids []string
		for ix := range 12 {
			ids = append(ids, cl.accept(t, 0, newSubmission("review", fmt.Sprint(ix))).ID())
		}
		time.Sleep(100 * time.Millisecond)
		cl.store.SetDown(true)
		time.Sleep(time.Hour)
		_, before := cl.store.Calls()
		cl.store.SetDown(false)
		time.Sleep(time.Second)
		_, after := cl.store.Calls()
		require.Less(t, after-before, int64(12), "writes in the first second")
		for _, id := range ids {
			require.Equal(t, Done, cl.await(t, 2, id, 3*time.Minute).State())
		}
	})
}

func TestStopFinishesRunningAndRequeuesWaitingJobs(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		running := cl.accept(t, 0, newSubmission("book", "b1"))
		time.Sleep(100 * time.Millisecond)
		cl.setRefusal(refuser.New(refuser.QueueFull, "no room").WithRetryAfter(time.Second))
		waiting := cl.accept(t, 0, newSubmission("book", "b2"))
		time.Sleep(50 * time.Millisecond)
		for _, nd := range cl.nodes {
			nd.stop()
			<-nd.stopped
		}
		done, _ := cl.nodes[0].runner.Get(t.Context(), "desk", running.ID())
		require.Equal(t, Done, done.State())
		stored, _ := cl.nodes[0].runner.Get(t.Context(), "desk", waiting.ID())
		require.Equal(t, Accepted, stored.State())
	})
}

// TestJobFailsWhenItsServiceIsRemoved guards against hazard 23: a settings
// change removes what the job needs while it waits.
func TestJobFailsWhenItsServiceIsRemoved(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		cl.setRefusal(refuser.New(refuser.QueueFull, "no room").WithRetryAfter(time.Second))
		jb := cl.accept(t, 0, newSubmission("review", "r1"))
		time.Sleep(time.Second)
		cl.setRefusal(refuser.New(refuser.Removed, "service was removed"))
		ended := cl.await(t, 0, jb.ID(), time.Minute)
		require.Equal(t, refuser.Removed, ended.Refusal().Reason())
		require.Equal(t, refuser.NotRun, ended.Refusal().Outcome())
	})
}

func TestCancelEndsRunningJobAsUnknown(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		cl.runDuration = time.Minute
		running := cl.accept(t, 0, newSubmission("review", "r1"))
		time.Sleep(100 * time.Millisecond)
		ended, rf := cl.nodes[1].runner.Cancel(t.Context(), "desk", running.ID())
		require.Nil(t, rf)
		require.Equal(t, refuser.Unknown, ended.Refusal().Outcome())
		time.Sleep(2 * time.Minute)
		kept, _ := cl.nodes[0].runner.Get(t.Context(), "desk", running.ID())
		if kept != nil {
			require.Equal(t, Cancelled, kept.State())
		}
		require.Equal(t, 1, cl.runs(running.ID()))
	})
}

func TestListReturnsPagesOfOneCaller(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		wanted := map[string]bool{}
		for ix := range 7 {
			wanted[cl.accept(t, 0, newSubmission("review", fmt.Sprint(ix))).ID()] = true
		}
		other := newSubmission("review", "x")
		other.Caller = "other"
		cl.accept(t, 0, other)
		after, seen := "", map[string]bool{}
		for {
			page, next, rf := cl.nodes[1].runner.List(t.Context(), "desk", after, 3)
			require.Nil(t, rf)
			require.LessOrEqual(t, len(page), 3)
			for _, jb := range page {
				require.False(t, seen[jb.ID()])
				seen[jb.ID()] = true
			}
			if next == "" {
				break
			}
			after = next
		}
		require.Equal(t, wanted, seen)
	})
}

// TestKeyOfRemovedJobNeverRunsAgain guards against hazard 18: a caller sends a
// key again after its job was removed.
func TestKeyOfRemovedJobNeverRunsAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, cl *cluster) {
		sn := newSubmission("book", "b1")
		_, rf := cl.nodes[0].runner.Accept(t.Context(), withKey(sn, "untimed"))
		require.Equal(t, refuser.KeyUntimed, rf.Reason())
		sn = withKey(sn, keyAtBubbleStart)
		jb := cl.accept(t, 0, sn)
		cl.await(t, 0, jb.ID(), 5*time.Second)
		time.Sleep(5 * time.Minute)
		_, rf = cl.nodes[0].runner.Get(t.Context(), "desk", jb.ID())
		require.Equal(t, refuser.UnknownJob, rf.Reason(), "the job was removed")
		again := cl.accept(t, 1, sn)
		ended := cl.await(t, 1, again.ID(), time.Minute)
		require.Equal(t, refuser.KeyExpired, ended.Refusal().Reason())
		require.Equal(t, refuser.Unknown, ended.Refusal().Outcome())
		require.Equal(t, 1, cl.runs(jb.ID()))
	})
}

func withKey(sn Submission, key string) Submission {
	sn.Key = key
	return sn
}

func TestDeletedRunningJobViolatesJobKept(t *testing.T) {
	defer checker.Reset()
	checker.Reset()
	rn := New("n0", platform.NewMemory(), nil, nil, nil, nil)
	require.True(t, rn.tryWriteState(t.Context(), &Job{id: "gone", state: Done, revision: 7}))
	require.Len(t, checker.Violations(), 1)
	require.Equal(t, checker.JobKept, checker.Violations()[0].Invariant)
}

// TestRandomFaultsEndEveryJobOnce covers deaths, outages, lost answers and lost
// writes at any step: every accepted job ends, and no request that may not be
// repeated runs twice.
func TestRandomFaultsEndEveryJobOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 5, 40).Draw(rt, "steps")
		victim := rapid.IntRange(0, 2).Draw(rt, "victim")
		checker.Reset()
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, 3)
			defer cl.close()
			runRandom(t, cl, steps, victim)
		})
		require.Empty(rt, checker.Violations())
	})
}

func runRandom(t *testing.T, cl *cluster, steps []int, victim int) {
	alive := (victim + 1) % 3
	paths := map[string]string{}
	for ix, kind := range steps {
		switch kind {
		case 0:
			cl.kill(victim)
		case 1:
			cl.store.LoseAnswers(2)
		case 2:
			cl.store.LoseWrites(2)
		case 3:
			cl.store.SetDown(true)
		case 4:
			cl.store.SetDown(false)
		default:
			path := []string{"book", "review"}[kind%2]
			if jb, rf := cl.nodes[(alive+kind%2)%3].runner.Accept(t.Context(), newSubmission(path, fmt.Sprint(ix))); rf == nil {
				paths[jb.ID()] = path
			}
		}
		time.Sleep(70 * time.Millisecond)
	}
	cl.store.SetDown(false)
	for id, ended := range cl.awaitAll(t, alive, slices.Collect(maps.Keys(paths)), 5*time.Minute) {
		if paths[id] == "book" {
			require.LessOrEqual(t, cl.runs(id), 1)
			require.True(t, ended.State() == Done || ended.Refusal().Outcome() == refuser.Unknown, "%+v", ended)
		} else {
			require.Equal(t, Done, ended.State())
		}
	}
}
