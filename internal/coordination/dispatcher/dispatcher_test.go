package dispatcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/isolator"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

func TestDispatchDeliversCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 1, "yes")
		defer rg.stop()
		wr, rf := rg.run(rg.request("A", 5, false, ""))
		require.Nil(t, rf)
		var answer struct {
			ID      string
			Choices []struct{ Text string }
		}
		require.NoError(t, json.Unmarshal(wr.Body.Bytes(), &answer))
		require.Equal(t, "A", answer.ID)
		require.Equal(t, wantText("A", 0, 5), answer.Choices[0].Text)
		wr, rf = rg.run(rg.request("B", 5, true, ""))
		require.Nil(t, rf)
		text, whole := streamText(t, wr)
		require.True(t, whole)
		require.Equal(t, wantText("B", 0, 5), text)
	})
}

// TestDispatchRecoversFromStreamFaults injects each fault of hazard 19 into a
// resumable stream.
func TestDispatchRecoversFromStreamFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		faults []engine.Fault
		reason refuser.Reason
	}{
		"breaks off before the first token":   {[]engine.Fault{{Kind: engine.FaultAbort}}, refuser.BackendFailed},
		"breaks off":                          {[]engine.Fault{{Kind: engine.FaultAbort, At: 3}}, refuser.StreamBroken},
		"ends cleanly without its end":        {[]engine.Fault{{Kind: engine.FaultEnd, At: 3}}, refuser.StreamBroken},
		"ends before the finish reason":       {[]engine.Fault{{Kind: engine.FaultEnd, At: 6}}, refuser.StreamBroken},
		"has no finish reason":                {[]engine.Fault{{Kind: engine.FaultUnfinished}}, refuser.StreamBroken},
		"falls silent":                        {[]engine.Fault{{Kind: engine.FaultSilence, At: 3}}, refuser.BackendSilent},
		"is silent from the start":            {[]engine.Fault{{Kind: engine.FaultSilence}}, refuser.BackendSilent},
		"skips a token":                       {[]engine.Fault{{Kind: engine.FaultSkip, At: 2}}, refuser.StreamBroken},
		"skips its last token":                {[]engine.Fault{{Kind: engine.FaultSkip, At: 5}}, refuser.StreamBroken},
		"repeats a token":                     {[]engine.Fault{{Kind: engine.FaultRepeat, At: 2}}, ""},
		"turns into another request's":        {[]engine.Fault{{Kind: engine.FaultForeign, At: 2}}, refuser.StreamBroken},
		"is another request's":                {[]engine.Fault{{Kind: engine.FaultForeign}}, refuser.BackendFailed},
		"has a late token":                    {[]engine.Fault{{Kind: engine.FaultLate}}, ""},
		"is refused under load":               {[]engine.Fault{{Kind: engine.FaultRefuse}}, refuser.BackendRefused},
		"skips after it was resumed":          {[]engine.Fault{{Kind: engine.FaultEnd, At: 2}, {Kind: engine.FaultSkip, At: 3}}, refuser.StreamBroken},
		"repeats after it was resumed":        {[]engine.Fault{{Kind: engine.FaultEnd, At: 2}, {Kind: engine.FaultRepeat, At: 3}}, refuser.StreamBroken},
		"is foreign after it was resumed":     {[]engine.Fault{{Kind: engine.FaultEnd, At: 2}, {Kind: engine.FaultForeign}}, refuser.StreamBroken},
		"breaks off again after a resumption": {[]engine.Fault{{Kind: engine.FaultEnd, At: 2}, {Kind: engine.FaultAbort, At: 4}}, refuser.StreamBroken},
	} {
		for servers := 1; servers <= 2; servers++ {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rg := newRig(t, servers, "yes")
					defer rg.stop()
					rg.fillRetryBudget(40)
					for ix, ft := range tc.faults {
						rg.engines[rg.names[ix%servers]].InjectRequestFaults(ft)
					}
					wr, rf := rg.run(rg.request("A", 6, true, ""))
					require.Nil(t, rf)
					text, whole := streamText(t, wr)
					require.True(t, whole)
					require.Equal(t, wantText("A", 0, 6), text)
					if tc.reason != "" {
						require.EqualValues(t, len(tc.faults), retriesFor(rg, tc.reason, tc.faults))
					}
					// A late or foreign token must not reach a later request.
					wr, rf = rg.run(rg.request("B", 4, true, ""))
					require.Nil(t, rf)
					text, _ = streamText(t, wr)
					require.Equal(t, wantText("B", 0, 4), text)
				})
			})
		}
	}
}

