package admitter

import (
	"slices"
	"sort"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// simEvent is a function to be run at a simulated time.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simHeap []simEvent

func (sh simHeap) Len() int { return len(sh) }
func (sh simHeap) Less(ix, jx int) bool {
	if !sh[ix].at.Equal(sh[jx].at) {
		return sh[ix].at.Before(sh[jx].at)
	}
	return sh[ix].seq < sh[jx].seq
}
func (sh simHeap) Swap(ix, jx int) { sh[ix], sh[jx] = sh[jx], sh[ix] }
func (sh *simHeap) Push(item any)  { *sh = append(*sh, item.(simEvent)) }
func (sh *simHeap) Pop() any {
	last := len(*sh) - 1
	ev := (*sh)[last]
	*sh = (*sh)[:last]
	return ev
}

// simRequest is one request in an engine.
type simRequest struct {
	tk       *Ticket
	priority int
	arrived  time.Time
	done     func(Result)
}

// simEngine runs up to slots requests concurrently and has a small LRU prefix
// cache.
type simEngine struct {
	bn      *simBench
	slots   int
	running int
	waiting []simRequest
	// cache holds the value of used at the last use of each prefix.
	cache map[uint64]int
	// used counts the uses of the cache.
	used int
	// reported holds the number of requests at each report.
	reported []int
}

func (eg *simEngine) submit(wk simRequest) {
	at := sort.Search(len(eg.waiting), func(ix int) bool { return eg.waiting[ix].priority > wk.priority })
	eg.waiting = append(eg.waiting, simRequest{})
	copy(eg.waiting[at+1:], eg.waiting[at:])
	eg.waiting[at] = wk
	eg.advance()
}

func (eg *simEngine) advance() {
	for eg.running < eg.slots && len(eg.waiting) > 0 {
		wk := eg.waiting[0]
		eg.waiting = eg.waiting[1:]
		if !eg.bn.now.Before(wk.tk.Deadline) {
			wk.done(Result{Failed: true})
			continue
		}
		eg.start(wk)
	}
}

func (eg *simEngine) start(wk simRequest) {
	eg.running++
	prefill := simPrefill
	if len(wk.tk.Prefixes) > 0 && eg.touch(wk.tk.Prefixes[0]) {
		prefill = time.Duration(float64(prefill) * (1 - simCacheHitSaving))
	}
	first := eg.bn.now.Add(prefill)
	end := first.Add(time.Duration(wk.tk.MaxTokens) * simTokenGap)
	started := eg.bn.now
	eg.bn.at(end, func() {
		eg.running--
		eg.bn.score(wk, first, end)
		wk.done(Result{Duration: end.Sub(started), FirstToken: prefill, Tokens: wk.tk.MaxTokens})
		eg.advance()
	})
}

func (eg *simEngine) touch(hash uint64) bool {
	_, hit := eg.cache[hash]
	eg.used++
	eg.cache[hash] = eg.used
	if len(eg.cache) > simCacheSize {
		var oldest uint64
		for hs, at := range eg.cache {
			if at < eg.cache[oldest] || eg.cache[oldest] == 0 {
				oldest = hs
			}
		}
		delete(eg.cache, oldest)
	}
	return hit
}

// simPlacement returns the models of each server. Every model gets two
// replicas; then, while memory allows, the model with the most demand per
// replica gets one more on the least loaded server.
func simPlacement(st *configurer.Settings) map[string][]string {
	free, load := map[string]int64{}, map[string]float64{}
	for _, bs := range st.BackendServers() {
		free[bs.Name()] = bs.WeightMemory()
	}
	placed, count := map[string][]string{}, map[string]int{}
	place := func(md *configurer.Model) bool {
		best := ""
		for _, bs := range st.BackendServers() {
			name := bs.Name()
			fits := free[name] >= md.Memory() && !slices.Contains(placed[name], md.Name())
			if fits && (best == "" || load[name] < load[best]) {
				best = name
			}
		}
		if best == "" {
			return false
		}
		count[md.Name()]++
		free[best] -= md.Memory()
		load[best] += md.Share() / float64(count[md.Name()])
		placed[best] = append(placed[best], md.Name())
		return true
	}
	models := st.Models()
	for _, md := range models {
		place(md)
		place(md)
	}
	full := map[string]bool{}
	for len(full) < len(models) {
		var next *configurer.Model
		for _, md := range models {
			demand := md.Share() / float64(count[md.Name()])
			if !full[md.Name()] && (next == nil || demand > next.Share()/float64(count[next.Name()])) {
				next = md
			}
		}
		full[next.Name()] = !place(next)
		if !full[next.Name()] {
			delete(full, next.Name())
		}
	}
	return placed
}

func simTable(st *configurer.Settings, placed map[string][]string) *router.Table {
	var targets []*router.Target
	for _, bs := range st.BackendServers() {
		targets = append(targets, &router.Target{
			Name:     bs.Name(),
			Zone:     bs.Zone(),
			Slots:    bs.Slots(),
			Models:   placed[bs.Name()],
			Load:     &router.Load{},
			Prefixes: router.NewPrefixMemory(),
		})
	}
	return router.NewTable(targets, simNodes)
}
