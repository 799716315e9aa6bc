package planner

import (
	"sort"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

const (
	// balanceRounds is how often the flows are adjusted to the pressures.
	balanceRounds = 12
	// easyPressure is the part of its slots that a server fills without
	// turning work away when demand varies.
	easyPressure = 0.9
	// idleShare is the part of a server's slots that a model's demand fills at
	// the least if it is to keep a spare replica although idle models do not:
	// a request now and then is not worth the memory and the load.
	idleShare = 0.1
	// leastPressure keeps idle servers from taking all of a flow at once.
	leastPressure = 0.05
)

// work is a plan in the making, indexed by number for speed.
type work struct {
	models  []workModel
	servers []workServer
	byName  map[string]int
	weights weights
	// spareWhenIdle says that models without demand keep their spare replicas.
	spareWhenIdle bool
	serving       func(model, server string) bool
}

// weights are the settings that decide what a move is worth.
type weights struct {
	move       float64
	attainment float64
	evenFrom   float64
}

// workModel is a model with its replicas.
type workModel struct {
	name     string
	pool     string
	memory   int64
	least    int
	serving  int
	most     int
	demand   float64
	mean     float64
	replicas []replica
}

// replica is a model on a server with the part of its demand that goes there.
type replica struct {
	server int
	flow   float64
}

// workServer is a backend server with what it holds.
type workServer struct {
	name     string
	zone     string
	pool     string
	usable   bool
	slots    float64
	capacity int64
	free     int64
	load     float64
	models   []int
}

func newWork(in Input, demand Demand) *work {
	pn := in.Settings.Planning()
	wk := &work{
		byName:        map[string]int{},
		weights:       weights{move: pn.MoveWeight(), attainment: pn.AttainmentWeight(), evenFrom: pn.EvenFrom()},
		spareWhenIdle: pn.SpareWhenIdle(),
		serving:       in.Serving,
	}
	wk.addServers(in)
	wk.addModels(in, demand)
	wk.addReplicas(in.Current)
	return wk
}

func (wk *work) addServers(in Input) {
	for _, bs := range in.Settings.BackendServers() {
		wk.byName[bs.Name()] = len(wk.servers)
		wk.servers = append(wk.servers, workServer{
			name:     bs.Name(),
			zone:     bs.Zone(),
			pool:     bs.Pool(),
			usable:   in.Usable(bs.Name()),
			slots:    float64(bs.Slots()),
			capacity: bs.WeightMemory(),
			free:     bs.WeightMemory(),
		})
	}
}

func (wk *work) addModels(in Input, demand Demand) {
	for _, md := range in.Settings.Models() {
		if !md.Placed() {
			continue
		}
		wk.models = append(wk.models, workModel{
			name:    md.Name(),
			pool:    md.Pool(),
			memory:  md.Memory(),
			least:   leastReplicas(md, in.Settings.Planning()),
			serving: max(md.MinReplicas(), 1),
			most:    mostReplicas(md, len(wk.servers)),
			demand:  demand[md.Name()],
		})
	}
}

// setMeans tells the long-term mean of each model's demand.
func (wk *work) setMeans(mean Demand) {
	for mi := range wk.models {
		md := &wk.models[mi]
		md.mean = mean[md.name]
		if !wk.spareWhenIdle && max(md.mean, md.demand) < idleShare*wk.meanSlots() {
			md.least = md.serving
		}
	}
}

// leastReplicas returns the replicas that a model keeps: its setting, and the
// spare ones so that the loss of a zone leaves one.
func leastReplicas(md *configurer.Model, pn *configurer.Planning) int {
	least := max(md.MinReplicas(), 1+pn.SpareReplicas())
	if md.MaxReplicas() > 0 {
		least = min(least, md.MaxReplicas())
	}
	return least
}

func mostReplicas(md *configurer.Model, servers int) int {
	if md.MaxReplicas() > 0 {
		return md.MaxReplicas()
	}
	return servers
}

// addReplicas takes over the current plan, without what is no longer
// configured, usable or within memory.
func (wk *work) addReplicas(current *Plan) {
	if current == nil {
		return
	}
	for mi := range wk.models {
		for _, name := range current.Servers(wk.models[mi].name) {
			si, ok := wk.byName[name]
			if ok && wk.fits(mi, si) {
				wk.put(mi, si)
			}
		}
	}
}

func (wk *work) fits(mi, si int) bool {
	sv := &wk.servers[si]
	return wk.allows(mi, si) && sv.free >= wk.models[mi].memory && !wk.holds(mi, si)
}

// allows reports whether the server may hold the model at all.
func (wk *work) allows(mi, si int) bool {
	return wk.servers[si].usable && wk.servers[si].pool == wk.models[mi].pool
}

func (wk *work) holds(mi, si int) bool {
	for _, rp := range wk.models[mi].replicas {
		if rp.server == si {
			return true
		}
	}
	return false
}

func (wk *work) put(mi, si int) {
	wk.models[mi].replicas = append(wk.models[mi].replicas, replica{server: si})
	wk.servers[si].models = append(wk.servers[si].models, mi)
	wk.servers[si].free -= wk.models[mi].memory
}

func (wk *work) take(mi, si int) {
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

// balance spreads each model's demand over its replicas so that the pressures
// of the servers even out.
func (wk *work) balance() {
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

func (wk *work) sumLoads() {
	for si := range wk.servers {
		wk.servers[si].load = 0
	}
	for mi := range wk.models {
		for _, rp := range wk.models[mi].replicas {
			wk.servers[rp.server].load += rp.flow
		}
	}
}

func (wk *work) adjustFlows() {
	for mi := range wk.models {
		md := &wk.models[mi]
		total := 0.0
		for ix := range md.replicas {
			rp := &md.replicas[ix]
			rp.flow /= max(wk.pressure(rp.server), leastPressure)
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

func (wk *work) pressure(si int) float64 {
	return wk.servers[si].load / wk.servers[si].slots
}

// served returns the part of a server's load that it is expected to serve when
// demand varies around its mean: all of it far from saturation, half of what
// is added near it, and never more than its slots.
func (sv *workServer) served() float64 {
	easy := easyPressure * sv.slots
	if sv.load <= easy {
		return sv.load
	}
	return min(easy+(sv.load-easy)/2, sv.slots)
}

// spare returns the slots of a server that more load would still find.
func (wk *work) spare(si int) float64 {
	return wk.servers[si].slots - wk.servers[si].served()
}

// excess returns the demand of a model that its replicas cannot serve: its part
// of what exceeds the slots of each server.
func (wk *work) excess(mi int) float64 {
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

// attained returns the demand that all servers together can serve.
func (wk *work) attained() float64 {
	sum := 0.0
	for si := range wk.servers {
		sum += wk.servers[si].served()
	}
	return sum
}

func (wk *work) plan() *Plan {
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

// zonesOf returns the zones in which a model has a replica.
func (wk *work) zonesOf(mi int) map[string]int {
	zones := map[string]int{}
	for _, rp := range wk.models[mi].replicas {
		zones[wk.servers[rp.server].zone]++
	}
	return zones
}
