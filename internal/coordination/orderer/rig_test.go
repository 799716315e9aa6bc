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

// rig runs keepers against stand-in engines, one step at a time.
type rig struct {
	now      time.Time
	store    *platform.Memory
	engines  map[string]*engine.Engine
	tools    tools
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
	rg.tools = tools{
		store:    rg.store,
		engines:  NewHTTPEngines(rg),
		tokens:   NewLocalTokens(1<<20, 1),
		now:      func() time.Time { return rg.now },
		counters: rg.counters,
	}
	return rg
}

// Send implements Sender on the engines' handlers.
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

// owner returns a keeper that takes the server over.
func (rg *rig) owner(name, server string, gl Goal) *keeper {
	gl.server, gl.address, gl.limit = server, server, testMemory
	kp := newKeeper(name, &gl, rg.random, rg.counters)
	kp.serving = func(model, server string) bool { return rg.engines[server].Serves(model) }
	return kp
}

func (rg *rig) perform(tk task) result { return tk.perform(context.Background(), &rg.tools) }

// run performs steps until the keeper wants none now.
func (rg *rig) run(kp *keeper) {
	for tk := kp.next(rg.now); tk != nil; tk = kp.next(rg.now) {
		kp.done(rg.now, rg.perform(tk))
	}
}

// settle runs the keepers while time passes.
func (rg *rig) settle(dn time.Duration, kps ...*keeper) {
	for end := rg.now.Add(dn); rg.now.Before(end); rg.now = rg.now.Add(time.Second) {
		for _, kp := range kps {
			rg.run(kp)
		}
	}
}

// until performs steps up to the first order of the action, and returns it
// unperformed.
func (rg *rig) until(t *testing.T, kp *keeper, action accountant.Action) task {
	for tk := kp.next(rg.now); tk != nil; tk = kp.next(rg.now) {
		if ot, ok := tk.(orderTask); ok && ot.order.Action == string(action) {
			return tk
		}
		kp.done(rg.now, rg.perform(tk))
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

// holding returns a goal of model names; each takes 60 of 100 bytes.
func holding(fencing bool, bound time.Duration, least int, models ...string) Goal {
	gl := Goal{checksFencing: fencing, bound: bound, minReplicas: map[string]int{}}
	for _, model := range models {
		gl.wants = append(gl.wants, NewWant(model, "1", 60))
	}
	for _, model := range []string{"a", "b"} {
		gl.minReplicas[model] = least
	}
	return gl
}

func (kp *keeper) pursue(models ...string) {
	gl := *kp.goal
	gl.wants = holding(false, 0, 0, models...).wants
	kp.goal = &gl
}