// retriesFor counts the retries; a repeated token after a resumption needs
// none.
func retriesFor(rg *rig, reason refuser.Reason, fts []engine.Fault) int64 {
	count := rg.registry.Values()["retry."+string(reason)]
	if len(fts) == 2 && fts[1].Kind == engine.FaultRepeat {
		count++
	}
	return count
}

func TestBrokenStreamEndsWithErrorWhenNotResumable(t *testing.T) {
	for _, kind := range []engine.FaultKind{engine.FaultAbort, engine.FaultEnd, engine.FaultSilence} {
		synctest.Test(t, func(t *testing.T) {
			rg := newRig(t, 2, "no")
			defer rg.stop()
			rg.fillRetryBudget(40)
			rg.engines["w1"].InjectRequestFaults(engine.Fault{Kind: kind, At: 3})
			wr, rf := rg.run(rg.request("A", 6, true, ""))
			require.NotNil(t, rf)
			require.Equal(t, refuser.StreamBroken, rf.Reason())
			require.Equal(t, refuser.Unknown, rf.Outcome())
			require.Contains(t, wr.Body.String(), "event: error\ndata: {\"error\":")
			text, whole := streamText(t, wr)
			require.False(t, whole)
			require.Equal(t, wantText("A", 0, 3), text)
			require.Zero(t, rg.engines["w2"].Runs("A"))
		})
	}
}

func TestIncompleteOrForeignAnswerIsRefused(t *testing.T) {
	for _, kind := range []engine.FaultKind{engine.FaultAbort, engine.FaultEnd, engine.FaultForeign, engine.FaultSilence} {
		synctest.Test(t, func(t *testing.T) {
			rg := newRig(t, 1, "yes")
			defer rg.stop()
			rg.engines["w1"].InjectRequestFaults(engine.Fault{Kind: kind})
			wr, rf := rg.run(rg.request("A", 6, false, ""))
			require.NotNil(t, rf)
			require.Equal(t, refuser.RetryBudget, rf.Reason())
			require.Equal(t, refuser.Unknown, rf.Outcome())
			require.Zero(t, wr.Body.Len())
		})
	}
}

func TestUnreachableServerGivesNotRunRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 1, "yes")
		defer rg.stop()
		_ = rg.pipes["w1"].Close()
		rq := rg.request("A", 6, false, "")
		rq.Once = true
		began := time.Now()
		_, rf := rg.run(rq)
		require.Equal(t, refuser.BackendUnreachable, rf.Reason())
		require.Equal(t, refuser.NotRun, rf.Outcome())
		require.Zero(t, time.Since(began), "a final refusal is given at once")
	})
}

// TestRequestThatCrashesEnginesIsStopped covers hazard 20: one request crashes
// each engine that runs it.
func TestRequestThatCrashesEnginesIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 5, "yes")
		defer rg.stop()
		rg.fillRetryBudget(60)
		for _, eg := range rg.engines {
			eg.CrashOn("lethal")
		}
		rq := rg.request("A", 6, true, "lethal")
		_, rf := rg.run(rq)
		require.Equal(t, refuser.BackendFailed, rf.Reason())
		require.Equal(t, refuser.Unknown, rf.Outcome())
		_, rf = rg.run(rq)
		require.Equal(t, refuser.BackendFailed, rf.Reason())
		require.Equal(t, refuser.NotRun, rf.Outcome())
		require.Positive(t, rf.RetryAfter())
		crashes := 0
		for _, eg := range rg.engines {
			crashes += eg.Crashes()
		}
		require.Equal(t, 2, crashes)
	})
}

