// Package bencher measures planning policies on seeded traces of demand, and
// running systems under seeded traffic.
//
// # Usage
//
//	trace := bencher.NewTrace(settings, 6*time.Hour, 0.6, seed)
//	results := bencher.ComparePlanning(settings, trace, map[string]planner.Policy{
//		"fixed":   planner.Fixed{},
//		"planner": planner.New(settings),
//	})
package bencher

import (
	"slices"
	"sort"
	"time"
)

func sortedNames[T any](byName map[string]T) []string {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func sortDurations(durations []time.Duration) { slices.Sort(durations) }
