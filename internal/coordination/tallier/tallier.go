// Package tallier counts the results of a node's requests by model and adapter,
// and names those that were asked for and not served.
//
// Counters by class hide a model that is asked for seldom and never served. The
// tally keeps a bounded number of names, each over a window of time.
//
// # Usage
//
//	tl := tallier.New()
//	tl.Answered("m1/a1")
//	tl.Unanswered("m1/a2", "no-worker")
//	for _, un := range tl.Unserved() {
//		fmt.Println(un.Name, un.Asked, un.Reason)
//	}
package tallier

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// maxNames bounds the names in a window. Results for further names are not
	// counted.
	maxNames = 4096
	// minAsked is the number of requests in a window from which on a name that
	// was not served is reported. Fewer show nothing.
	minAsked = 3
)

// Tally counts results by name. It is safe for concurrent use; a nil Tally
// counts nothing.
type Tally struct {
	mu     sync.Mutex
	counts map[string]*count
}

// count holds the results of the requests for one name.
type count struct {
	answered int
	// unanswered is the number of other results by reason.
	unanswered map[string]int
}

// Unserved is a model or adapter that was asked for and not served.
type Unserved struct {
	// Name is the name of the model or adapter.
	Name string
	// Asked is the number of requests for it.
	Asked int
	// Reason is the most frequent reason for which they were not answered.
	Reason string
}

// New returns an empty tally.
func New() *Tally { return &Tally{counts: map[string]*count{}} }

// Answered counts a request that was answered.
func (tl *Tally) Answered(name string) {
	tl.update(name, func(co *count) { co.answered++ })
}

// Unanswered counts a request that was refused or failed.
func (tl *Tally) Unanswered(name, reason string) {
	tl.update(name, func(co *count) {
		if co.unanswered == nil {
			co.unanswered = map[string]int{}
		}
		co.unanswered[reason]++
	})
}

func (tl *Tally) update(name string, change func(*count)) {
	if tl == nil {
		return
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	co, ok := tl.counts[name]
	if !ok {
		if len(tl.counts) >= maxNames {
			return
		}
		co = &count{}
		tl.counts[name] = co
	}
	change(co)
}

// Unserved returns the names that were asked for at least three times since the
// last call and not served, most asked for first, and starts a new window.
func (tl *Tally) Unserved() []Unserved {
	tl.mu.Lock()
	counts := tl.counts
	tl.counts = make(map[string]*count, len(counts))
	tl.mu.Unlock()
	var all []Unserved
	for name, co := range counts {
		if co.answered > 0 {
			continue
		}
		un := Unserved{Name: name}
		most := 0
		for reason, times := range co.unanswered {
			un.Asked += times
			if times > most || times == most && reason < un.Reason {
				un.Reason, most = reason, times
			}
		}
		if un.Asked >= minAsked {
			all = append(all, un)
		}
	}
	slices.SortFunc(all, func(one, two Unserved) int {
		return cmp.Or(cmp.Compare(two.Asked, one.Asked), cmp.Compare(one.Name, two.Name))
	})
	return all
}
