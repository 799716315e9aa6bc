// Package bencher measures: policies on seeded traces of demand, and running
// systems under seeded arrivals.
//
// # Usage
//
//	trace := bencher.NewTrace(settings, 6*time.Hour, 0.6, seed)
//	results := bencher.ComparePlanning(settings, trace, map[string]planner.Policy{
//		"fixed":   planner.Fixed{},
//		"planner": planner.New(settings),
//	})
package bencher

import "sort"

func sortedNames[T any](all map[string]T) []string {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
