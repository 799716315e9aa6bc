// Package ejector takes backend servers that fail out of the choice and lets
// them back in gradually.
//
// A server is taken out after a run of failures or a high rate of them, for a
// jittered time that grows with each repetition. Then its share ramps up to
// the whole. At least half of each model's replicas, and at least one, always
// stay in.
//
// # Usage
//
//	ej := ejector.New(ejector.WithReplicas(groups))
//	ej.Failed("w7")
//	weight := ej.Weight("w7") // 0 for none of its share, 1 for all
package ejector

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/counter"
)

const (
	consecutiveLimit = 5
	rateLimit        = 0.5
	rateSamples      = 20
	rateSmoothing    = 0.1
	baseEjection     = 2 * time.Second
	maxEjection      = 2 * time.Minute
	rampTime         = 10 * time.Second
	firstWeight      = 0.1
	maxDoublings     = 6
	recheckInterval  = time.Second
)

// Replicas returns, for each model of a server, the model's name and the
// servers on which it is ready.
type Replicas func(server string) map[string][]string

// Ejector remembers the failures of backend servers. It may be used by any
// goroutine.
type Ejector struct {
	clock    func() time.Time
	random   *rand.Rand
	replicas Replicas
	registry *counter.Registry

	mu      sync.Mutex
	servers map[string]*history
	checked time.Time
	// absent holds the servers that are out or ramping, for reading.
	absent atomic.Pointer[map[string]absence]
}

// history is what is known of one server.
type history struct {
	consecutive int
	samples     int
	rate        float64
	ejections   int
}

// absence is a time during which a server gets less than its share.
type absence struct {
	until  time.Time
	models []string
}

// Option changes an Ejector that is being made.
type Option func(*Ejector)

// WithClock replaces the clock.
func WithClock(clock func() time.Time) Option { return func(ej *Ejector) { ej.clock = clock } }

// WithRandom replaces the source of the jitter.
func WithRandom(random *rand.Rand) Option { return func(ej *Ejector) { ej.random = random } }

// WithReplicas tells the ejector the replicas that its floor protects. Without
// it no server is ever taken out.
func WithReplicas(rp Replicas) Option { return func(ej *Ejector) { ej.replicas = rp } }

// WithRegistry makes the ejector count ejection.out,
// ejection.held and ejection.restored.
func WithRegistry(rg *counter.Registry) Option { return func(ej *Ejector) { ej.registry = rg } }

// New returns an ejector that has seen no failure.
func New(opts ...Option) *Ejector {
	ej := &Ejector{
		clock:    time.Now,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		replicas: func(string) map[string][]string { return nil },
		servers:  map[string]*history{},
	}
	ej.absent.Store(&map[string]absence{})
	for _, opt := range opts {
		opt(ej)
	}
	return ej
}

// Weight returns the part of its share that the server should get now.
func (ej *Ejector) Weight(server string) float64 {
	if _, ok := (*ej.absent.Load())[server]; !ok {
		return 1
	}
	now := ej.clock()
	ej.recheck(now)
	ab, ok := (*ej.absent.Load())[server]
	if !ok {
		return 1
	}
	return ab.weight(now)
}

// recheck restores the floor where replicas went since a server was taken out.
func (ej *Ejector) recheck(now time.Time) {
	ej.mu.Lock()
	defer ej.mu.Unlock()
	if now.Sub(ej.checked) < recheckInterval {
		return
	}
	ej.checked = now
	ej.sweep(now)
	for server := range *ej.absent.Load() {
		groups := ej.replicas(server)
		if len(groups) > 0 && !ej.floorAllows(server, groups) {
			ej.change(func(all map[string]absence) { delete(all, server) })
			ej.registry.Inc("ejection", "restored")
		}
	}
}

func (ab absence) weight(now time.Time) float64 {
	back := now.Sub(ab.until)
	if back < 0 {
		return 0
	}
	return min(1, firstWeight+(1-firstWeight)*float64(back)/float64(rampTime))
}

// Succeeded counts a whole answer of the server.
func (ej *Ejector) Succeeded(server string) {
	ej.mu.Lock()
	defer ej.mu.Unlock()
	now := ej.clock()
	ej.sweep(now)
	hs := ej.of(server)
	hs.count(0)
	hs.consecutive = 0
	if _, out := (*ej.absent.Load())[server]; !out && hs.rate < rateLimit/2 {
		hs.ejections = 0
	}
}

// Failed counts a failure of the server and takes it out if there were too
// many and the floor allows it.
func (ej *Ejector) Failed(server string) {
	ej.mu.Lock()
	defer ej.mu.Unlock()
	now := ej.clock()
	ej.sweep(now)
	hs := ej.of(server)
	hs.count(1)
	hs.consecutive++
	if ab, out := (*ej.absent.Load())[server]; out && now.Before(ab.until) {
		return
	}
	if hs.consecutive < consecutiveLimit && (hs.samples < rateSamples || hs.rate < rateLimit) {
		return
	}
	ej.eject(server, hs, now)
}

func (hs *history) count(failure float64) {
	hs.samples++
	hs.rate += rateSmoothing * (failure - hs.rate)
}

func (ej *Ejector) of(server string) *history {
	hs, ok := ej.servers[server]
	if !ok {
		hs = &history{}
		ej.servers[server] = hs
	}
	return hs
}

func (ej *Ejector) eject(server string, hs *history, now time.Time) {
	groups := ej.replicas(server)
	if !ej.floorAllows(server, groups) {
		ej.registry.Inc("ejection", "held")
		return
	}
	out := baseEjection << min(hs.ejections, maxDoublings)
	out = min(out, maxEjection)
	out += time.Duration(ej.random.Int64N(int64(out)/2 + 1))
	hs.ejections++
	hs.consecutive, hs.samples, hs.rate = 0, 0, 0
	models := make([]string, 0, len(groups))
	for model := range groups {
		models = append(models, model)
	}
	ej.change(func(all map[string]absence) { all[server] = absence{now.Add(out), models} })
	ej.registry.Inc("ejection", "out")
}

// floorAllows reports whether each model keeps at least half of its replicas,
// and at least one, if the server goes as well. Servers that are out count as
// replicas also when they are not listed any more, or else a failing half
// would make half of the rest fair game.
func (ej *Ejector) floorAllows(server string, groups map[string][]string) bool {
	absent := *ej.absent.Load()
	for model, listed := range groups {
		members := map[string]bool{server: true}
		for _, name := range listed {
			members[name] = true
		}
		out := 1
		for name, ab := range absent {
			if name != server && ab.holds(model) {
				members[name] = true
				out++
			}
		}
		if len(members)-out < max(1, (len(members)+1)/2) {
			return false
		}
	}
	return len(groups) > 0
}

func (ab absence) holds(model string) bool {
	for _, name := range ab.models {
		if name == model {
			return true
		}
	}
	return false
}

// sweep ends the absences whose ramp is over.
func (ej *Ejector) sweep(now time.Time) {
	for server, ab := range *ej.absent.Load() {
		if now.Sub(ab.until) >= rampTime {
			ej.change(func(all map[string]absence) { delete(all, server) })
		}
	}
}

// change replaces the readers' map by a changed copy.
func (ej *Ejector) change(edit func(map[string]absence)) {
	next := map[string]absence{}
	for name, ab := range *ej.absent.Load() {
		next[name] = ab
	}
	edit(next)
	ej.absent.Store(&next)
}
