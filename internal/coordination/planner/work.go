package planner

import (
	"sort"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// balanceRounds is the number of adjustments of the flows to the pressures.
	balanceRounds = 12
	// safePressure is the share of its slots that a server can fill without
	// refusing requests when demand varies.
	safePressure = 0.9
	// minSpareShare is the least long-term demand, as a share of a server's slots,
	// at which a model keeps its spare replica if idle models do not. An occasional
	// request does not justify the memory and the load.
	minSpareShare = 0.1
	// minPressure is a lower bound in the adjustment of flows, so that an idle
	// server does not attract a whole flow at once.
	minPressure = 0.05
	// yieldRatio is how many times the demand of a model with a replica a model
	// without one must have to take its place. Both wait for a load if models
	// take turns too often.
	yieldRatio = 2
)

// workspace is a plan during a planning pass. Models and servers are identified
// by their index, for speed.
type workspace struct {
	models  []modelState
	servers []serverState
	// byName maps the name of a server to its index.
	byName  map[string]int
	weights weights
	// spareWhenIdle is set if models without demand keep their spare replicas.
	spareWhenIdle bool
	// sparesYield is set if spare replicas take no memory and no load from demand.
	sparesYield bool
	// idleModelsYield is set if the last replica of a model may be evicted for a
	// model without one.
	idleModelsYield bool
	// serving is Input.Serving.
	serving func(model, server string) bool
	// resident is Input.Resident.
	resident func(model, server string) bool
	// anyAtRisk is set if any server is at risk.
	anyAtRisk bool
	// covers is how many loads one pass may plan for models at risk.
	covers int
	// changes are the replicas that the pass added.
	changes []Change
}

// weights are the settings that determine when a move is justified.
type weights struct {
	move       float64
	attainment float64
	// exchangeThreshold is the least demand per replica for an exchange, as a
	// share of the mean slots of a server.
	exchangeThreshold float64
}

// modelState is a model with its demand and replicas.
type modelState struct {
	name string
	pool string
	// memory is the memory of one replica in bytes.
	memory int64
	// minReplicas and maxReplicas limit the planned replicas.
	minReplicas int
	// serving is the least number of serving replicas.
	serving     int
	maxReplicas int
	// demand is the demand in concurrent requests, and mean its long-term mean.
	demand   float64
	mean     float64
	replicas []replica
}

// replica is a replica of a model on a server.
type replica struct {
	server int // index of the server
	// flow is the part of the model's demand that goes to the replica.
	flow float64
}

// serverState is a backend server with its load and its models.
type serverState struct {
	name   string
	zone   string
	pool   string
	usable bool
	// atRisk is set if the server may not serve for a while.
	atRisk bool
	slots  float64
	// capacity is the memory for weights in bytes, and free its unused part.
	capacity int64
	free     int64
	// load is the sum of the flows of the server's replicas.
	load float64
	// models are the indices of the models with a replica on the server.
	models []int
}

func newWorkspace(in Input, demand Demand) *workspace {
	pn := in.Settings.Planning()
	wk := &workspace{
		byName:          map[string]int{},
		weights:         weights{move: pn.MoveWeight(), attainment: pn.AttainmentWeight(), exchangeThreshold: pn.ExchangeThreshold()},
		spareWhenIdle:   pn.SpareWhenIdle(),
		idleModelsYield: pn.IdleModelsYield(),
		serving:         in.Serving,
		resident:        in.Resident,
		covers:          loadsPerPass(in.Settings),
	}
	wk.addServers(in)
	wk.addModels(in, demand)
	wk.addReplicas(in.Current)
	return wk
}

func (wk *workspace) addServers(in Input) {
	for _, bs := range in.Settings.BackendServers() {
		wk.byName[bs.Name()] = len(wk.servers)
		atRisk := in.AtRisk != nil && in.AtRisk(bs.Name())
		wk.anyAtRisk = wk.anyAtRisk || atRisk
		wk.servers = append(wk.servers, serverState{
			name:     bs.Name(),
			zone:     bs.Zone(),
			pool:     bs.Pool(),
			usable:   in.Usable(bs.Name()),
			atRisk:   atRisk,
			slots:    float64(bs.Slots()),
			capacity: bs.WeightMemory(),
			free:     bs.WeightMemory(),
		})
	}
}

func (wk *workspace) addModels(in Input, demand Demand) {
	for _, md := range in.Settings.Models() {
		if !md.Placed() {
			continue
		}
		wk.models = append(wk.models, modelState{
			name:        md.Name(),
			pool:        md.Pool(),
			memory:      md.Memory(),
			minReplicas: minReplicasOf(md, in.Settings.Planning()),
			serving:     max(md.MinReplicas(), 1),
			maxReplicas: maxReplicasOf(md, len(wk.servers)),
			demand:      demand[md.Name()],
		})
	}
}

// setMeans sets the long-term mean demand of each model. Idle models need no
// spare replica unless spareWhenIdle is set.
func (wk *workspace) setMeans(mean Demand) {
	wk.sparesYield = !wk.spareWhenIdle
	least := minSpareShare * wk.meanSlots()
	for mi := range wk.models {
		md := &wk.models[mi]
		md.mean = mean[md.name]
		if !wk.spareWhenIdle && md.mean < least {
			md.minReplicas = md.serving
		}
	}
}

// minReplicasOf returns the minimum number of replicas of a model: its setting,
// or more with spare replicas, so that one replica remains after the loss of a
// zone.
func minReplicasOf(md *configurer.Model, pn *configurer.Planning) int {
	least := max(md.MinReplicas(), 1+pn.SpareReplicas())
	if md.MaxReplicas() > 0 {
		least = min(least, md.MaxReplicas())
	}
	return least
}

