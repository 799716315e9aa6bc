package placer

import (
	"slices"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// stuckPasses is the number of passes in a row in which a server must be
// deadlocked before the plan is changed.
const stuckPasses = 3

// resolveDeadlock returns the plan without the loads that can never start. Full
// servers wait for each other forever if each holds the last serving replica of
// a model that another is to load. After stuckPasses each such server keeps its
// replicas, and the planner places the missing replicas elsewhere.
func (pc *Placer) resolveDeadlock(pl *planner.Plan, sn Situation) *planner.Plan {
	waiting := deadlocked(pl, sn)
	counts := map[string]int{}
	var stuck []string
	for server := range waiting {
		counts[server] = pc.term.stuck[server] + 1
		if counts[server] >= stuckPasses {
			stuck = append(stuck, server)
		}
	}
	pc.term.stuck = counts
	if len(stuck) == 0 {
		return pl
	}
	pc.registry.Add(int64(len(stuck)), "plan", "deadlock")
	byServer := map[string][]string{}
	for _, server := range pl.ServerNames() {
		byServer[server] = pl.Models(server)
	}
	for _, server := range stuck {
		byServer[server] = feasibleModels(sn, server, waiting[server], pl.Models(server))
	}
	return planner.NewPlan(byServer)
}

// deadlocked returns the servers that wait for each other, with the models that
// each must keep.
func deadlocked(pl *planner.Plan, sn Situation) map[string][]string {
	waiting := map[string][]string{}
	for _, bs := range sn.Settings.BackendServers() {
		if held := blockingModels(pl, sn, bs); len(held) > 0 {
			waiting[bs.Name()] = held
		}
	}
	for changed := true; changed; {
		changed = false
		for server, held := range waiting {
			if !slices.ContainsFunc(held, func(model string) bool { return noServerCanLoad(pl, sn, waiting, model) }) {
				delete(waiting, server)
				changed = true
			}
		}
	}
	return waiting
}

// noServerCanLoad reports whether every usable server that is to load the model
// is waiting itself.
func noServerCanLoad(pl *planner.Plan, sn Situation, waiting map[string][]string, model string) bool {
	for _, server := range pl.Servers(model) {
		if _, waits := waiting[server]; !waits && sn.Usable(server) {
			return false
		}
	}
	return true
}

// blockingModels returns the models that the server has to unload to make room
// for its planned loads, but must keep because too few other servers serve
// them.
func blockingModels(pl *planner.Plan, sn Situation, bs *configurer.BackendServer) []string {
	planned := pl.Models(bs.Name())
	used, missing := int64(0), false
	for _, model := range planned {
		used += memoryOf(sn, model)
		missing = missing || !sn.Serving(model, bs.Name())
	}
	if !missing || !sn.Usable(bs.Name()) {
		return nil
	}
	var held []string
	for _, model := range sn.ReportedModels(bs.Name()) {
		if slices.Contains(planned, model) {
			continue
		}
		used += memoryOf(sn, model)
		if md, ok := sn.Settings.Model(model); ok && neededOn(sn, md, bs.Name()) {
			held = append(held, model)
		}
	}
	if used <= bs.WeightMemory() {
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

// neededOn reports whether too few servers other than the given one serve the
// model.
func neededOn(sn Situation, md *configurer.Model, server string) bool {
	others := 0
	for _, bs := range sn.Settings.BackendServers() {
		if bs.Name() != server && sn.Serving(md.Name(), bs.Name()) {
			others++
		}
	}
	return others < max(md.MinReplicas(), 1)
}

// feasibleModels returns the models that fit in the server's memory, in this
// order of preference: the models that it must keep, the planned models that it
// serves, the other planned models.
func feasibleModels(sn Situation, server string, held, planned []string) []string {
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
	free := bs.WeightMemory()
	var kept []string
	for _, model := range order {
		if md, ok := sn.Settings.Model(model); ok && md.Memory() <= free {
			free -= md.Memory()
			kept = append(kept, model)
		}
	}
	return kept
}
