package admitter

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

var testStart = time.Unix(1000, 0)

// parseTestSettings parses settings with two classes, two callers and two
// servers of four slots, and the additional text.
func parseTestSettings(t require.TestingT, more string) *configurer.Settings {
	text := "[caller.desk]\nkey-sha256 = " + strings.Repeat("ab", 32) + "\nquota = 100000\nburst = 100000\n" +
		"[caller.plant]\nkey-sha256 = " + strings.Repeat("cd", 32) + "\nquota = 100000\nburst = 100000\n" +
		"[class.urgent]\nrank = 0\nfirst-token = 1s\ndeadline = 20s\nmin-share = 0.2\n" +
		"[class.later]\nrank = 1\nfirst-token = 60s\ndeadline = 4h\nmin-share = 0.1\n" +
		"[engine-kind.fenced]\nchecks-fencing = yes\n"
	for ix := range 2 {
		text += fmt.Sprintf("[backend-server.w%d]\nkind = fenced\naddress = 127.0.0.1:%d\nzone = zone-a\nmemory = 80GiB\nslots = 4\n", ix, 1000+ix)
	}
	st, faults := configurer.Parse([]configurer.File{{Name: "10.ini", Text: text}, {Name: "20.ini", Text: more}})
	require.Empty(t, faults)
	return st
}

const twoModels = "[model.m]\nmemory = 1GiB\n[model.n]\nmemory = 1GiB\n[adapter.a]\nmodel = m\n"

func newTestScheduler(t require.TestingT, opts ...SchedulerOption) (*Scheduler, *configurer.Settings) {
	st := parseTestSettings(t, twoModels)
	sc := NewScheduler(rand.New(rand.NewPCG(1, 1)), opts...)
	sc.ApplySettings(testStart, st)
	sc.Update(testStart, testTable(st))
	return sc, st
}

func testTable(st *configurer.Settings) *router.Table {
	var all []*router.Target
	for _, bs := range st.BackendServers() {
		all = append(all, &router.Target{
			Name: bs.Name(), Zone: bs.Zone(), Slots: bs.Slots(),
			Models: []string{"m", "n"}, Load: &router.Load{},
		})
	}
	return router.NewTable(all, 1)
}

func testTicket(st *configurer.Settings, caller, class, model string, now time.Time) *Ticket {
	cr, _ := st.Caller(caller)
	cs, _ := st.Class(class)
	md, _ := st.Model(model)
	return &Ticket{Caller: cr, Class: cs, Model: md, MaxTokens: 64, Bytes: 100, Deadline: now.Add(cs.Deadline())}
}

// fillSlots takes all eight slots and returns the granted entries.
func fillSlots(t *testing.T, sc *Scheduler, st *configurer.Settings, class string) []*Entry {
	var all []*Entry
	for range 8 {
		en, rf := sc.Submit(testStart, testTicket(st, "plant", class, "m", testStart))
		require.Nil(t, rf)
		require.True(t, en.Granted())
		all = append(all, en)
	}
	return all
}

func TestApplySettingsRefusesRequestWhoseSettingsAreRemoved(t *testing.T) {
	for name, more := range map[string]string{
		"model":   "[model.n]\nmemory = 1GiB\n",
		"adapter": "[model.m]\nmemory = 1GiB\n[model.n]\nmemory = 1GiB\n",
		"right":   twoModels + "[caller.desk]\nmodels = n\n",
		"class":   twoModels + "[caller.desk]\nclasses = later\n",
	} {
		t.Run(name, func(t *testing.T) {
			sc, st := newTestScheduler(t)
			fillSlots(t, sc, st, "urgent")
			tk := testTicket(st, "desk", "urgent", "m", testStart)
			tk.Adapter, _ = st.Adapter("a")
			removed, rf := sc.Submit(testStart, tk)
			require.Nil(t, rf)
			kept, rf := sc.Submit(testStart, testTicket(st, "plant", "urgent", "n", testStart))
			require.Nil(t, rf)
			sc.ApplySettings(testStart, parseTestSettings(t, more))
			require.Equal(t, refuser.Removed, removed.Refusal().Reason())
			require.Equal(t, refuser.NotRun, removed.Refusal().Outcome())
			require.Nil(t, kept.Refusal())
			require.Equal(t, 1, sc.Waiting())
		})
	}
}

