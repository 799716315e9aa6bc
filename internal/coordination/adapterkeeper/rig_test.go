package adapterkeeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/orderer"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
)

const (
	testBound = 20 * time.Second
	mebibyte  = 1 << 20
)

// rig is one engine and several nodes, each of which may consider itself owner.
type rig struct {
	mu       sync.Mutex
	now      time.Time
	engine   *engine.Engine
	settings *configurer.Settings
	// number is the last fencing number.
	number int64
	// owner is the node that took over last.
	owner *node
	// sent counts the orders to the engine.
	sent int
	// beforeSend is called before the engine receives an order.
	beforeSend func()
}

// node is a node of the rig; its ownership may be outdated.
type node struct {
	rig       *rig
	keeper    *Keeper
	counts    *counter.Registry
	ownership orderer.Ownership
	owns      bool
}

func settingsText(fencing string, bound time.Duration, reserve, adapters int) string {
	text := fmt.Sprintf("[model.m]\nmemory = 1GiB\n[engine-kind.k]\nchecks-fencing = %s\nlate-order-bound = %s\n"+
		"[backend-server.w]\nkind = k\naddress = 127.0.0.1:1\nzone = z\nmemory = 80GiB\nadapter-reserve = %dMiB\n", fencing, bound, reserve)
	for ix := range adapters {
		text += fmt.Sprintf("[adapter.a%d]\nmodel = m\nmemory = %dMiB\n", ix, ix%3+1)
	}
	return text
}

type failer interface {
	Cleanup(fn func())
	Fatalf(format string, args ...any)
}

func newRig(t failer, fencing string, bound time.Duration, reserve, adapters int) *rig {
	log.SetHandler(discard.Default)
	checker.Reset()
	t.Cleanup(checker.Reset)
	st, faults := configurer.Parse([]configurer.File{{Name: "a.ini", Text: settingsText(fencing, bound, reserve, adapters)}})
	if len(faults) > 0 {
		t.Fatalf("settings: %v", faults)
	}
	eg := engine.New("w", engine.WithAdapterMemory(int64(reserve)*mebibyte), engine.WithFencing(fencing == "yes"))
	return &rig{now: time.Now(), engine: eg, settings: st, beforeSend: func() {}}
}

func (rg *rig) clock() time.Time {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.now
}

func (rg *rig) advance(dn time.Duration) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.now = rg.now.Add(dn)
}

// node returns a node in whose view the named node owns all servers.
func (rg *rig) node(id, owner string, opts ...Option) *node {
	nd := &node{rig: rg, counts: counter.NewRegistry()}
	vw := prober.NewView(id, []prober.Member{{ID: owner, State: prober.Alive, PeerAddress: owner}})
	opts = append([]Option{
		WithNow(rg.clock), WithEngines(orderer.NewHTTPEngines(rg)), WithRegistry(nd.counts),
		WithTokens(orderer.NewLocalTokens(1, 1<<20)),
	}, opts...)
	nd.keeper = New(nd, func() *configurer.Settings { return rg.settings }, func() *prober.View { return vw }, rg, opts...)
	nd.keeper.sleep = func(time.Duration) {}
	return nd
}

// takeOver makes the node the owner without notifying the previous one.
func (nd *node) takeOver() {
	rg := nd.rig
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.number++
	rg.owner = nd
	nd.ownership = orderer.Ownership{Number: rg.number, Claim: rg.number, Claimed: rg.now, Confirmed: rg.now}
	nd.owns = true
}

// Fence implements Orders.
func (nd *node) Fence(string) (orderer.Ownership, bool) {
	nd.rig.mu.Lock()
	defer nd.rig.mu.Unlock()
	return nd.ownership, nd.owns
}

// Raise implements Orders.
func (nd *node) Raise(string) {
	rg := nd.rig
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.owner != nd {
		nd.owns = false
		return
	}
	rg.number++
	nd.ownership.Number, nd.ownership.Confirmed = rg.number, rg.now
}

// Call implements Peers: only the address "owner" answers.
func (rg *rig) Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error) {
	if rg.owner == nil || address != "owner" {
		return nil, errors.New("unreachable")
	}
	return rg.owner.keeper.Handle(ctx, call.(*messenger.AdapterLoad)), nil
}

// Send implements orderer.Sender by calling the engine's handler.
func (rg *rig) Send(ctx context.Context, rq forwarder.Request) (rs *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = &forwarder.Error{Sent: true, Address: rq.Address, Cause: errors.New("connection lost")}
		}
	}()
	rg.mu.Lock()
	rg.sent++
	beforeSend := rg.beforeSend
	rg.mu.Unlock()
	beforeSend()
	wr := httptest.NewRecorder()
	body := io.NopCloser(bytes.NewReader(rq.Body))
	rg.engine.Handler().ServeHTTP(wr, httptest.NewRequestWithContext(ctx, rq.Method, rq.Path, body))
	return wr.Result(), nil
}

func (nd *node) obtain(name string) string {
	return nd.keeper.Obtain(context.Background(), "w", name)
}
