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

const readingText = `[caller.c]
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

// reader plays servers that read one prompt after the other.
type reader struct {
	t        *testing.T
	sc       *admitter.Scheduler
	settings *configurer.Settings
	now      time.Time
	free     map[string]time.Time
	running  []*admitter.Entry
	begins   map[*admitter.Entry]time.Time
	sent     map[*admitter.Entry]time.Time
	waiting  []*admitter.Entry
}

func newReader(t *testing.T, policy func(*rand.Rand) router.Policy, servers int) *reader {
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: readingText}})
	require.Empty(t, faults)
	rd := &reader{t: t, settings: st, now: time.Unix(1000, 0), free: map[string]time.Time{}, begins: map[*admitter.Entry]time.Time{}, sent: map[*admitter.Entry]time.Time{}}
	random := rand.New(rand.NewPCG(3, 4))
	rd.sc = admitter.NewScheduler(random, admitter.WithPolicy(policy(random)))
	rd.sc.Revise(rd.now, st)
	var targets []*router.Target
	for ix := range servers {
		targets = append(targets, &router.Target{
			Name: fmt.Sprintf("w%d", ix), Slots: 64, Models: []string{"m"}, Adapters: map[string]bool{},
			Load: &router.Load{}, Prefixes: router.NewPrefixMemory(),
		})
	}
	rd.sc.Update(rd.now, router.NewTable(targets, 1))
	return rd
}

func (rd *reader) ticket(id, tokens int) *admitter.Ticket {
	st := rd.settings
	tk := &admitter.Ticket{
		ID: fmt.Sprint(id), PromptTokens: tokens, MaxTokens: 50, Deadline: rd.now.Add(5 * time.Second),
		Prefixes: []uint64{uint64(id) + 1}, PrefixTokens: []int{tokens},
	}
	tk.Caller, _ = st.Caller("c")
	tk.Class, _ = st.Class("urgent")
	tk.Model, _ = st.Model("m")
	return tk
}

// step lets 10 ms pass: prompts are read, and what has begun ends 300 ms later.
func (rd *reader) step() {
	rd.now = rd.now.Add(10 * time.Millisecond)
	var left []*admitter.Entry
	for _, en := range rd.waiting {
		if en.Granted() {
			rd.granted(en)
		} else if en.Refusal() == nil {
			left = append(left, en)
		}
	}
	rd.waiting = left
	var running []*admitter.Entry
	for _, en := range rd.running {
		at := rd.begins[en]
		if !rd.now.Before(at) {
			rd.sc.Begun(rd.now, en)
		}
		if rd.now.Sub(at) >= 300*time.Millisecond {
			rd.sc.Finish(rd.now, en, admitter.Result{Duration: time.Second, FirstToken: at.Sub(rd.sent[en])})
			continue
		}
		running = append(running, en)
	}
	rd.running = running
	rd.sc.Tick(rd.now)
}

// granted notes when the server will have read the prompt.
func (rd *reader) granted(en *admitter.Entry) {
	const perToken = time.Second / 38400
	server := en.Target().Name
	from := rd.free[server]
	if from.Before(rd.now) {
		from = rd.now
	}
	rd.free[server] = from.Add(time.Duration(en.Ticket().PromptTokens) * perToken)
	rd.begins[en] = rd.free[server].Add(40 * time.Millisecond)
	rd.sent[en] = rd.now
	rd.running = append(rd.running, en)
}

// play sends long and short prompts at a rate and returns how many were read
// within their target, read late, and refused.
func (rd *reader) play(perSecond int) (inTime, late, refused int) {
	arrived := map[*admitter.Entry]time.Time{}
	random := rand.New(rand.NewPCG(5, 6))
	var all []*admitter.Entry
	for id := range perSecond * 10 {
		tokens := 600
		if random.IntN(2) == 0 {
			tokens = 9000
		}
		en, rf := rd.sc.Submit(rd.now, rd.ticket(id, tokens))
		if rf != nil {
			refused++
			require.Positive(rd.t, rf.RetryAfter(), "a request that was not run is told when to return")
		} else {
			arrived[en] = rd.now
			all = append(all, en)
			if en.Granted() {
				rd.granted(en)
			} else {
				rd.waiting = append(rd.waiting, en)
			}
		}
		for range 100 / perSecond {
			rd.step()
		}
	}
	for range 600 {
		rd.step()
	}
	for _, en := range all {
		begins, read := rd.begins[en]
		switch {
		case !read:
			refused++
		case begins.Sub(arrived[en]) <= 800*time.Millisecond:
			inTime++
		default:
			late++
		}
	}
	require.Zero(rd.t, rd.sc.Waiting())
	require.Zero(rd.t, rd.sc.InFlight())
	return inTime, late, refused
}

// TestLongPromptsAreSpreadByReading plays prompts that keep four servers busy
// for 60 in 100 of their time, and compares with the choice by the number of
// requests.
func TestLongPromptsAreSpreadByReading(t *testing.T) {
	quickest := newReader(t, func(random *rand.Rand) router.Policy { return router.NewQuickest(random) }, 4)
	inTime, late, refused := quickest.play(20)
	naive := newReader(t, func(*rand.Rand) router.Policy { return router.NewRoundRobin() }, 4)
	naiveInTime, _, _ := naive.play(20)
	t.Logf("quickest: %d in time, %d late, %d refused; round robin: %d in time", inTime, late, refused, naiveInTime)
	require.GreaterOrEqual(t, inTime, naiveInTime)
	require.GreaterOrEqual(t, inTime, 195, "of 200 requests, at 60 in 100 of what the servers read")
}

// TestOverloadServesWhatItCan asks for three times what one server reads: it is
// kept busy with requests that are in time, and none waits to its deadline.
func TestOverloadServesWhatItCan(t *testing.T) {
	rd := newReader(t, func(random *rand.Rand) router.Policy { return router.NewQuickest(random) }, 1)
	inTime, late, refused := rd.play(25)
	t.Logf("%d in time, %d late, %d refused", inTime, late, refused)
	require.GreaterOrEqual(t, inTime, 50, "a server reads some 80 of these prompts in 10 s")
	require.Less(t, late, inTime)
	require.Positive(t, refused)
}

// TestServerThatRefusesGetsAPause bars the replica, not the server.
func TestServerThatRefusesGetsAPause(t *testing.T) {
	rd := newReader(t, func(random *rand.Rand) router.Policy { return router.NewQuickest(random) }, 1)
	en, rf := rd.sc.Submit(rd.now, rd.ticket(1, 600))
	require.Nil(t, rf)
	require.True(t, en.Granted())
	rd.sc.Finish(rd.now, en, admitter.Result{Refused: true})
	next, rf := rd.sc.Submit(rd.now, rd.ticket(2, 600))
	require.Nil(t, rf)
	require.False(t, next.Granted())
	rd.waiting = append(rd.waiting, next)
	for range 40 {
		rd.step()
	}
	require.Contains(t, rd.begins, next)
	rd.sc.Bar(rd.now, "w0", "m", 8*time.Second)
	_, rf = rd.sc.Submit(rd.now, rd.ticket(3, 600))
	require.True(t, rf == nil || strings.Contains(rf.Error(), "waiting"))
}
