package placer

import (
	"slices"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// stuckPasses is how many passes a server waits for another that waits for it
// before the plan is changed.
const stuckPasses = 3

// release takes back the part of the plan that cannot be carried out: full
// servers that each hold the last serving replica of what another is to load
// wait for each other for good. Each keeps what it holds, so that the planner
// places the others' replicas anew.
func (pc *Placer) release(pl *planner.Plan, sn Situation) *planner.Plan {
	waiting := deadlocked(pl, sn)
	counts := map[string]int{}
	var stuck []string
	for server := range waiting {
		counts[server] = pc.tenure.stuck[server] + 1
		if counts[server] >= stuckPasses {
			stuck = append(stuck, server)
		}
	}
	pc.tenure.stuck = counts
	if len(stuck) == 0 {
		return pl
	}
	pc.registry.Add(int64(len(stuck)), "plan", "deadlock")
	byServer := map[string][]string{}
	for _, server := range pl.ServerNames() {
		byServer[server] = pl.Models(server)
	}
	for _, server := range stuck {
		byServer[server] = keeping(sn, server, waiting[server], pl.Models(server))
	}
	return planner.NewPlan(byServer)
}

// deadlocked returns the servers that wait for each other, with the replicas
// that they may not give up.
func deadlocked(pl *planner.Plan, sn Situation) map[string][]string {
	waiting := map[string][]string{}
	for _, bs := range sn.Settings.BackendServers() {
		if held := blocked(pl, sn, bs); len(held) > 0 {
			waiting[bs.Name()] = held
		}
	}
	for changed := true; changed; {
		changed = false
		for server, held := range waiting {
			if !slices.ContainsFunc(held, func(model string) bool { return hopeless(pl, sn, waiting, model) }) {
				delete(waiting, server)
				changed = true
			}
		}
	}
	return waiting
}

// hopeless reports whether no server on which the model is to be loaded can
// load it without waiting.
func hopeless(pl *planner.Plan, sn Situation, waiting map[string][]string, model string) bool {
	for _, server := range pl.Servers(model) {
		if _, waits := waiting[server]; !waits && sn.Usable(server) {
			return false
		}
	}
	return true
}

// blocked returns the models that the server has to give up for what it is to
// load, and may not as too few others serve.
func blocked(pl *planner.Plan, sn Situation, bs *configurer.BackendServer) []string {
	planned := pl.Models(bs.Name())
	taken, missing := int64(0), false
	for _, model := range planned {
		taken += memoryOf(sn, model)
		missing = missing || !sn.Serving(model, bs.Name())
	}
	if !missing || !sn.Usable(bs.Name()) {
		return nil
	}
	var held []string
	for _, model := range sn.Held(bs.Name()) {
		if slices.Contains(planned, model) {
			continue
		}
		taken += memoryOf(sn, model)
		if md, ok := sn.Settings.Model(model); ok && needed(sn, md, bs.Name()) {
			held = append(held, model)
		}
	}
	if taken <= bs.WeightMemory() {
		return nil
	}
	return held
}

func memoryOf(sn Situation, model string) int64 {
	md, ok := sn.Settings.Model(model)
	if !ok {
		return 0
	}
	return md.Memory()
}

// needed reports whether too few other servers serve the model.
func needed(sn Situation, md *configurer.Model, server string) bool {
	others := 0
	for _, bs := range sn.Settings.BackendServers() {
		if bs.Name() != server && sn.Serving(md.Name(), bs.Name()) {
			others++
		}
	}
	return others < max(md.MinReplicas(), 1)
}

// keeping returns what the server should hold: what it may not give up, then
// what it serves, then what else was planned, as far as there is memory.
func keeping(sn Situation, server string, held, planned []string) []string {
	bs, ok := sn.Settings.BackendServer(server)
	if !ok {
		return nil
	}
	order := slices.Clone(held)
	for _, serves := range []bool{true, false} {
		for _, model := range planned {
			if sn.Serving(model, server) == serves {
				order = append(order, model)
			}
		}
	}
	left := bs.WeightMemory()
	var kept []string
	for _, model := range order {
		if md, ok := sn.Settings.Model(model); ok && md.Memory() <= left {
			left -= md.Memory()
			kept = append(kept, model)
		}
	}
	return kept
}