// A server that answered with a malformed head passed for one that had crashed, so that
// other servers refused its requests.
func TestServerWithAMalformedHeadHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 5, "yes")
		defer rg.stop()
		rg.fillRetryBudget(60)
		var handlers []http.Handler
		for _, sv := range rg.servers {
			handlers = append(handlers, sv.Handler)
			sv.Handler = http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
				cn, _, err := http.NewResponseController(wr).Hijack()
				require.NoError(t, err)
				_, _ = io.WriteString(cn, "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")
				_ = cn.Close()
			})
		}
		rq := rg.request("A", 6, false, "")
		_, rf := rg.run(rq)
		require.Equal(t, refuser.BackendFailed, rf.Reason())
		require.Equal(t, refuser.Unknown, rf.Outcome())
		for ix, sv := range rg.servers {
			sv.Handler = handlers[ix]
		}
		_, rf = rg.run(rq)
		require.Nil(t, rf)
	})
}

// peerCaller delivers calls to the isolator of the only other node.
type peerCaller struct{ peer **isolator.Isolator }

func (pc peerCaller) Call(_ context.Context, _ string, call messenger.Message) (messenger.Message, error) {
	return (*pc.peer).Handle(call), nil
}

// Each node counted crashes for itself, so that a request crashed engines anew at
// every node it came to.
func TestRequestThatCrashesEnginesIsRefusedByOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 5, "yes")
		defer rg.stop()
		for _, eg := range rg.engines {
			eg.CrashOn("lethal")
		}
		var nodes [2]*isolator.Isolator
		var dispatchers [2]*dispatcher.Dispatcher
		for ix := range nodes {
			leader := func() (string, bool, bool) { return "n0", ix == 0, true }
			nodes[ix] = isolator.New(peerCaller{&nodes[1-ix]}, func() []string { return []string{"other"} }, leader)
			dt := crashdetector.New(func(context.Context, string) bool { return true }, crashdetector.WithOnCrash(nodes[ix].Crashed))
			dispatchers[ix] = dispatcher.New(rg, rg.forward, nil, dispatcher.WithCrashes(dt), dispatcher.WithQuarantine(nodes[ix]))
		}
		run := func(ix int, id, prompt string) *refuser.Refusal {
			rq := rg.request("", 6, false, prompt)
			rq.ID = id
			rf := dispatchers[ix].Dispatch(t.Context(), rg.settings, rq, httptest.NewRecorder())
			time.Sleep(time.Second)
			return rf
		}
		for ix := range 4 {
			run(ix%2, fmt.Sprint("A", ix), "lethal")
		}
		crashes := 0
		for _, eg := range rg.engines {
			crashes += eg.Crashes()
		}
		require.Equal(t, 2, crashes)
		rf := run(1, "B", "lethal")
		require.Equal(t, refuser.ContentExcluded, rf.Reason())
		require.Equal(t, refuser.NotRun, rf.Outcome())
		require.Positive(t, rf.RetryAfter())
	})
}

func TestCallerLeavingCancelsRequestOnServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 1, "yes")
		defer rg.stop()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan *refuser.Refusal, 1)
		go func() {
			ended <- rg.dispatch.Dispatch(ctx, rg.settings, rg.request("A", 1000, true, ""), httptest.NewRecorder())
		}()
		time.Sleep(time.Second)
		cancel()
		rf := <-ended
		require.Equal(t, refuser.Cancelled, rf.Reason())
		synctest.Wait()
		require.Equal(t, 1, rg.engines["w1"].Cancelled())
		require.Zero(t, rg.outstandingGrants())
		wr, rf := rg.run(rg.request("B", 4, true, ""))
		require.Nil(t, rf)
		text, _ := streamText(t, wr)
		require.Equal(t, wantText("B", 0, 4), text, "no late token of the cancelled request")
	})
}

func TestDispatchResumesStreamOfAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 1, "yes")
		defer rg.stop()
		rq := rg.request("A", 6, true, "")
		rq.ResumeFrom = 4
		wr, rf := rg.run(rq)
		require.Nil(t, rf)
		text, whole := streamText(t, wr)
		require.True(t, whole)
		require.Equal(t, wantText("A", 4, 6), text)
	})
}

