package admitter_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/ejector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// newTestAdmitter returns an admitter for one stand-in engine with two slots,
// its settings, the engine, and a function that polls the engine and refreshes
// the admitter.
func newTestAdmitter(t *testing.T, rg *counter.Registry) (*admitter.Admitter, *configurer.Settings, *engine.Engine, func()) {
	eg := engine.New("w1", engine.WithSlots(2))
	sv := httptest.NewServer(eg.Handler())
	t.Cleanup(sv.Close)
	address := strings.TrimPrefix(sv.URL, "http://")
	order := `{"id":"1","fence":1,"action":"load-model","model":"m","version":"v1","memory":1024}`
	rs, err := sv.Client().Post(sv.URL+"/control/orders", "application/json", strings.NewReader(order))
	require.NoError(t, err)
	require.NoError(t, rs.Body.Close())
	text := "[caller.desk]\nkey-sha256 = " + strings.Repeat("ab", 32) + "\nquota = 100\nburst = 60\n" +
		"[class.urgent]\nrank = 0\n[model.m]\nmemory = 1GiB\nmin-replicas = 1\n[engine-kind.fenced]\nchecks-fencing = yes\n" +
		"[backend-server.w1]\nkind = fenced\naddress = " + address + "\nzone = zone-a\nmemory = 80GiB\nslots = 2\n"
	st, faults := configurer.Parse([]configurer.File{{Name: "10.ini", Text: text}})
	require.Empty(t, faults)
	wt := watcher.New()
	ad := admitter.New(wt, ejector.New(), rand.New(rand.NewPCG(1, 1)), admitter.WithCounters(rg))
	poll := func() {
		wt.Poll(t.Context(), st.BackendServers())
		ad.Refresh(st)
	}
	poll()
	return ad, st, eg, poll
}

func ticket(st *configurer.Settings) *admitter.Ticket {
	cr, _ := st.Caller("desk")
	cs, _ := st.Class("urgent")
	md, _ := st.Model("m")
	return &admitter.Ticket{Caller: cr, Class: cs, Model: md, MaxTokens: 4, Deadline: time.Now().Add(time.Minute)}
}

func TestAdmitGrantsEachWaitingRequestOnce(t *testing.T) {
	checker.Reset()
	ad, st, _, _ := newTestAdmitter(t, nil)
	var wg sync.WaitGroup
	var mu sync.Mutex
	running, maxRunning, granted := 0, 0, 0
	for range 50 {
		wg.Go(func() {
			gr, rf := ad.Admit(t.Context(), st, ticket(st))
			if rf != nil {
				return
			}
			mu.Lock()
			running++
			granted++
			maxRunning = max(maxRunning, running)
			mu.Unlock()
			runtime.Gosched()
			mu.Lock()
			running--
			mu.Unlock()
			gr.Done(admitter.Result{Duration: time.Millisecond})
		})
	}
	wg.Wait()
	require.Equal(t, 50, granted)
	require.LessOrEqual(t, maxRunning, 2)
	require.Empty(t, ad.Outstanding()["w1"])
	require.Empty(t, checker.Violations())
}

func TestAdmitRefusesWhenContextIsCancelled(t *testing.T) {
	rg := counter.NewRegistry()
	ad, st, _, _ := newTestAdmitter(t, rg)
	for range 2 {
		_, rf := ad.Admit(t.Context(), st, ticket(st))
		require.Nil(t, rf)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, rf := ad.Admit(ctx, st, ticket(st))
	require.Equal(t, refuser.Cancelled, rf.Reason())
	require.Equal(t, refuser.NotRun, rf.Outcome())
	require.Equal(t, int64(1), rg.Values()["admission-refusal.cancelled"])
	require.Equal(t, int64(2), rg.Values()["admission-grant.urgent"])
}

func TestAdmitWaitsWhenOnlyReplicaIsLeaving(t *testing.T) {
	ad, st, eg, poll := newTestAdmitter(t, nil)
	eg.SetLeaving(true)
	poll()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, rf := ad.Admit(ctx, st, ticket(st))
	require.Equal(t, refuser.Cancelled, rf.Reason(), "it waits for another replica instead")
}

func TestAdmitRefusesCallerOverQuota(t *testing.T) {
	ad, st, _, _ := newTestAdmitter(t, nil)
	reasons := map[refuser.Reason]int{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 200 {
		if _, rf := ad.Admit(ctx, st, ticket(st)); rf != nil {
			reasons[rf.Reason()]++
			if rf.Reason() == refuser.Quota {
				require.Positive(t, rf.RetryAfter())
			}
		}
	}
	require.Positive(t, reasons[refuser.Quota])
}
