package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const prefillSettings = `[caller.c]
key-sha256 = 0000000000000000000000000000000000000000000000000000000000000000
quota = 100000
burst = 100000
[class.urgent]
rank = 0
first-token = 800ms
deadline = 1h
[pool.p]
[model.m]
pool = p
memory = 1GiB
`

// prefillSim simulates servers that process one prompt after the other.
type prefillSim struct {
	t        *testing.T
	sc       *admitter.Scheduler
	settings *configurer.Settings
	now      time.Time
	// freeAt is the end of the prefill backlog of each server.
	freeAt       map[string]time.Time
	running      []*admitter.Entry
	firstTokenAt map[*admitter.Entry]time.Time
	sentAt       map[*admitter.Entry]time.Time
	waiting      []*admitter.Entry
}

func newPrefillSim(t *testing.T, policy func(*rand.Rand) router.Policy, servers int) *prefillSim {
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: prefillSettings}})
	require.Empty(t, faults)
	ps := &prefillSim{t: t, settings: st, now: time.Unix(1000, 0), freeAt: map[string]time.Time{}, firstTokenAt: map[*admitter.Entry]time.Time{}, sentAt: map[*admitter.Entry]time.Time{}}
	random := rand.New(rand.NewPCG(3, 4))
	ps.sc = admitter.NewScheduler(random, admitter.WithPolicy(policy(random)))
	ps.sc.ApplySettings(ps.now, st)
	var targets []*router.Target
	for ix := range servers {
		targets = append(targets, &router.Target{
			Name: fmt.Sprintf("w%d", ix), Slots: 64, Models: []string{"m"}, Adapters: map[string]bool{},
			Load: &router.Load{}, Prefixes: router.NewPrefixMemory(),
		})
	}
	ps.sc.Update(ps.now, router.NewTable(targets, 1))
	return ps
}

func (ps *prefillSim) ticket(id, tokens int) *admitter.Ticket {
	st := ps.settings
	tk := &admitter.Ticket{
		ID: fmt.Sprint(id), PromptTokens: tokens, MaxTokens: 50, Deadline: ps.now.Add(5 * time.Second),
		Prefixes: []uint64{uint64(id) + 1}, PrefixTokens: []int{tokens},
	}
	tk.Caller, _ = st.Caller("c")
	tk.Class, _ = st.Class("urgent")
	tk.Model, _ = st.Model("m")
	return tk
}

// step advances the time by 10 ms. Requests end 300 ms after their first token.
func (ps *prefillSim) step() {
	ps.now = ps.now.Add(10 * time.Millisecond)
	var left []*admitter.Entry
	for _, en := range ps.waiting {
		if en.Granted() {
			ps.startPrefill(en)
		} else if en.Refusal() == nil {
			left = append(left, en)
		}
	}
	ps.waiting = left
	var running []*admitter.Entry
	for _, en := range ps.running {
		at := ps.firstTokenAt[en]
		if !ps.now.Before(at) {
			ps.sc.FirstTokenReceived(ps.now, en)
		}
		if ps.now.Sub(at) >= 300*time.Millisecond {
			ps.sc.Finish(ps.now, en, admitter.Result{Duration: time.Second, FirstToken: at.Sub(ps.sentAt[en])})
			continue
		}
		running = append(running, en)
	}
	ps.running = running
	ps.sc.Tick(ps.now)
}

// startPrefill adds the prompt to the server's backlog, at 38,400 tokens per
// second, and computes the time of the first token.
func (ps *prefillSim) startPrefill(en *admitter.Entry) {
	const perToken = time.Second / 38400
	server := en.Target().Name
	from := ps.freeAt[server]
	if from.Before(ps.now) {
		from = ps.now
	}
	ps.freeAt[server] = from.Add(time.Duration(en.Ticket().PromptTokens) * perToken)
	ps.firstTokenAt[en] = ps.freeAt[server].Add(40 * time.Millisecond)
	ps.sentAt[en] = ps.now
	ps.running = append(ps.running, en)
}