// TestRetriesStayBoundedWhenHalfTheServersFail covers hazard 25: half of the
// backend servers fail at once.
func TestRetriesStayBoundedWhenHalfTheServersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 4, "yes")
		defer rg.stop()
		rg.fillRetryBudget(100)
		rg.engines["w1"].SetDown(true)
		rg.engines["w3"].SetDown(true)
		const traffic = 400
		whole := 0
		for ix := range traffic {
			rq := rg.request("R", 2, ix%2 == 0, string(rune('a'+ix%26))+time.Now().String())
			if _, rf := rg.run(rq); rf == nil {
				whole++
			}
			require.Equal(t, 1.0, rg.ejector.Weight("w2"))
			require.Equal(t, 1.0, rg.ejector.Weight("w4"))
		}
		retries := int64(0)
		for _, reason := range refuser.Reasons() {
			retries += rg.registry.Values()["retry."+string(reason)]
		}
		require.Positive(t, retries)
		require.LessOrEqual(t, retries, int64(traffic/10))
		require.Positive(t, rg.registry.Values()["ejection.out"])
		require.Greater(t, whole, traffic*8/10)
	})
}

// slowWriter blocks every write until taken is closed.
type slowWriter struct {
	*httptest.ResponseRecorder
	taken chan struct{}
}

func (sw *slowWriter) Write(data []byte) (int, error) {
	<-sw.taken
	return sw.ResponseRecorder.Write(data)
}

// TestSlowCallerDoesNotHoldServer covers hazard 21: a caller reads slower than
// the server generates.
func TestSlowCallerDoesNotHoldServer(t *testing.T) {
	for name, tc := range map[string]struct {
		tokens int
		reason refuser.Reason
	}{
		"an answer that fits the buffer": {100, ""},
		"an answer that does not":        {4000, refuser.StreamBroken},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, 1, "yes")
				defer rg.stop()
				rq := rg.request("A", tc.tokens, true, "")
				rq.Deadline = time.Now().Add(time.Hour)
				sw := &slowWriter{ResponseRecorder: httptest.NewRecorder(), taken: make(chan struct{})}
				ended := make(chan *refuser.Refusal, 1)
				go func() { ended <- rg.dispatch.Dispatch(t.Context(), rg.settings, rq, sw) }()
				time.Sleep(10 * time.Minute)
				require.Zero(t, rg.outstandingGrants(), "the accelerator is free although the caller has read nothing")
				require.LessOrEqual(t, rg.dispatch.Buffered(), int64(256<<10))
				close(sw.taken)
				rf := <-ended
				text, whole := streamText(t, sw.ResponseRecorder)
				require.Equal(t, rf == nil, whole)
				require.True(t, strings.HasPrefix(wantText("A", 0, tc.tokens), text))
				if tc.reason != "" {
					require.Equal(t, tc.reason, rf.Reason())
				}
				require.Zero(t, rg.dispatch.Buffered())
			})
		})
	}
}

// TestCallerThatStopsReadingIsDisconnected keeps the caller's connection open
// without reading from it.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 1, "yes")
		defer rg.stop()
		ended := make(chan *refuser.Refusal, 1)
		pl := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		sv := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			ended <- rg.dispatch.Dispatch(rq.Context(), rg.settings, rg.request("A", 100, true, ""), wr)
		})}
		go func() { _ = sv.Serve(pl) }()
		defer func() { _ = sv.Close() }()
		cn, err := pl.dial(t.Context())
		require.NoError(t, err)
		_, err = io.WriteString(cn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
		require.NoError(t, err)
		rf := <-ended
		require.Equal(t, refuser.Cancelled, rf.Reason())
		require.Zero(t, rg.outstandingGrants())
		require.Zero(t, rg.dispatch.Buffered())
	})
}