func TestWaitingRequestEndsAtDeadlineOrWithdrawal(t *testing.T) {
	sc, st := newTestScheduler(t)
	fillSlots(t, sc, st, "urgent")
	expired, _ := sc.Submit(testStart, testTicket(st, "desk", "urgent", "m", testStart))
	withdrawn, _ := sc.Submit(testStart, testTicket(st, "desk", "later", "m", testStart))
	sc.Withdraw(testStart, withdrawn)
	require.Equal(t, refuser.Cancelled, withdrawn.Refusal().Reason())
	sc.Tick(testStart.Add(20 * time.Second))
	require.Equal(t, refuser.DeadlinePassed, expired.Refusal().Reason())
	require.Zero(t, sc.Waiting())
	require.Zero(t, sc.WaitingBytes())
}

func TestFullQueueRefusesLeastUrgentForUrgentRequest(t *testing.T) {
	st := parseTestSettings(t, twoModels+"[limits]\nqueue-requests = 3\n")
	sc := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	sc.ApplySettings(testStart, st)
	sc.Update(testStart, testTable(st))
	fillSlots(t, sc, st, "urgent")
	var later []*Entry
	for range 3 {
		en, rf := sc.Submit(testStart, testTicket(st, "desk", "later", "m", testStart))
		require.Nil(t, rf)
		later = append(later, en)
	}
	_, rf := sc.Submit(testStart, testTicket(st, "desk", "later", "m", testStart))
	require.Equal(t, refuser.QueueFull, rf.Reason())
	require.Positive(t, rf.RetryAfter())
	_, rf = sc.Submit(testStart, testTicket(st, "desk", "urgent", "m", testStart))
	require.Nil(t, rf)
	require.Equal(t, refuser.QueueFull, later[2].Refusal().Reason())
	require.Nil(t, later[0].Refusal())
	require.Equal(t, 3, sc.Waiting())
}

func TestSubmitRefusesWhenDeadlineIsUnreachable(t *testing.T) {
	now, sc, tk := backlogged(t)
	tk.Deadline = now.Add(time.Minute)
	_, rf := sc.Submit(now, tk)
	require.Equal(t, refuser.DeadlineUnreachable, rf.Reason())
	require.Equal(t, refuser.NotRun, rf.Outcome())
	require.Equal(t, maxRetryAfter, rf.RetryAfter())
	tk.Deadline = now.Add(100 * time.Hour)
	_, rf = sc.Submit(now, tk)
	require.Nil(t, rf)
}

func TestBusyCallerLeavesOtherCallersTheirShare(t *testing.T) {
	sc, st := newTestScheduler(t)
	running := fillSlots(t, sc, st, "urgent")
	now := testStart
	for range 200 {
		_, rf := sc.Submit(now, testTicket(st, "plant", "urgent", "m", now))
		require.Nil(t, rf)
	}
	var other []*Entry
	for range 40 {
		now = now.Add(time.Millisecond)
		en, rf := sc.Submit(now, testTicket(st, "desk", "urgent", "n", now))
		require.Nil(t, rf)
		other = append(other, en)
	}
	granted := collectGrants(sc)
	for range 80 {
		sc.Finish(now, running[0], Result{Duration: time.Second})
		running = append(running[1:], *granted...)
		*granted = nil
	}
	served := 0
	for _, en := range other {
		if en.Granted() || en.stage == stageEnded {
			served++
		}
	}
	require.GreaterOrEqual(t, served, 32, "of 80 grants, half less a quantum are the other caller's")
}

