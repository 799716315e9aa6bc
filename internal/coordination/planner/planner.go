// Package planner decides which model runs on which backend server.
//
// # Usage
//
//	pl := planner.Initial(settings)
//	for _, model := range pl.Models("w1") { ... }
package planner

import (
	"sort"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Plan assigns models to backend servers.
type Plan struct {
	byServer map[string][]string
	byModel  map[string][]string
}

// Models returns the models of a backend server in the order of their names.
func (pl *Plan) Models(server string) []string { return pl.byServer[server] }

// Servers returns the backend servers of a model in the order of their names.
func (pl *Plan) Servers(model string) []string { return pl.byModel[model] }

// Initial places the least replicas of each model, the largest model first, on
// the backend server with most free memory, in a zone that lacks the model if
// there is one.
func Initial(st *configurer.Settings) *Plan {
	pl := &Plan{byServer: map[string][]string{}, byModel: map[string][]string{}}
	free := map[string]int64{}
	for _, bs := range st.BackendServers() {
		free[bs.Name()] = bs.WeightMemory()
	}
	models := st.Models()
	sort.SliceStable(models, func(ix, jx int) bool { return models[ix].Memory() > models[jx].Memory() })
	for _, md := range models {
		for range max(md.MinReplicas(), 2) {
			pl.place(st, md, free)
		}
	}
	pl.sort()
	return pl
}

func (pl *Plan) place(st *configurer.Settings, md *configurer.Model, free map[string]int64) {
	zones := map[string]bool{}
	has := map[string]bool{}
	for _, name := range pl.byModel[md.Name()] {
		bs, _ := st.BackendServer(name)
		zones[bs.Zone()] = true
		has[name] = true
	}
	best := ""
	for _, bs := range st.BackendServers() {
		name := bs.Name()
		if has[name] || free[name] < md.Memory() {
			continue
		}
		if best == "" || better(st, best, name, zones, free) {
			best = name
		}
	}
	if best == "" {
		return
	}
	free[best] -= md.Memory()
	pl.byServer[best] = append(pl.byServer[best], md.Name())
	pl.byModel[md.Name()] = append(pl.byModel[md.Name()], best)
}

// better reports whether the challenger is the better place.
func better(st *configurer.Settings, best, challenger string, zones map[string]bool, free map[string]int64) bool {
	was, _ := st.BackendServer(best)
	now, _ := st.BackendServer(challenger)
	if zones[was.Zone()] != zones[now.Zone()] {
		return zones[was.Zone()]
	}
	return free[challenger] > free[best]
}

func (pl *Plan) sort() {
	for _, names := range pl.byServer {
		sort.Strings(names)
	}
	for _, names := range pl.byModel {
		sort.Strings(names)
	}
}