// TestGrantIsReturnedWithMeasuredResult checks the results from which admission
// learns service times: only complete answers of one server have a duration.
func TestGrantIsReturnedWithMeasuredResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 1, "yes")
		defer rg.stop()
		rg.fillRetryBudget(40)
		rg.results = nil
		_, rf := rg.run(rg.request("A", 5, false, ""))
		require.Nil(t, rf)
		_, rf = rg.run(rg.request("B", 5, true, ""))
		require.Nil(t, rf)
		rg.engines["w1"].InjectRequestFaults(engine.Fault{Kind: engine.FaultRefuse}, engine.Fault{Kind: engine.FaultEnd, At: 3})
		_, rf = rg.run(rg.request("C", 5, true, ""))
		require.Nil(t, rf)
		whole := 130 * time.Millisecond // 50 ms prefill and 4 gaps of 20 ms.
		require.Equal(t, []admitter.Result{
			{Duration: whole, Tokens: 5},
			{Duration: whole, Tokens: 5, FirstToken: 50 * time.Millisecond},
			{},
			{Failed: true, Tokens: 3, FirstToken: 50 * time.Millisecond},
			{Tokens: 2, FirstToken: 50 * time.Millisecond},
		}, rg.results)
	})
}

// TestEngineServesByGrantPriority fills the only slot and queues two requests
// of one class, the second with a more urgent grant.
func TestEngineServesByGrantPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 1, "yes", engine.WithSlots(1))
		defer rg.stop()
		var mu sync.Mutex
		var ended []string
		var wg sync.WaitGroup
		for _, id := range []string{"first", "later", "owed"} {
			rg.priority = 1
			if id == "owed" {
				rg.priority = 0
			}
			wg.Go(func() {
				_, rf := rg.run(rg.request(id, 5, true, ""))
				require.Nil(t, rf)
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, id)
			})
			synctest.Wait()
		}
		wg.Wait()
		require.Equal(t, []string{"first", "owed", "later"}, ended)
	})
}

// TestPrefillServerExportsCacheToDecodeServer runs a request with a prefill
// server that works, is down, or exports a cache that can't be imported.
func TestPrefillServerExportsCacheToDecodeServer(t *testing.T) {
	for name, tc := range map[string]struct {
		fault            func(prefill, decode *engine.Engine)
		exports, imports int
	}{
		"exported and imported":  {func(_, _ *engine.Engine) {}, 1, 1},
		"import fails":           {func(_, decode *engine.Engine) { decode.FailImports(true) }, 1, 0},
		"prefill server is down": {func(prefill, _ *engine.Engine) { prefill.SetDown(true) }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, 2, "yes")
				defer rg.stop()
				rg.prefill = "w2"
				decode, prefill := rg.engines["w1"], rg.engines["w2"]
				tc.fault(prefill, decode)
				wr, rf := rg.run(rg.request("A", 5, true, ""))
				require.Nil(t, rf)
				text, whole := streamText(t, wr)
				require.True(t, whole)
				require.Equal(t, wantText("A", 0, 5), text)
				exports, _ := prefill.Transfers()
				_, imports := decode.Transfers()
				require.Equal(t, []int{tc.exports, tc.imports}, []int{exports, imports})
				require.Zero(t, prefill.Runs("A"))
			})
		})
	}
}

// A stream whose engine failed went on at an engine with other weights.
func TestStreamGoesOnOnlyAtItsModelVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, 3, "yes")
		defer rg.stop()
		rg.fillRetryBudget(40)
		newer := httptest.NewRequest(http.MethodPost, "/control/orders",
			strings.NewReader(`{"id":"o2","fence":1,"action":"load-model","model":"m","version":"v2","memory":1}`))
		rg.engines["w2"].Handler().ServeHTTP(httptest.NewRecorder(), newer)
		rg.engines["w1"].InjectRequestFaults(engine.Fault{Kind: engine.FaultAbort, At: 3})
		wr, rf := rg.run(rg.request("A", 6, true, ""))
		require.Nil(t, rf)
		require.NotContains(t, wr.Body.String(), `"system_fingerprint":"v2"`)
		text, whole := streamText(t, wr)
		require.True(t, whole)
		require.Equal(t, wantText("A", 0, 6), text)

		rq := rg.request("A", 6, true, "")
		rq.ResumeFrom, rq.ResumeFingerprint = 3, "v0"
		wr, rf = rg.run(rq)
		require.NotNil(t, rf, "no engine has the weights that the caller's tokens come from")
		require.Empty(t, wr.Body.String())
	})
}
