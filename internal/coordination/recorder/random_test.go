package recorder

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

func beginOf(key Key, at string) *messenger.Begin {
	return &messenger.Begin{Key: key.id[:], Time: key.time, Request: key.request[:], Executor: "n0", Attempt: at}
}

func finishOf(bg *messenger.Begin, given bool) *messenger.Finish {
	return &messenger.Finish{Begin: *bg, Abandoned: given, Kept: !given}
}

// world counts what reached the backend.
type world struct {
	mu      sync.Mutex
	cluster *cluster
	keys    []Key
	sent    map[hash]int
	results map[hash]string
	broken  []string
}

func (wd *world) breach(format string, args ...any) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.broken = append(wd.broken, fmt.Sprintf(format, args...))
}

// request is one caller's attempt of a key through a node: it may pause, die
// before or after it sent, or give up.
func (wd *world) request(node, number int, key Key, fate int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	an := wd.cluster.nodes[node].Begin(ctx, key)
	if an.Result != nil {
		wd.mu.Lock()
		wanted := wd.results[key.id]
		wd.mu.Unlock()
		if string(an.Result.Body) != wanted {
			wd.breach("key %d got result %q in place of %q", number, an.Result.Body, wanted)
		}
		return
	}
	if an.Grant == nil {
		return
	}
	switch fate {
	case 0: // dies before it sends
		return
	case 1:
		an.Grant.Abandon()
		return
	case 2: // wakes a minute later
		time.Sleep(time.Minute)
	}
	an.Grant.Use()
	wd.mu.Lock()
	wd.sent[key.id]++
	if wd.sent[key.id] > 1 {
		wd.broken = append(wd.broken, fmt.Sprintf("key %d was sent %d times", number, wd.sent[key.id]))
	}
	text := fmt.Sprintf("result of %d through %d", number, node)
	wd.results[key.id] = text
	wd.mu.Unlock()
	if fate != 3 { // 3 dies after it sent
		an.Grant.Finish(result(text))
	}
}

func (wd *world) step(st step) {
	cl := wd.cluster
	switch st.kind {
	case 0:
		cl.see(st.node, (st.node+1+st.arg%2)%3, prober.Dead)
	case 1:
		cl.see(st.node, (st.node+1+st.arg%2)%3, prober.Alive)
	case 2:
		cl.store.LoseAnswers(1 + st.arg%3)
	case 3:
		cl.store.LoseWrites(1 + st.arg%3)
	case 4:
		cl.store.SetDown(st.arg%2 == 0)
	case 5:
		cl.store.mu.Lock()
		cl.store.late = 1 + st.arg%2
		cl.store.mu.Unlock()
	case 6:
		wd.mu.Lock()
		wd.keys = append(wd.keys, keyAt(fmt.Sprintf("key-%d", len(wd.keys))))
		wd.mu.Unlock()
	case 7:
		time.Sleep(time.Duration(st.arg) * time.Millisecond)
	default:
		wd.mu.Lock()
		number := len(wd.keys) - 1 - st.arg%min(len(wd.keys), 5)
		key := wd.keys[number]
		wd.mu.Unlock()
		go wd.request(st.node, number, key, st.arg%7)
	}
}

// step is one event of a random run.
type step struct{ kind, node, arg int }

func drawSteps(rt *rapid.T) []step {
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{rapid.IntRange(0, 16).Draw(rt, "kind"), rapid.IntRange(0, 2).Draw(rt, "node"), rapid.IntRange(0, 999).Draw(rt, "arg")}
	})
	return rapid.SliceOfN(one, 20, 150).Draw(rt, "steps")
}

// TestRandomRunsNeverSendTwice covers owner changes, lost calls and answers,
// late and lost writes, outages, and executors that die or pause at each step.
func TestRandomRunsNeverSendTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var broken []string
		checker.Reset()
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, seed, 3, 300, smallRecord)
			cl.faults = 0.15
			wd := &world{cluster: cl, sent: map[hash]int{}, results: map[hash]string{}, keys: []Key{keyAt("key")}}
			for _, st := range steps {
				wd.step(st)
				time.Sleep(7 * time.Millisecond)
			}
			cl.store.SetDown(false)
			time.Sleep(2 * time.Minute)
			broken = wd.broken
			cl.close()
		})
		for _, vl := range checker.Violations() {
			broken = append(broken, string(vl.Invariant)+": "+vl.Detail)
		}
		if len(broken) > 0 {
			rt.Fatalf("broken: %v", broken)
		}
	})
}

// TestLedgerAgreesWithNaiveMap compares the state machine with a plain map,
// through encoding and loading after every batch.
func TestLedgerAgreesWithNaiveMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.UnixMilli(1_000_000)
		lg := newLedger(head{epoch: 1})
		naive := map[hash]*entry{}
		for batch := range rapid.IntRange(1, 12).Draw(rt, "batches") {
			sg := lg.stage(now, rules{retention: time.Hour, shardBytes: 1 << 20})
			for range rapid.IntRange(0, 10).Draw(rt, "size") {
				key := Key{id: sum([]byte{byte(rapid.IntRange(0, 5).Draw(rt, "key"))}), time: now.UnixMilli()}
				bg := beginOf(key, fmt.Sprint(batch, rapid.IntRange(0, 3).Draw(rt, "attempt")))
				compare(rt, sg, naive, bg, rapid.IntRange(0, 2).Draw(rt, "op"))
			}
			sg.commit(sg.next(fmt.Sprint(batch), nil))
			lg = reload(rt, lg)
		}
		if len(naive) != len(lg.entries) {
			rt.Fatalf("%d entries in place of %d", len(lg.entries), len(naive))
		}
	})
}

