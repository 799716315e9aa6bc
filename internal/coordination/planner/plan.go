package planner

import (
	"maps"
	"slices"
	"sort"
)

// Plan assigns models to backend servers. It is immutable.
type Plan struct {
	byServer map[string][]string
	byModel  map[string][]string
}

// NewPlan returns a plan with the given models on each backend server.
func NewPlan(byServer map[string][]string) *Plan {
	pl := &Plan{byServer: map[string][]string{}, byModel: map[string][]string{}}
	for server, models := range byServer {
		sorted := append([]string(nil), models...)
		sort.Strings(sorted)
		pl.byServer[server] = sorted
		for _, model := range sorted {
			pl.byModel[model] = append(pl.byModel[model], server)
		}
	}
	for _, servers := range pl.byModel {
		sort.Strings(servers)
	}
	return pl
}

// Models returns the names of the models on a backend server, sorted.
func (pl *Plan) Models(server string) []string { return pl.byServer[server] }

// Servers returns the names of the backend servers with a replica of the model,
// sorted.
func (pl *Plan) Servers(model string) []string { return pl.byModel[model] }

// ServerNames returns the names of all backend servers in the plan, sorted.
func (pl *Plan) ServerNames() []string {
	names := make([]string, 0, len(pl.byServer))
	for name := range pl.byServer {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Moves returns the number of loads that change the old plan into this one.
func (pl *Plan) Moves(old *Plan) int {
	moves := 0
	for server, models := range pl.byServer {
		had := map[string]bool{}
		for _, model := range old.byServer[server] {
			had[model] = true
		}
		for _, model := range models {
			if !had[model] {
				moves++
			}
		}
	}
	return moves
}

// HasServer reports whether the plan contains the backend server.
func (pl *Plan) HasServer(server string) bool {
	_, ok := pl.byServer[server]
	return ok
}

// Equal reports whether both plans have the same models on the same servers.
func (pl *Plan) Equal(other *Plan) bool {
	return maps.EqualFunc(pl.byServer, other.byServer, slices.Equal[[]string])
}
