package engine

import "sort"

// weights identifies the weights of one version of a model.
type weights struct{ model, version string }

// memory counts the bytes that an engine holds, independently of the counts that
// entry nodes keep.
type memory struct {
	weightLimit  int64             // bytes for weights and role
	adapterLimit int64             // bytes for adapters
	weights      map[weights]int64 // bytes of loaded and loading weights
	ready        map[weights]bool  // weights that have finished loading
	adapters     map[string]int64  // bytes by adapter
	roleBytes    int64             // bytes that the role occupies
	role         string
	overcommits  int // orders that left a limit exceeded
}

func newMemory(weightLimit, adapterLimit int64) memory {
	return memory{
		weightLimit:  weightLimit,
		adapterLimit: adapterLimit,
		weights:      map[weights]int64{},
		ready:        map[weights]bool{},
		adapters:     map[string]int64{},
	}
}

// clear resets everything but the count of overcommits.
func (me *memory) clear() {
	count := me.overcommits
	*me = newMemory(me.weightLimit, me.adapterLimit)
	me.overcommits = count
}

// check counts an overcommit if a limit is exceeded.
func (me *memory) check() {
	if me.usedWeights() > me.weightLimit || me.usedAdapters() > me.adapterLimit {
		me.overcommits++
	}
}

func (me *memory) usedWeights() int64 {
	sum := me.roleBytes
	for _, count := range me.weights {
		sum += count
	}
	return sum
}

func (me *memory) usedAdapters() int64 {
	sum := int64(0)
	for _, count := range me.adapters {
		sum += count
	}
	return sum
}

// newest returns the ready version of the model, the last in string order if
// there are several.
func (me *memory) newest(model string) (string, bool) {
	best, found := "", false
	for wt := range me.weights {
		if wt.model == model && me.ready[wt] && (!found || wt.version > best) {
			best, found = wt.version, true
		}
	}
	return best, found
}

// residents lists the weights in the format of an order's answer, sorted by model
// and version.
func (me *memory) residents() []map[string]any {
	list := make([]map[string]any, 0, len(me.weights))
	for wt, count := range me.weights {
		list = append(list, map[string]any{
			"model":   wt.model,
			"version": wt.version,
			"memory":  count,
			"ready":   me.ready[wt],
		})
	}
	sort.Slice(list, func(ix, jx int) bool {
		if list[ix]["model"] != list[jx]["model"] {
			return list[ix]["model"].(string) < list[jx]["model"].(string)
		}
		return list[ix]["version"].(string) < list[jx]["version"].(string)
	})
	return list
}

func (me *memory) adapterList() []map[string]any {
	list := make([]map[string]any, 0, len(me.adapters))
	for name, count := range me.adapters {
		list = append(list, map[string]any{"adapter": name, "memory": count})
	}
	sort.Slice(list, func(ix, jx int) bool { return list[ix]["adapter"].(string) < list[jx]["adapter"].(string) })
	return list
}
