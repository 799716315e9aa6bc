package dispatcher_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// faultPlan describes one run.
type faultPlan struct {
	// resumes is the engines' setting resumes.
	resumes string
	// warmups counts the requests without faults that fill the retry budget.
	warmups int
	// faults are the faults of each server.
	faults [][]engine.Fault
	// tokens are the answer lengths of the requests.
	tokens []int
}

func drawFaultPlan(t *rapid.T) faultPlan {
	fault := rapid.Custom(func(t *rapid.T) engine.Fault {
		kind := rapid.IntRange(int(engine.FaultNone), int(engine.FaultUnfinished)).Draw(t, "kind")
		return engine.Fault{Kind: engine.FaultKind(kind), At: rapid.IntRange(0, 8).Draw(t, "at")}
	})
	return faultPlan{
		resumes: rapid.SampledFrom([]string{"yes", "no"}).Draw(t, "resumes"),
		warmups: rapid.IntRange(0, 60).Draw(t, "earned"),
		faults:  rapid.SliceOfN(rapid.SliceOfN(fault, 0, 6), 1, 3).Draw(t, "faults by server"),
		tokens:  rapid.SliceOfN(rapid.IntRange(1, 8), 1, 4).Draw(t, "tokens by request"),
	}
}

// recorder collects failures, so that rapid can shrink the plan outside of the
// synctest bubble.
type recorder struct{ text string }

func (rc *recorder) Errorf(format string, args ...any) { rc.text += fmt.Sprintf(format, args...) }
func (rc *recorder) FailNow()                          { panic(rc) }

// TestCallersGetCorrectAnswersUnderRandomFaults checks that callers get either
// the complete text, or a prefix of it that is not marked as complete.
func TestCallersGetCorrectAnswersUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := drawFaultPlan(rt)
		rc := &recorder{}
		synctest.Test(t, func(*testing.T) {
			defer func() {
				if cause := recover(); cause != nil && cause != any(rc) {
					panic(cause)
				}
			}()
			pl.check(rc)
		})
		if rc.text != "" {
			rt.Fatal(rc.text)
		}
	})
}

func (pl faultPlan) check(rc *recorder) {
	rg := newRig(rc, len(pl.faults), pl.resumes)
	defer rg.stop()
	rg.fillRetryBudget(pl.warmups)
	for ix, fts := range pl.faults {
		rg.engines[rg.names[ix]].InjectRequestFaults(fts...)
	}
	for ix, tokens := range pl.tokens {
		id := fmt.Sprintf("R%d", ix)
		wr, rf := rg.run(rg.request(id, tokens, true, ""))
		text, whole := streamText(rc, wr)
		require.Equal(rc, rf == nil, whole)
		if whole {
			require.Equal(rc, wantText(id, 0, tokens), text)
			continue
		}
		require.True(rc, strings.HasPrefix(wantText(id, 0, tokens), text))
		runs := 0
		for _, eg := range rg.engines {
			runs += eg.Runs(id)
		}
		require.False(rc, runs > 0 && rf.Outcome() == refuser.NotRun, "it ran and was refused as not-run")
	}
}
