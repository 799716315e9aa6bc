package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Several nodes had requests waiting for a model whose next replica became ready. Each sent
// as many prompts as streams allow by itself, since none knew of the others' yet, and the
// streams on that server stopped for longer than their pause.
func TestNodesTogetherSendNoMorePromptsThanStreamsAllow(t *testing.T) {
	const (
		text = `[class.chat]
rank = 0
first-token = 300ms
deadline = 1h
[caller.c]
key-sha256 = 0000000000000000000000000000000000000000000000000000000000000000
quota = 100000
burst = 100000
[pool.p]
[model.m]
pool = p
memory = 1GiB
[route.r]
host = h
prefix = /
pools = p
class = chat
streams = yes
pause-target = 150ms
`
		waiting = 10
		tokens  = 700
	)
	st, faults := configurer.Parse([]configurer.File{{Name: "1.ini", Text: text}})
	require.Empty(t, faults)
	class, _ := st.Class("chat")
	model, _ := st.Model("m")
	caller, _ := st.Caller("c")
	for _, nodes := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			now, prefill := time.Unix(1000, 0), time.Duration(0)
			for ix := range nodes {
				random := rand.New(rand.NewPCG(1, uint64(ix)))
				sc := NewScheduler(random, WithPolicy(router.NewQuickest(random)))
				sc.ApplySettings(now, st)
				tg := &router.Target{Name: "w", Pool: "p", Slots: 24, Models: []string{"m"}, Load: &router.Load{}, Prefixes: router.NewPrefixMemory()}
				sc.Update(now, router.NewTable([]*router.Target{tg}, nodes))
				granted := 0
				for jx := range waiting {
					en, rf := sc.Submit(now, &Ticket{
						Caller: caller, Class: class, Model: model, PromptTokens: tokens, MaxTokens: 100,
						Prefixes: []uint64{uint64(jx + 1)}, PrefixTokens: []int{tokens}, Deadline: now.Add(10 * time.Second),
					})
					require.Nil(t, rf)
					if en.Granted() {
						granted++
					}
				}
				require.Positive(t, granted)
				prefill += tg.Load.Backlog()
			}
			require.LessOrEqual(t, prefill, 150*time.Millisecond)
		})
	}
}
