package admitter

import (
	"slices"
	"time"
)

const (
	// budgetSamples is the number of latest requests of a class whose budgets
	// are kept, and budgetRefresh the number after which the usual ones are
	// determined anew.
	budgetSamples = 256
	budgetRefresh = 64
	// usualShare is the fraction of the requests of a class that have a budget
	// if it is usual. Those of later attempts are spread over seconds, so that
	// none of them is; rare kinds of first attempts have to be.
	usualShare = 0.05
	// budgetStep is the resolution of budgets.
	budgetStep = 10 * time.Millisecond
)

// budgets learns the usual times from a first attempt to the deadline of one
// class. Callers state the time that is left, and first attempts of a kind have
// the same, so that a request with less is a later attempt: it is measured from
// the first one.
type budgets struct {
	samples []time.Duration
	count   int
	// usual holds the usual budgets, the shortest first.
	usual []time.Duration
}

// elapsed records the time to the deadline of a request and returns the time
// since its first attempt; zero if it isn't known.
func (bg *budgets) elapsed(left time.Duration) time.Duration {
	bg.record(left.Round(budgetStep))
	for _, usual := range bg.usual {
		if left >= usual-budgetStep && left <= usual+budgetStep {
			return 0
		}
		if left < usual {
			return usual - left
		}
	}
	return 0
}

func (bg *budgets) record(left time.Duration) {
	if len(bg.samples) < budgetSamples {
		bg.samples = append(bg.samples, left)
	} else {
		bg.samples[bg.count%budgetSamples] = left
	}
	bg.count++
	if bg.count%budgetRefresh != 0 {
		return
	}
	counts := map[time.Duration]int{}
	for _, sample := range bg.samples {
		counts[sample]++
	}
	bg.usual = bg.usual[:0]
	for budget, count := range counts {
		if float64(count) >= usualShare*float64(len(bg.samples)) {
			bg.usual = append(bg.usual, budget)
		}
	}
	slices.Sort(bg.usual)
}
