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

// shortSettleTimeout replaces defaultSettleTimeout in runs that can't recover.
const shortSettleTimeout = 20 * time.Second

// failEveryEngine returns a function that makes the next 1,000 requests of each
// engine fail in the given way.
func failEveryEngine(fault engine.FaultKind) func(*cluster) {
	return func(cl *cluster) {
		for _, be := range cl.engines {
			for range 1000 {
				be.engine.InjectRequestFaults(engine.Fault{Kind: fault})
			}
		}
	}
}

// overcommit orders an engine to load two models that exceed its memory.
func overcommit(cl *cluster) {
	for _, model := range []string{"x", "y"} {
		body := `{"id":"` + model + `","fence":1000000,"action":"load-model","model":"` + model + `","version":"v1","memory":26000000000}`
		rq := httptest.NewRequest(http.MethodPost, "/control/orders", strings.NewReader(body))
		cl.engines[0].engine.Handler().ServeHTTP(httptest.NewRecorder(), rq)
	}
}

// loseJobs deletes all accepted jobs from the store after 7 seconds.
func loseJobs(cl *cluster) {
	cl.settleTimeout = shortSettleTimeout
	cl.running.Go(func() {
		time.Sleep(7 * time.Second)
		found, _ := cl.store.List(context.Background(), "job/")
		for _, en := range found {
			_ = cl.store.Delete(context.Background(), en.Key, en.Revision)
		}
	})
}

// TestEachViolationIsReported violates each invariant on purpose, in runs
// without random faults, so that no check can pass by being ineffective.
func TestEachViolationIsReported(t *testing.T) {
	silenceLogs(t)
	for name, cs := range map[string]struct {
		violate func(*cluster)
		want    []checker.Invariant
	}{
		"services, orders, stops and revisions": {func(cl *cluster) {
			cl.services["orders"].RunTwice()
			cl.services["orders"].AnswerForeign()
			overcommit(cl)
			cl.recordAccepted(1000)
			for _, be := range cl.engines {
				be.leaving = time.Now().Add(-time.Minute)
			}
			for _, nd := range cl.liveNodes() {
				nd.Abort()
			}
		}, []checker.Invariant{
			checker.AtMostOnce, checker.OwnAnswer, checker.MemoryWithinCapacity, checker.NoRequestsToLeaving,
			checker.GracefulStop, checker.RevisionMonotonic,
		}},
		"answers, jobs and an older revision": {func(cl *cluster) {
			failEveryEngine(engine.FaultShort)(cl)
			loseJobs(cl)
			cl.nodes[0].seen = 1000
		}, []checker.Invariant{checker.CompleteAnswer, checker.JobKept, checker.RevisionMonotonic}},
		"a request that crashes engines reaches them again and again": {func(cl *cluster) {
			for ix := range fatalCrashes + fatalAllowance + 1 {
				cl.fatal = append(cl.fatal, time.Now().Add(time.Duration(ix)*2*fatalWindow))
			}
		}, []checker.Invariant{FatalContained}},
		"engines run what they refuse": {failEveryEngine(engine.FaultRunAndRefuse), []checker.Invariant{checker.NotRunCorrect}},
		"all engines are lost": {func(cl *cluster) {
			cl.settleTimeout = shortSettleTimeout
			for _, be := range cl.engines {
				cl.network.Drop(be.host, true)
			}
		}, []checker.Invariant{checker.Reachable}},
	} {
		t.Run(name, func(t *testing.T) {
			rp := runInBubble(t, New(1, WithNodes(2), WithLength(8*time.Second), WithFaults(), WithLinger(linger), withPreparation(cs.violate)))
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