// collectGrants collects the entries that are granted after waiting from now
// on.
func collectGrants(sc *Scheduler) *[]*Entry {
	var granted []*Entry
	sc.onDecision = func(en *Entry) {
		if en.Granted() {
			granted = append(granted, en)
		}
	}
	return &granted
}

func TestLowestClassIsGrantedItsMinimumShare(t *testing.T) {
	sc, st := newTestScheduler(t)
	running := fillSlots(t, sc, st, "urgent")
	now := testStart
	laterGrants := 0
	granted := collectGrants(sc)
	for range 4 {
		_, rf := sc.Submit(now, testTicket(st, "desk", "later", "m", now))
		require.Nil(t, rf)
	}
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		_, _ = sc.Submit(now, testTicket(st, "plant", "urgent", "m", now))
		sc.Finish(now, running[0], Result{Duration: 800 * time.Millisecond})
		running = append(running[1:], *granted...)
		for _, en := range *granted {
			if en.Ticket().Class.Name() == "later" {
				laterGrants++
				require.Zero(t, en.Priority(), "urgent in the engine as well")
			}
		}
		*granted = nil
	}
	require.Equal(t, 4, laterGrants)
}

func TestUrgentRequestAvoidsLoadingReplica(t *testing.T) {
	st := parseTestSettings(t, twoModels)
	for seed := range uint64(20) {
		sc := NewScheduler(rand.New(rand.NewPCG(seed, 1)))
		sc.ApplySettings(testStart, st)
		tb := testTable(st)
		tb.Targets()[0].Loading = true
		sc.Update(testStart, tb)
		en, rf := sc.Submit(testStart, testTicket(st, "desk", "urgent", "m", testStart))
		require.Nil(t, rf)
		require.Equal(t, "w1", en.Target().Name)
	}
}

func TestLongPromptTakesPrefillAndDecodeServer(t *testing.T) {
	sc, st := newTestScheduler(t)
	tb := testTable(st)
	tb.Targets()[0].Role, tb.Targets()[1].Role = configurer.RolePrefill, configurer.RoleDecode
	sc.Update(testStart, tb)
	tk := testTicket(st, "desk", "urgent", "m", testStart)
	tk.PromptTokens = longPromptTokens
	en, rf := sc.Submit(testStart, tk)
	require.Nil(t, rf)
	require.Equal(t, "w1", en.Target().Name)
	require.Equal(t, "w0", en.prefillServer.Name)
	sc.Finish(testStart, en, Result{})
	require.Zero(t, tb.Targets()[0].Load.Own()+tb.Targets()[1].Load.Own())
}

func TestBrokenInvariantsAreSeen(t *testing.T) {
	defer checker.Reset()
	checker.Reset()
	sc, st := newTestScheduler(t)
	running := fillSlots(t, sc, st, "urgent")
	sc.grant(testStart, sc.newEntry(testStart, testTicket(st, "desk", "urgent", "m", testStart)), sc.table.Targets()[0])
	sc.Finish(testStart, running[0], Result{})
	sc.Finish(testStart, running[0], Result{})
	for range st.Limits().QueueRequests() + 1 {
		sc.enqueue(testStart, sc.newEntry(testStart, testTicket(st, "desk", "urgent", "m", testStart)))
	}
	sc.table.Targets()[1].Leaving = true
	sc.grant(testStart, sc.newEntry(testStart, testTicket(st, "desk", "urgent", "m", testStart)), sc.table.Targets()[1])
	seen := map[checker.Invariant]bool{}
	for _, vl := range checker.Violations() {
		seen[vl.Invariant] = true
	}
	require.Equal(t, map[checker.Invariant]bool{WindowKept: true, GrantBalanced: true, QueueBounded: true, checker.NoRequestsToLeaving: true}, seen)
}

