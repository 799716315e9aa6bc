package planner

import "github.com/lagoonpass/lagoonpass/internal/state/configurer"

// Attained returns the share of the demand that the plan can serve, from 0 to
// 1. Each model's requests are balanced over its replicas as in a planning
// pass.
func Attained(st *configurer.Settings, pl *Plan, demand Demand) float64 {
	wk := newWorkspace(Input{Settings: st, Usable: AllUsable, Current: pl}, demand)
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
