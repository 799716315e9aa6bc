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

func finishOf(bg *messenger.Begin, abandon bool) *messenger.Finish {
	return &messenger.Finish{Begin: *bg, Abandoned: abandon, Kept: !abandon}
}

// simulation runs requests on a cluster and checks what is sent to the backend.
type simulation struct {
	mu      sync.Mutex
	cluster *cluster
	keys    []Key
	// sent is how often the request of a key was sent, results its last result.
	sent    map[hash]int
	results map[hash]string
	// violations describes violated invariants.
	violations []string
}

// report adds a violation.
func (sm *simulation) report(format string, args ...any) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.violations = append(sm.violations, fmt.Sprintf(format, args...))
}

// request runs an attempt of a key on a node. Depending on fate, the attempt
// pauses, ends before or after it sends, or is abandoned.
func (sm *simulation) request(node, number int, key Key, fate int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	an := sm.cluster.nodes[node].Begin(ctx, key)
	if an.Result != nil {
		sm.mu.Lock()
		wanted := sm.results[key.id]
		sm.mu.Unlock()
		if string(an.Result.Body) != wanted {
			sm.report("key %d got result %q in place of %q", number, an.Result.Body, wanted)
		}
		return
	}
	if an.Grant == nil {
		return
	}
	switch fate {
	case 0: // the executor ends before it sends
		return
	case 1:
		an.Grant.Abandon()
		return
	case 2: // the executor pauses before it sends
		time.Sleep(time.Minute)
	}
	an.Grant.MarkSent()
	sm.mu.Lock()
	sm.sent[key.id]++
	if sm.sent[key.id] > 1 {
		sm.violations = append(sm.violations, fmt.Sprintf("key %d was sent %d times", number, sm.sent[key.id]))
	}
	text := fmt.Sprintf("result of %d through %d", number, node)
	sm.results[key.id] = text
	sm.mu.Unlock()
	if fate != 3 { // 3: the executor ends after it sends
		an.Grant.Finish(result(text))
	}
}

// step runs one event.
func (sm *simulation) step(st step) {
	cl := sm.cluster
	switch st.kind {
	case 0:
		cl.setState(st.node, (st.node+1+st.arg%2)%3, prober.Dead)
	case 1:
		cl.setState(st.node, (st.node+1+st.arg%2)%3, prober.Alive)
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
		sm.mu.Lock()
		sm.keys = append(sm.keys, keyAt(fmt.Sprintf("key-%d", len(sm.keys))))
		sm.mu.Unlock()
	case 7:
		time.Sleep(time.Duration(st.arg) * time.Millisecond)
	default:
		sm.mu.Lock()
		number := len(sm.keys) - 1 - st.arg%min(len(sm.keys), 5)
		key := sm.keys[number]
		sm.mu.Unlock()
		go sm.request(st.node, number, key, st.arg%7)
	}
}

// step is one event of a random run. simulation.step defines the kinds.
type step struct{ kind, node, arg int }

func drawSteps(rt *rapid.T) []step {
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{rapid.IntRange(0, 16).Draw(rt, "kind"), rapid.IntRange(0, 2).Draw(rt, "node"), rapid.IntRange(0, 999).Draw(rt, "arg")}
	})
	return rapid.SliceOfN(one, 20, 150).Draw(rt, "steps")
}

// TestRandomRunsNeverSendTwice covers owner changes, lost calls and answers,
// late and lost writes, store outages, and executors that end or pause at each
// step.
func TestRandomRunsNeverSendTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var violations []string
		checker.Reset()
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, seed, 3, 300, smallRecord)
			cl.faultRate = 0.15
			sm := &simulation{cluster: cl, sent: map[hash]int{}, results: map[hash]string{}, keys: []Key{keyAt("key")}}
			for _, st := range steps {
				sm.step(st)
				time.Sleep(7 * time.Millisecond)
			}
			cl.store.SetDown(false)
			time.Sleep(2 * time.Minute)
			violations = sm.violations
			cl.close()
		})
		for _, vl := range checker.Violations() {
			violations = append(violations, string(vl.Invariant)+": "+vl.Detail)
		}
		if len(violations) > 0 {
			rt.Fatalf("broken: %v", violations)
		}
	})
}

// TestLedgerAgreesWithNaiveMap compares the ledger with a plain map, and
// encodes and loads the ledger after every batch.
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
			sg.commit(sg.nextHead(fmt.Sprint(batch), nil))
			lg = reload(rt, lg)
		}
		if len(naive) != len(lg.entries) {
			rt.Fatalf("%d entries in place of %d", len(lg.entries), len(naive))
		}
	})
}

// compare applies an operation to the stage and to the map: 0 begins, 1
// abandons, 2 finishes.
func compare(rt *rapid.T, sg *stage, naive map[hash]*entry, bg *messenger.Begin, op int) {
	id := hash(bg.Key)
	known := naive[id]
	wasAbandoned := known != nil && slices.Contains(known.abandonedBy, bg.Attempt)
	holds := known != nil && known.attempt == bg.Attempt && known.state == started
	if op > 0 {
		if holds {
			sg.finish(finishOf(bg, op == 1))
			ended := finishedEntry(finishOf(bg, op == 1))
			ended.abandonedBy = known.abandonedBy
			if op == 1 {
				ended.abandonedBy = append(slices.Clone(known.abandonedBy), bg.Attempt)
			}
			naive[id] = ended
		}
		return
	}
	free := known == nil || known.state == abandoned && !wasAbandoned
	granted := sg.begin(bg).Status == messenger.BeginGranted
	if granted != (free || holds) {
		rt.Fatalf("granted %v, naive %v", granted, free || holds)
	}
	if granted && !holds {
		naive[id] = newEntry(bg, started)
		if known != nil {
			naive[id].abandonedBy = known.abandonedBy
		}
	}
}

// reload returns the ledger after encoding and decoding it.
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

// event is the input of an operation in a linearizability history: a Begin, or
// a Finish if end is set.
type event struct {
	end  bool
	node int
}

// TestBeginAndFinishAreLinearizable checks that a key behaves as one register
// that is free, then started by one attempt, then finished.
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
	add := func(client int, ev event, out string, since time.Time) {
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
			add(client, event{node: client}, outcomeOf(an), since)
			if an.Grant == nil {
				return
			}
			since = time.Now()
			an.Grant.Finish(result("r"))
			_ = cl.nodes[client%3].Flush(t.Context())
			add(client, event{end: true, node: client}, "", since)
		})
	}
	cl.setState(int(seed%3), int((seed+1)%3), prober.Dead)
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
	lg := newLedger(head{epoch: 3, owner: "n1", batchID: "b", watermark: 7, segments: []segment{{1, "s", 10, 5}}})
	sg := lg.stage(time.UnixMilli(1000), rules{shardBytes: 1 << 20})
	sg.begin(beginOf(Key{time: 1000}, "a"))
	hd := sg.nextHead("c", nil)
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
		decoded, err := decodeHead(again)
		require.NoError(t, err)
		require.Equal(t, hd.batchID, decoded.batchID)
		require.Equal(t, batchIDOf(again), decoded.batchID)
		_, _ = decodeEntries(hd.open)
	})
}