// referenceBest implements classQueue.best by sorting all waiting entries.
func referenceBest(cq *classQueue, all []*Entry, now time.Time) *Entry {
	preferLate := false
	var waiting []*Entry
	for _, en := range all {
		if en.stage == stageWaiting && en.flow.classQueue == cq {
			waiting = append(waiting, en)
			preferLate = preferLate || !now.Before(en.onTimeUntil)
		}
	}
	preferLate = preferLate && cq.grants%lateGrantInterval == lateGrantInterval-1
	if len(waiting) == 0 {
		return nil
	}
	key := func(en *Entry) []int64 {
		late := !now.Before(en.onTimeUntil)
		second, at := int64(0), en.onTimeUntil.UnixNano()
		if late {
			at = en.ticket.Deadline.UnixNano()
		}
		if late != preferLate {
			second = 1
		}
		return []int64{bucket(en.flow.account), second, at, int64(en.seq)}
	}
	sort.Slice(waiting, func(ix, jx int) bool {
		one, two := key(waiting[ix]), key(waiting[jx])
		for kx := range one {
			if one[kx] != two[kx] {
				return one[kx] < two[kx]
			}
		}
		return false
	})
	return waiting[0]
}

func TestQueueOrderMatchesSortedList(t *testing.T) {
	checker.Reset()
	st := parseTestSettings(t, twoModels)
	rapid.Check(t, func(rt *rapid.T) {
		sc := NewScheduler(rand.New(rand.NewPCG(1, 1)))
		sc.ApplySettings(testStart, st)
		sc.Update(testStart, testTable(st))
		now := testStart
		var all []*Entry
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "passed")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1, 2:
				tk := testTicket(st, rapid.SampledFrom([]string{"desk", "plant"}).Draw(rt, "caller"),
					rapid.SampledFrom([]string{"urgent", "later"}).Draw(rt, "class"), "m", now)
				tk.MaxTokens = rapid.IntRange(1, 2000).Draw(rt, "tokens")
				if en, rf := sc.Submit(now, tk); rf == nil {
					all = append(all, en)
				}
			case 3, 4:
				if en := pick(rt, all, stageGranted); en != nil {
					sc.Finish(now, en, Result{Duration: time.Second})
				}
			case 5:
				if en := pick(rt, all, stageWaiting); en != nil {
					sc.Withdraw(now, en)
				}
			}
			verify(rt, sc, all, now)
		}
		drain(rt, sc, all, now)
	})
	require.Empty(t, checker.Violations())
}

func pick(rt *rapid.T, all []*Entry, sg stage) *Entry {
	var some []*Entry
	for _, en := range all {
		if en.stage == sg {
			some = append(some, en)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return rapid.SampledFrom(some).Draw(rt, "entry")
}

func verify(rt *rapid.T, sc *Scheduler, all []*Entry, now time.Time) {
	waiting, granted := 0, 0
	for _, en := range all {
		switch en.stage {
		case stageWaiting:
			waiting++
		case stageGranted:
			granted++
		case stageEnded:
		}
	}
	require.Equal(rt, waiting, sc.Waiting())
	require.Equal(rt, granted, sc.InFlight())
	own := 0
	for _, tg := range sc.table.Targets() {
		own += tg.Load.Own()
		require.LessOrEqual(rt, tg.Load.Own(), tg.Slots)
	}
	require.Equal(rt, granted, own)
	if mq, ok := sc.queues["m"]; ok {
		for _, cq := range mq.byClass {
			want := referenceBest(cq, all, now)
			require.Same(rt, want, cq.best(now, func(*Entry) bool { return true }))
		}
	}
}

// drain ends all entries and checks that nothing is left.
func drain(rt *rapid.T, sc *Scheduler, all []*Entry, now time.Time) {
	for range 2 * len(all) {
		for _, en := range all {
			if en.stage == stageGranted {
				sc.Finish(now, en, Result{Duration: time.Second})
			}
		}
	}
	require.Zero(rt, sc.Waiting()+sc.InFlight())
}
