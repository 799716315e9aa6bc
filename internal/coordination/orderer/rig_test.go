package orderer

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/accountant"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

const (
	testBound  = 20 * time.Second
	testMemory = 100
)

// rig runs reconcilers against stand-in engines, one step at a time.
type rig struct {
	now      time.Time
	store    *platform.Memory
	engines  map[string]*engine.Engine
	deps     deps
	random   *rand.Rand
	counters *counter.Registry
}

func newRig(t interface{ Cleanup(func()) }, fencing bool, servers ...string) *rig {
	log.SetHandler(discard.Default)
	checker.Reset()
	t.Cleanup(checker.Reset)
	rg := &rig{
		now:      time.Now(),
		store:    platform.NewMemory(),
		engines:  map[string]*engine.Engine{},
		random:   rand.New(rand.NewPCG(1, 2)),
		counters: counter.NewRegistry(),
	}
	for _, server := range servers {
		rg.engines[server] = engine.New(server, engine.WithMemory(testMemory), engine.WithAdapterMemory(testMemory),
			engine.WithFencing(fencing))
	}
	rg.deps = deps{
		store:    rg.store,
		engines:  NewHTTPEngines(rg),
		tokens:   NewLocalTokens(1<<20, 1),
		now:      func() time.Time { return rg.now },
		counters: rg.counters,
	}
	return rg
}

// Send implements Sender by calling the engines' handlers.
func (rg *rig) Send(ctx context.Context, rq forwarder.Request) (rs *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = &forwarder.Error{Sent: true, Address: rq.Address, Cause: errors.New("connection lost")}
		}
	}()
	wr := httptest.NewRecorder()
	body := io.NopCloser(bytes.NewReader(rq.Body))
	rg.engines[rq.Address].Handler().ServeHTTP(wr, httptest.NewRequestWithContext(ctx, rq.Method, rq.Path, body))
	return wr.Result(), nil
}

// owner returns the reconciler of the node name, which takes the server over.
func (rg *rig) owner(name, server string, gl Goal) *reconciler {
	gl.server, gl.address, gl.limit = server, server, testMemory
	rc := newReconciler(name, &gl, rg.random, rg.counters)
	rc.serving = func(model, server string) bool { return rg.engines[server].Serves(model) }
	return rc
}

func (rg *rig) perform(tk task) result { return tk.perform(context.Background(), &rg.deps) }

// run performs steps until the reconciler has none that is due.
func (rg *rig) run(rc *reconciler) {
	for tk := rc.next(rg.now); tk != nil; tk = rc.next(rg.now) {
		rc.done(rg.now, rg.perform(tk))
	}
}

// runFor runs the reconcilers and advances the time by dn in steps of 1 s.
func (rg *rig) runFor(dn time.Duration, rcs ...*reconciler) {
	for end := rg.now.Add(dn); rg.now.Before(end); rg.now = rg.now.Add(time.Second) {
		for _, rc := range rcs {
			rg.run(rc)
		}
	}
}

// runUntilOrder performs steps up to the first order with the action, and
// returns that order without sending it.
func (rg *rig) runUntilOrder(t *testing.T, rc *reconciler, action accountant.Action) task {
	for tk := rc.next(rg.now); tk != nil; tk = rc.next(rg.now) {
		if ot, ok := tk.(orderTask); ok && ot.order.Action == string(action) {
			return tk
		}
		rc.done(rg.now, rg.perform(tk))
	}
	require.Fail(t, "no such order")
	return nil
}

func (rg *rig) overcommits() int {
	sum := 0
	for _, eg := range rg.engines {
		sum += eg.Overcommits()
	}
	return sum
}

// holding returns a goal with version 1 of each model, which takes 60 of the
// server's 100 bytes.
func holding(fencing bool, lateOrderBound time.Duration, least int, models ...string) Goal {
	gl := Goal{checksFencing: fencing, lateOrderBound: lateOrderBound, minReplicas: map[string]int{}}
	for _, model := range models {
		gl.desired = append(gl.desired, NewDesiredCopy(model, "1", 60))
	}
	for _, model := range []string{"a", "b"} {
		gl.minReplicas[model] = least
	}
	return gl
}

func (rc *reconciler) setDesired(models ...string) {
	gl := *rc.goal
	gl.desired = holding(false, 0, 0, models...).desired
	rc.goal = &gl
}