// run sends long and short prompts at a rate for 10 s. It returns how many got
// their first token within the target, how many later, and how many were
// refused.
func (ps *prefillSim) run(perSecond int) (inTime, late, refused int) {
	arrivedAt := map[*admitter.Entry]time.Time{}
	random := rand.New(rand.NewPCG(5, 6))
	var all []*admitter.Entry
	for id := range perSecond * 10 {
		tokens := 600
		if random.IntN(2) == 0 {
			tokens = 9000
		}
		en, rf := ps.sc.Submit(ps.now, ps.ticket(id, tokens))
		if rf != nil {
			refused++
			require.Positive(ps.t, rf.RetryAfter(), "a request that was not run is told when to return")
		} else {
			arrivedAt[en] = ps.now
			all = append(all, en)
			if en.Granted() {
				ps.startPrefill(en)
			} else {
				ps.waiting = append(ps.waiting, en)
			}
		}
		for range 100 / perSecond {
			ps.step()
		}
	}
	for range 600 {
		ps.step()
	}
	for _, en := range all {
		firstTokenAt, granted := ps.firstTokenAt[en]
		switch {
		case !granted:
			refused++
		case firstTokenAt.Sub(arrivedAt[en]) <= 800*time.Millisecond:
			inTime++
		default:
			late++
		}
	}
	require.Zero(ps.t, ps.sc.Waiting())
	require.Zero(ps.t, ps.sc.InFlight())
	return inTime, late, refused
}

// TestQuickestSpreadsLongPromptsByPrefillTime sends prompts whose prefill takes
// 60 in 100 of the time of four servers, and compares the policy with round
// robin, which ignores the lengths of prompts.
func TestQuickestSpreadsLongPromptsByPrefillTime(t *testing.T) {
	quickest := newPrefillSim(t, func(random *rand.Rand) router.Policy { return router.NewQuickest(random) }, 4)
	inTime, late, refused := quickest.run(20)
	naive := newPrefillSim(t, func(*rand.Rand) router.Policy { return router.NewRoundRobin() }, 4)
	naiveInTime, _, _ := naive.run(20)
	t.Logf("quickest: %d in time, %d late, %d refused; round robin: %d in time", inTime, late, refused, naiveInTime)
	require.GreaterOrEqual(t, inTime, naiveInTime)
	require.GreaterOrEqual(t, inTime, 195, "of 200 requests, at 60 in 100 of what the servers read")
}

// TestOverloadRefusesExcessAndServesRestInTime sends three times the prompts
// that one server can process. The server must be busy with requests that meet
// their target, and no request may wait until its deadline.
func TestOverloadRefusesExcessAndServesRestInTime(t *testing.T) {
	ps := newPrefillSim(t, func(random *rand.Rand) router.Policy { return router.NewQuickest(random) }, 1)
	inTime, late, refused := ps.run(25)
	t.Logf("%d in time, %d late, %d refused", inTime, late, refused)
	require.GreaterOrEqual(t, inTime, 50, "a server reads some 80 of these prompts in 10 s")
	require.Less(t, late, inTime)
	require.Positive(t, refused)
}

// TestRefusingReplicaIsExcludedForATime checks that a server that refused a
// request gets no other one for the same model until the exclusion ends.
func TestRefusingReplicaIsExcludedForATime(t *testing.T) {
	ps := newPrefillSim(t, func(random *rand.Rand) router.Policy { return router.NewQuickest(random) }, 1)
	en, rf := ps.sc.Submit(ps.now, ps.ticket(1, 600))
	require.Nil(t, rf)
	require.True(t, en.Granted())
	ps.sc.Finish(ps.now, en, admitter.Result{Refused: true})
	next, rf := ps.sc.Submit(ps.now, ps.ticket(2, 600))
	require.Nil(t, rf)
	require.False(t, next.Granted())
	ps.waiting = append(ps.waiting, next)
	for range 40 {
		ps.step()
	}
	require.Contains(t, ps.firstTokenAt, next)
	ps.sc.Exclude(ps.now, "w0", "m", 8*time.Second)
	_, rf = ps.sc.Submit(ps.now, ps.ticket(3, 600))
	require.True(t, rf == nil || strings.Contains(rf.Error(), "waiting"))
}
