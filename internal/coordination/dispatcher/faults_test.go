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

// plan is what goes wrong in one run.
type plan struct {
	resumes string
	earned  int
	faults  [][]engine.Fault
	tokens  []int
}

func drawPlan(t *rapid.T) plan {
	fault := rapid.Custom(func(t *rapid.T) engine.Fault {
		kind := rapid.IntRange(int(engine.FaultNone), int(engine.FaultUnfinished)).Draw(t, "kind")
		return engine.Fault{Kind: engine.FaultKind(kind), At: rapid.IntRange(0, 8).Draw(t, "at")}
	})
	return plan{
		resumes: rapid.SampledFrom([]string{"yes", "no"}).Draw(t, "resumes"),
		earned:  rapid.IntRange(0, 60).Draw(t, "earned"),
		faults:  rapid.SliceOfN(rapid.SliceOfN(fault, 0, 6), 1, 3).Draw(t, "faults by server"),
		tokens:  rapid.SliceOfN(rapid.IntRange(1, 8), 1, 4).Draw(t, "tokens by request"),
	}
}

// verdict collects what failed, so that rapid can shrink the plan outside of
// the bubble.
type verdict struct{ text string }

func (vd *verdict) Errorf(format string, args ...any) { vd.text += fmt.Sprintf(format, args...) }
func (vd *verdict) FailNow()                          { panic(vd) }

// TestRandomFaults compares what callers get with the naive expectation: the
// whole text, or a part of its beginning that is not passed off as whole.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := drawPlan(rt)
		vd := &verdict{}
		synctest.Test(t, func(*testing.T) {
			defer func() {
				if cause := recover(); cause != nil && cause != any(vd) {
					panic(cause)
				}
			}()
			pl.try(vd)
		})
		if vd.text != "" {
			rt.Fatal(vd.text)
		}
	})
}

func (pl plan) try(vd *verdict) {
	rg := newRig(vd, len(pl.faults), pl.resumes)
	defer rg.stop()
	rg.earn(pl.earned)
	for ix, fts := range pl.faults {
		rg.engines[rg.names[ix]].Inject(fts...)
	}
	for ix, tokens := range pl.tokens {
		id := fmt.Sprintf("R%d", ix)
		wr, rf := rg.run(rg.request(id, tokens, true, ""))
		text, whole := streamText(vd, wr)
		require.Equal(vd, rf == nil, whole)
		if whole {
			require.Equal(vd, wantText(id, 0, tokens), text)
			continue
		}
		require.True(vd, strings.HasPrefix(wantText(id, 0, tokens), text))
		runs := 0
		for _, eg := range rg.engines {
			runs += eg.Runs(id)
		}
		require.False(vd, runs > 0 && rf.Outcome() == refuser.NotRun, "it ran and was refused as not-run")
	}
}
