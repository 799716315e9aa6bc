package delegator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/delegator"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// fleet is nodes that call each other directly.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*delegator.Delegator
	// lost has the nodes that are gone.
	lost map[string]bool
	// serves says which nodes take requests.
	serves map[string]bool
	// lacks has the pools that nodes don't reach, and asked is called with each node that
	// is asked to run a request.
	lacks map[string]string
	asked func(address string)
	ended map[string]chan struct{} // closed when the node is lost
	// dial is how long it takes to find a lost node unreachable.
	dial time.Duration
}

// Call implements delegator.Caller.
func (fl *fleet) Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error) {
	fl.mu.Lock()
	nd, lost, ended := fl.nodes[address], fl.lost[address], fl.ended[address]
	fl.mu.Unlock()
	if lost {
		time.Sleep(fl.dial)
		return nil, &messenger.Error{Failure: messenger.Unreachable, Address: address}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := make(chan messenger.Message, 1)
	go func() { answer <- nd.Handle(ctx, call) }()
	select {
	case ms := <-answer:
		return ms, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-fl.ended["a"]:
		return nil, &messenger.Error{Failure: messenger.Lost, Address: address}
	case <-ended:
		return nil, &messenger.Error{Failure: messenger.Lost, Address: address}
	}
}

// lose ends a node and the calls in progress.
func (fl *fleet) lose(address string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.lost[address] = true
	close(fl.ended[address])
}

// newFleet starts nodes a (the one that delegates), b and c.
func newFleet(hd http.Handler) *fleet {
	fl := &fleet{nodes: map[string]*delegator.Delegator{}, lost: map[string]bool{}, serves: map[string]bool{"b": true, "c": true}, ended: map[string]chan struct{}{}, asked: func(string) {}}
	members := func() []prober.Member {
		var all []prober.Member
		for _, id := range []string{"a", "b", "c"} {
			all = append(all, prober.Member{ID: id, PeerAddress: id, Zone: "z" + id, State: prober.Alive})
		}
		return all
	}
	for _, id := range []string{"a", "b", "c"} {
		fl.ended[id] = make(chan struct{})
		serves := func(revision int64, pool string) bool {
			fl.asked(id)
			return fl.serves[id] && revision <= 3 && (pool == "" || fl.lacks[id] != pool)
		}
		dg := delegator.New(fl, id, "z"+id, members, serves)
		dg.Serve(hd)
		fl.nodes[id] = dg
	}
	return fl
}

// open delegates a request of node a and returns the status and body of its answer.
func (fl *fleet) open(ctx context.Context, rq delegator.Request) (int, string, error) {
	rq.Method, rq.Host, rq.Target = http.MethodPost, "h", "/p?q=1"
	rs, err := fl.nodes["a"].Open(ctx, rq)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	return rs.StatusCode, string(body), err
}

// A delegated request was changed on its way, its answer passed for whole though it was
// not, or it ran twice.
func TestDelegatedRequestIsAnsweredOnce(t *testing.T) {
	var runs int
	answers := map[string]http.HandlerFunc{
		"whole": func(wr http.ResponseWriter, rq *http.Request) {
			in, ok := delegator.FromContext(rq.Context())
			body, _ := io.ReadAll(rq.Body)
			wr.Header().Set("Seal", "s")
			wr.WriteHeader(http.StatusCreated)
			_, _ = fmt.Fprint(wr, rq.Method, rq.Host, rq.RequestURI, string(body), rq.Header.Get("X"), in.Servers, ok, in.Caller)
		},
		"large": func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set("Content-Length", "300000")
			for range 30 {
				_, _ = wr.Write(make([]byte, 10_000))
			}
		},
		"broken": func(wr http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(wr, "half")
			panic(http.ErrAbortHandler)
		},
		"stream": func(wr http.ResponseWriter, _ *http.Request) {
			for ix := range 5 {
				_, _ = fmt.Fprint(wr, ix)
				_ = http.NewResponseController(wr).Flush()
				time.Sleep(50 * time.Millisecond)
			}
		},
	}
	hd := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		runs++
		answers[rq.Header.Get("Kind")](wr, rq)
	})
	rq := func(kind string) delegator.Request {
		return delegator.Request{Header: http.Header{"X": {"1"}, "Kind": {kind}}, Body: []byte("body"), Servers: 2, Caller: "desk"}
	}
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(hd)
		status, body, err := fl.open(t.Context(), rq("whole"))
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, status)
		require.Equal(t, "POSTh/p?q=1body12 truedesk", body)
		_, body, err = fl.open(t.Context(), rq("large"))
		require.NoError(t, err)
		require.Len(t, body, 300_000)
		for kind, length := range map[string]int64{"large": 300_000, "whole": -1} {
			rs, err := fl.nodes["a"].Open(t.Context(), rq(kind))
			require.NoError(t, err)
			require.Equal(t, length, rs.ContentLength, kind)
			_, err = io.Copy(io.Discard, rs.Body)
			require.NoError(t, err)
			_ = rs.Body.Close()
		}
		_, body, err = fl.open(t.Context(), rq("stream"))
		require.NoError(t, err)
		require.Equal(t, "01234", body)
		_, body, err = fl.open(t.Context(), rq("broken"))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Equal(t, "half", body)
		require.Equal(t, 6, runs)
		for _, dg := range fl.nodes {
			dg.AwaitIdle(t.Context())
		}
	})
}