func compare(rt *rapid.T, sg *stage, naive map[hash]*entry, bg *messenger.Begin, op int) {
	id := hash(bg.Key)
	known := naive[id]
	gone := known != nil && slices.Contains(known.abandonedBy, bg.Attempt)
	holds := known != nil && known.attempt == bg.Attempt && known.state == started
	if op > 0 {
		if holds {
			sg.finish(finishOf(bg, op == 1))
			ended := endOf(finishOf(bg, op == 1))
			ended.abandonedBy = known.abandonedBy
			if op == 1 {
				ended.abandonedBy = append(slices.Clone(known.abandonedBy), bg.Attempt)
			}
			naive[id] = ended
		}
		return
	}
	free := known == nil || known.state == abandoned && !gone
	granted := sg.begin(bg).Status == messenger.BeginGranted
	if granted != (free || holds) {
		rt.Fatalf("granted %v, naive %v", granted, free || holds)
	}
	if granted && !holds {
		naive[id] = entryOf(bg, started)
		if known != nil {
			naive[id].abandonedBy = known.abandonedBy
		}
	}
}

func reload(rt require.TestingT, lg *ledger) *ledger {
	value, err := lg.encode()
	require.NoError(rt, err)
	hd, err := decodeHead(value)
	require.NoError(rt, err)
	all, err := decodeEntries(hd.open)
	require.NoError(rt, err)
	again := newLedger(*hd)
	again.load(hd.number, all)
	return again
}

// event is one operation of a linearizability history.
type event struct {
	end  bool
	node int
}

// TestBeginAndFinishAreLinearizable checks that a key behaves as one register:
// free, started by one, finished.
func TestBeginAndFinishAreLinearizable(t *testing.T) {
	model := porcupine.Model{
		Init: func() any { return "free" },
		Step: func(state, input, output any) (bool, any) {
			ev, out := input.(event), output.(string)
			if ev.end {
				return state == "started", "finished"
			}
			switch out {
			case "granted":
				return state == "free", "started"
			case "finished":
				return state == "finished", state
			case "started":
				return state == "started", state
			}
			return true, state
		},
	}
	for seed := range uint64(20) {
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) { history = recordHistory(t, seed) })
		require.NotEmpty(t, history)
		require.True(t, porcupine.CheckOperations(model, history), "seed %d", seed)
	}
}

func recordHistory(t *testing.T, seed uint64) []porcupine.Operation {
	cl := newCluster(t, seed, 3, defaultSegmentBytes, smallRecord)
	defer cl.close()
	var mu sync.Mutex
	var history []porcupine.Operation
	note := func(client int, ev event, out string, since time.Time) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: ev, Output: out, Call: since.UnixNano(), Return: time.Now().UnixNano()})
	}
	key := keyAt("k")
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			time.Sleep(time.Duration(cl.draw(400)) * time.Millisecond)
			since := time.Now()
			an := cl.nodes[client%3].Begin(t.Context(), key)
			note(client, event{node: client}, outcomeOf(an), since)
			if an.Grant == nil {
				return
			}
			since = time.Now()
			an.Grant.Finish(result("r"))
			_ = cl.nodes[client%3].Flush(t.Context())
			note(client, event{end: true, node: client}, "", since)
		})
	}
	cl.see(int(seed%3), int((seed+1)%3), prober.Dead)
	wg.Wait()
	return history
}

func outcomeOf(an Answer) string {
	switch {
	case an.Grant != nil:
		return "granted"
	case an.Result != nil:
		return "finished"
	case an.Refusal.Reason() == refuser.KeyInProgress || an.Refusal.Reason() == refuser.KeyUnresolved:
		return "started"
	}
	return "refused"
}

func FuzzDecodeHead(f *testing.F) {
	lg := newLedger(head{epoch: 3, owner: "n1", batch: "b", watermark: 7, segments: []segment{{1, "s", 10, 5}}})
	sg := lg.stage(time.UnixMilli(1000), rules{shardBytes: 1 << 20})
	sg.begin(beginOf(Key{time: 1000}, "a"))
	hd := sg.next("c", nil)
	value, _ := hd.encode()
	f.Add(value)
	f.Add(value[:len(value)-3])
	f.Add([]byte{0xa1})
	f.Fuzz(func(t *testing.T, value []byte) {
		hd, err := decodeHead(value)
		if err != nil {
			return
		}
		again, err := hd.encode()
		require.NoError(t, err)
		back, err := decodeHead(again)
		require.NoError(t, err)
		require.Equal(t, hd.batch, back.batch)
		require.Equal(t, batchOf(again), back.batch)
		_, _ = decodeEntries(hd.open)
	})
}
