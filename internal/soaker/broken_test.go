package soaker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// impatience is the patience of runs in which nothing gets better.
const impatience = 20 * time.Second

func everyEngine(fault engine.FaultKind) func(*world) {
	return func(wd *world) {
		for _, be := range wd.engines {
			for range 1000 {
				be.engine.InjectRequestFaults(engine.Fault{Kind: fault})
			}
		}
	}
}

// overcommit sends an engine orders that no node would.
func overcommit(wd *world) {
	for _, model := range []string{"x", "y"} {
		body := `{"id":"` + model + `","fence":1000000,"action":"load-model","model":"` + model + `","version":"v1","memory":26000000000}`
		rq := httptest.NewRequest(http.MethodPost, "/control/orders", strings.NewReader(body))
		wd.engines[0].engine.Handler().ServeHTTP(httptest.NewRecorder(), rq)
	}
}

// loseJobs deletes all jobs from the store once they were accepted.
func loseJobs(wd *world) {
	wd.patience = impatience
	wd.running.Go(func() {
		time.Sleep(7 * time.Second)
		found, _ := wd.store.List(context.Background(), "job/")
		for _, en := range found {
			_ = wd.store.Delete(context.Background(), en.Key, en.Revision)
		}
	})
}

// TestEachCheckFires breaks each promise on purpose, in runs without faults.
func TestEachCheckFires(t *testing.T) {
	quiet(t)
	for name, cs := range map[string]struct {
		breakIt func(*world)
		want    []checker.Invariant
	}{
		"services, orders, stops and revisions": {func(wd *world) {
			wd.services["orders"].RunTwice()
			wd.services["orders"].AnswerForeign()
			overcommit(wd)
			wd.accepted(1000)
			for _, be := range wd.engines {
				be.leaving = time.Now().Add(-time.Minute)
			}
			for _, nd := range wd.live() {
				nd.Abort()
			}
		}, []checker.Invariant{
			checker.AtMostOnce, checker.OwnAnswer, checker.MemoryWithinCapacity, checker.NoRequestsToLeaving,
			checker.GracefulStop, checker.RevisionMonotonic,
		}},
		"answers, jobs and an older revision": {func(wd *world) {
			everyEngine(engine.FaultShort)(wd)
			loseJobs(wd)
			wd.nodes[0].seen = 1000
		}, []checker.Invariant{checker.CompleteAnswer, checker.JobKept, checker.RevisionMonotonic}},
		"engines run what they refuse": {everyEngine(engine.FaultRunAndRefuse), []checker.Invariant{checker.NotRunCorrect}},
		"all engines are lost": {func(wd *world) {
			wd.patience = impatience
			for _, be := range wd.engines {
				wd.network.Drop(be.host, true)
			}
		}, []checker.Invariant{checker.Reachable}},
	} {
		t.Run(name, func(t *testing.T) {
			rp := runIn(t, New(1, WithNodes(2), WithLength(8*time.Second), WithFaults(), WithLinger(linger), withTweak(cs.breakIt)))
			found := map[checker.Invariant]bool{}
			for _, fd := range rp.Findings() {
				found[fd.Invariant] = true
			}
			for _, iv := range cs.want {
				require.True(t, found[iv], "%s did not fire; %v", iv, rp.Counts())
			}
		})
	}
}