// A request was tried at nodes that cannot run it, or run there under an older
// configuration.
func TestRequestIsOfferedUntilANodeTakesIt(t *testing.T) {
	runs := 0
	hd := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ })
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(hd)
		fl.serves["b"] = false
		for range 5 {
			_, _, err := fl.open(t.Context(), delegator.Request{})
			require.NoError(t, err)
		}
		require.Equal(t, 5, runs)
		fl.lose("b")
		_, _, err := fl.open(t.Context(), delegator.Request{Revision: 4})
		require.ErrorIs(t, err, delegator.ErrNoNode, "no node has that configuration")
		fl.serves["c"] = false
		_, _, err = fl.open(t.Context(), delegator.Request{})
		require.ErrorIs(t, err, delegator.ErrNoNode)
		require.Equal(t, 5, runs)
	})
}

// A node that declined requests for the pool that it had lost as well was asked last for
// those of other pools.
func TestDeclineForOnePoolIsNoneForAnother(t *testing.T) {
	asked := 0
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		fl.lost["c"] = true
		fl.lacks = map[string]string{"b": "app"}
		fl.asked = func(string) { asked++ }
		for range 5 {
			_, _, err := fl.open(t.Context(), delegator.Request{Pool: "app"})
			require.ErrorIs(t, err, delegator.ErrNoNode)
		}
		fl.lost["c"], asked = false, 0
		for range 10 {
			_, _, err := fl.open(t.Context(), delegator.Request{Pool: "llm"})
			require.NoError(t, err)
		}
		require.Equal(t, 10, asked, "the first node that is asked takes each request")
	})
}

// A request went on after its caller had left, or after the node that asked for it was
// lost.
func TestDelegatedRequestEndsWithItsCaller(t *testing.T) {
	for name, leave := range map[string]func(fl *fleet, cancel func()){
		"the caller leaves":           func(_ *fleet, cancel func()) { cancel() },
		"the node that asked is lost": func(fl *fleet, _ func()) { fl.lose("a") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan time.Time, 1)
				hd := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
					_, _ = io.WriteString(wr, "first")
					_ = http.NewResponseController(wr).Flush()
					<-rq.Context().Done()
					ended <- time.Now()
				})
				fl := newFleet(hd)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				result := make(chan error, 1)
				go func() {
					_, _, err := fl.open(ctx, delegator.Request{})
					result <- err
				}()
				time.Sleep(time.Second)
				left := time.Now()
				leave(fl, cancel)
				require.Less(t, (<-ended).Sub(left), 500*time.Millisecond)
				require.Error(t, <-result)
			})
		})
	}
}

// A node that was lost after it took a request passed for one that had not run it.
func TestLossOfTheOtherNodeIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hd := http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() })
		fl := newFleet(hd)
		fl.serves["c"] = false
		go func() {
			time.Sleep(time.Second)
			fl.lose("b")
		}()
		_, _, err := fl.open(t.Context(), delegator.Request{})
		require.ErrorIs(t, err, delegator.ErrBroken)
		require.False(t, errors.Is(err, delegator.ErrNoNode))
	})
}

// A delegated request was given up when its caller read for more than a second without
// asking for more.
func TestSlowCallerKeepsItsDelegatedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			for range 30 {
				if _, err := wr.Write(make([]byte, 10_000)); err != nil {
					panic(http.ErrAbortHandler)
				}
			}
		}))
		rs, err := fl.nodes["a"].Open(t.Context(), delegator.Request{Method: http.MethodPost, Host: "h", Target: "/p"})
		require.NoError(t, err)
		defer func() { _ = rs.Body.Close() }()
		buf, read := make([]byte, 64<<10), 0
		for err == nil {
			var count int
			count, err = rs.Body.Read(buf)
			read += count
			time.Sleep(10 * time.Second)
		}
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, 300_000, read)
	})
}

// The handler of a delegated request went on writing long after its deadline when the
// node that had asked for it was lost.
func TestDelegatedAnswerIsNotWrittenAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Duration, 1)
		fl := newFleet(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			began := time.Now()
			_ = http.NewResponseController(wr).SetWriteDeadline(began.Add(time.Second))
			_, err := wr.Write(make([]byte, 300_000))
			require.Error(t, err)
			ended <- time.Since(began)
		}))
		_, err := fl.nodes["a"].Open(t.Context(), delegator.Request{Method: http.MethodPost, Host: "h", Target: "/p"})
		require.NoError(t, err)
		fl.lose("a")
		require.LessOrEqual(t, <-ended, time.Second)
		time.Sleep(time.Minute)
	})
}
