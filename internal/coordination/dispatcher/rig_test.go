package dispatcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/eventreader"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const settingsText = `
[model.m]
memory = 1GiB
[class.c]
rank = 0
first-token = 1s
token-gap = 50ms
deadline = 60s
[retries]
attempts = 6
[timeouts]
engine-silence = 2s
[engine-kind.k]
checks-fencing = yes
resumes = %s
transfers-cache = yes
`

// rig is a dispatcher with simulated engines, connected by pipes.
type rig struct {
	t        require.TestingT
	settings *configurer.Settings
	names    []string
	engines  map[string]*engine.Engine
	pipes    map[string]*pipeListener
	servers  []*http.Server
	registry *counter.Registry
	ejector  *ejector.Ejector
	forward  *forwarder.Forwarder
	dispatch *dispatcher.Dispatcher

	mu          sync.Mutex
	granted     int
	outstanding int
	tickets     []admitter.Ticket
	results     []admitter.Result
	priority    int
	prefill     string
}

func newRig(t require.TestingT, servers int, resumes string, opts ...engine.Option) *rig {
	checker.Reset()
	rg := &rig{t: t, engines: map[string]*engine.Engine{}, pipes: map[string]*pipeListener{}, registry: counter.NewRegistry()}
	text := fmt.Sprintf(settingsText, resumes)
	for ix := range servers {
		name := fmt.Sprintf("w%d", ix+1)
		rg.names = append(rg.names, name)
		text += fmt.Sprintf("[backend-server.%s]\nkind = k\naddress = 127.0.0.1:%d\nzone = zone-a\naccelerators = 1\nmemory = 80GiB\ncache-reserve = 20GiB\nadapter-reserve = 4GiB\nslots = 16\n", name, ix+1)
		rg.startEngine(name, opts...)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "10.ini", Text: text}})
	require.Empty(t, faults)
	rg.settings = st
	rg.ejector = ejector.New(ejector.WithRandom(rand.New(rand.NewPCG(1, 1))), ejector.WithRegistry(rg.registry),
		ejector.WithReplicas(func(string) map[string][]string { return map[string][]string{"m": rg.names} }))
	rg.forward = forwarder.New(forwarder.WithDial(rg.dial))
	rg.dispatch = dispatcher.New(rg, rg.forward, nil, dispatcher.WithRegistry(rg.registry),
		dispatcher.WithEjector(rg.ejector), dispatcher.WithRandom(rand.New(rand.NewPCG(1, 2))))
	return rg
}

func (rg *rig) startEngine(name string, opts ...engine.Option) {
	eg := engine.New(name, opts...)
	load := httptest.NewRequest(http.MethodPost, "/control/orders",
		strings.NewReader(`{"id":"o1","fence":1,"action":"load-model","model":"m","version":"v1","memory":1}`))
	eg.Handler().ServeHTTP(httptest.NewRecorder(), load)
	pl := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	sv := &http.Server{Handler: eg.Handler()}
	go func() { _ = sv.Serve(pl) }()
	rg.engines[name], rg.pipes[name] = eg, pl
	rg.servers = append(rg.servers, sv)
}

// stop stops the engines and checks that all grants were released and no
// invariant was violated.
func (rg *rig) stop() {
	rg.forward.Close()
	for _, sv := range rg.servers {
		_ = sv.Close()
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	require.Zero(rg.t, rg.outstanding, "grants that were not given back exactly once")
	require.Empty(rg.t, checker.Violations())
}

func (rg *rig) dial(ctx context.Context, _, address string) (net.Conn, error) {
	name, _, _ := strings.Cut(address, ":")
	return rg.pipes[name].dial(ctx)
}

// Admit grants the next server that is not avoided or ejected, or refuses.
func (rg *rig) Admit(_ context.Context, _ *configurer.Settings, tk *admitter.Ticket) (*admitter.Grant, *refuser.Refusal) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.tickets = append(rg.tickets, *tk)
	for ix := range rg.names {
		name := rg.names[(ix+rg.granted)%len(rg.names)]
		if slices.Contains(tk.Avoid, name) || rg.ejector.Weight(name) <= 0 {
			continue
		}
		if !tk.Resumed && tk.Avoid == nil {
			rg.granted++
		}
		rg.outstanding++
		gr := admitter.NewGrant(name, name+":80", func(rs admitter.Result) {
			rg.mu.Lock()
			defer rg.mu.Unlock()
			rg.outstanding--
			rg.results = append(rg.results, rs)
		})
		if rg.prefill != "" {
			gr.WithPrefill(rg.prefill, rg.prefill+":80")
		}
		return gr.WithPriority(rg.priority), nil
	}
	return nil, refuser.New(refuser.NoWorker, "none left")
}

func (rg *rig) outstandingGrants() int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.outstanding
}

func (rg *rig) request(id string, tokens int, stream bool, prompt string) *dispatcher.Request {
	md, _ := rg.settings.Model("m")
	cs, _ := rg.settings.Class("c")
	body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"stream":%t,"prompt":%q}`, tokens, stream, prompt+id)
	return &dispatcher.Request{
		ID: id, Class: cs, Model: md, Path: "/v1/completions", Body: []byte(body), Prompt: prompt,
		Stream: stream, MaxTokens: tokens, Deadline: time.Now().Add(cs.Deadline()),
	}
}

// fillRetryBudget runs count requests without faults, so that retries are
// allowed.
func (rg *rig) fillRetryBudget(count int) {
	for ix := range count {
		_, rf := rg.run(rg.request(fmt.Sprintf("WARM%d", ix), 1, false, ""))
		require.Nil(rg.t, rf)
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.granted = 0
}

func (rg *rig) run(rq *dispatcher.Request) (*httptest.ResponseRecorder, *refuser.Refusal) {
	wr := httptest.NewRecorder()
	rf := rg.dispatch.Dispatch(context.Background(), rg.settings, rq, wr)
	return wr, rf
}

// streamText returns the text of a stream and whether the stream is complete.
func streamText(t require.TestingT, wr *httptest.ResponseRecorder) (text string, whole bool) {
	rd := eventreader.New(wr.Body)
	for {
		ev, err := rd.Next()
		if err != nil {
			return text, whole
		}
		if string(ev.Data) == "[DONE]" {
			whole = true
			continue
		}
		if ev.Name == "error" {
			require.False(t, whole)
			continue
		}
		var ck struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		require.NoError(t, json.Unmarshal(ev.Data, &ck))
		text += ck.Choices[0].Text
	}
}

func wantText(id string, from, tokens int) string {
	text := ""
	for ix := from; ix < tokens; ix++ {
		text += engine.Token(id, ix)
	}
	return text
}

// pipeListener accepts in-process connections.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (pl *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case pl.conns <- far:
		return near, nil
	case <-pl.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case cn := <-pl.conns:
		return cn, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

func (pl *pipeListener) Close() error {
	pl.once.Do(func() { close(pl.closed) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