func maxReplicasOf(md *configurer.Model, servers int) int {
	if md.MaxReplicas() > 0 {
		return md.MaxReplicas()
	}
	return servers
}

// isResident reports whether a load of the model on the server is quick.
func (wk *workspace) isResident(mi, si int) bool {
	return wk.resident != nil && wk.resident(wk.models[mi].name, wk.servers[si].name)
}

// addReplicas adds the replicas of the current plan, except those whose model
// or server is no longer configured or usable and those that do not fit in
// memory.
func (wk *workspace) addReplicas(current *Plan) {
	if current == nil {
		return
	}
	for mi := range wk.models {
		for _, name := range current.Servers(wk.models[mi].name) {
			si, ok := wk.byName[name]
			if ok && wk.fits(mi, si) {
				wk.place(mi, si)
			}
		}
	}
}

// fits reports whether the server may hold the model, has enough free memory,
// and has no replica of it yet.
func (wk *workspace) fits(mi, si int) bool {
	sv := &wk.servers[si]
	return wk.allows(mi, si) && sv.free >= wk.models[mi].memory && !wk.holds(mi, si)
}

// allows reports whether the server is usable and in the model's pool.
func (wk *workspace) allows(mi, si int) bool {
	return wk.servers[si].usable && wk.servers[si].pool == wk.models[mi].pool
}

func (wk *workspace) holds(mi, si int) bool {
	for _, rp := range wk.models[mi].replicas {
		if rp.server == si {
			return true
		}
	}
	return false
}

func (wk *workspace) place(mi, si int) {
	wk.models[mi].replicas = append(wk.models[mi].replicas, replica{server: si})
	wk.servers[si].models = append(wk.servers[si].models, mi)
	wk.servers[si].free -= wk.models[mi].memory
}

func (wk *workspace) remove(mi, si int) {
	md := &wk.models[mi]
	for ix, rp := range md.replicas {
		if rp.server == si {
			md.replicas = append(md.replicas[:ix], md.replicas[ix+1:]...)
			break
		}
	}
	sv := &wk.servers[si]
	for ix, held := range sv.models {
		if held == mi {
			sv.models = append(sv.models[:ix], sv.models[ix+1:]...)
			break
		}
	}
	sv.free += md.memory
}

// balance distributes each model's demand over its replicas so that the
// servers' pressures converge.
func (wk *workspace) balance() {
	for mi := range wk.models {
		md := &wk.models[mi]
		for ix := range md.replicas {
			md.replicas[ix].flow = md.demand / float64(len(md.replicas))
		}
	}
	wk.sumLoads()
	for range balanceRounds {
		wk.adjustFlows()
		wk.sumLoads()
	}
}

func (wk *workspace) sumLoads() {
	for si := range wk.servers {
		wk.servers[si].load = 0
	}
	for mi := range wk.models {
		for _, rp := range wk.models[mi].replicas {
			wk.servers[rp.server].load += rp.flow
		}
	}
}

func (wk *workspace) adjustFlows() {
	for mi := range wk.models {
		md := &wk.models[mi]
		total := 0.0
		for ix := range md.replicas {
			rp := &md.replicas[ix]
			rp.flow /= max(wk.pressure(rp.server), minPressure)
			total += rp.flow
		}
		if total <= 0 {
			continue
		}
		for ix := range md.replicas {
			md.replicas[ix].flow *= md.demand / total
		}
	}
}

// pressure returns the load of a server as a share of its slots.
func (wk *workspace) pressure(si int) float64 {
	return wk.servers[si].load / wk.servers[si].slots
}

// served returns the part of a server's load that it is expected to serve when
// demand varies around its mean: all load up to safePressure, half of the load
// above it, and never more than its slots.
func (sv *serverState) served() float64 {
	safe := safePressure * sv.slots
	if sv.load <= safe {
		return sv.load
	}
	return min(safe+(sv.load-safe)/2, sv.slots)
}

// spare returns the slots of a server that remain for more load.
func (wk *workspace) spare(si int) float64 {
	return wk.servers[si].slots - wk.servers[si].served()
}

// excess returns the demand of a model that its replicas cannot serve: its
// share of the unserved load of each server.
func (wk *workspace) excess(mi int) float64 {
	sum := 0.0
	for _, rp := range wk.models[mi].replicas {
		sv := &wk.servers[rp.server]
		if sv.load > 0 {
			sum += rp.flow * (1 - sv.served()/sv.load)
		}
	}
	if len(wk.models[mi].replicas) == 0 {
		return wk.models[mi].demand
	}
	return sum
}

// servedTotal returns the load that all servers together are expected to serve.
func (wk *workspace) servedTotal() float64 {
	sum := 0.0
	for si := range wk.servers {
		sum += wk.servers[si].served()
	}
	return sum
}

func (wk *workspace) plan() *Plan {
	byServer := map[string][]string{}
	for si := range wk.servers {
		sv := &wk.servers[si]
		names := make([]string, 0, len(sv.models))
		for _, mi := range sv.models {
			names = append(names, wk.models[mi].name)
		}
		sort.Strings(names)
		byServer[sv.name] = names
	}
	return NewPlan(byServer)
}

// zonesOf returns the number of the model's replicas in each zone.
func (wk *workspace) zonesOf(mi int) map[string]int {
	zones := map[string]int{}
	for _, rp := range wk.models[mi].replicas {
		zones[wk.servers[rp.server].zone]++
	}
	return zones
}
