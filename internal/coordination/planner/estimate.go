package planner

import "github.com/lagoonpass/lagoonpass/internal/state/configurer"

// Attained returns the part of a demand that a plan can serve, from 0 to 1,
// with each model's requests spread over its replicas by their pressure.
func Attained(st *configurer.Settings, pl *Plan, demand Demand) float64 {
	wk := newWork(Input{Settings: st, Usable: All, Current: pl}, demand)
	wk.balance()
	total := 0.0
	for mi := range wk.models {
		total += wk.models[mi].demand
	}
	if total <= 0 {
		return 1
	}
	served := 0.0
	for si := range wk.servers {
		served += min(wk.servers[si].load, wk.servers[si].slots)
	}
	return served / total
}
