// Package ejector excludes failing backend servers from selection and readmits
// them gradually.
//
// A server is ejected after consecutive failures or at a high failure rate, for
// a jittered time that grows with each ejection. Then its share of requests
// ramps up to the full share. At least half of each model's replicas, and at
// least one, are never ejected.
//
// # Usage
//
//	ej := ejector.New(ejector.WithReplicas(groups))
//	ej.Failed("w7")
//	weight := ej.Weight("w7") // from 0 while ejected to 1 for a full share
package ejector

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/counter"
)

const (
	// consecutiveLimit is the number of consecutive failures that eject a server.
	consecutiveLimit = 5
	// failureRateLimit is the failure rate that ejects a server after at least
	// minRateSamples results.
	failureRateLimit = 0.5
	minRateSamples   = 20
	// rateSmoothing is the weight of a new result in the failure rate.
	rateSmoothing = 0.1
	// The first ejection lasts baseEjection; each further one lasts twice as long,
	// up to maxEjection. The jitter adds up to half of that.
	baseEjection = 2 * time.Second
	maxEjection  = 2 * time.Minute
	// rampTime is how long the weight rises from initialWeight to 1.
	rampTime      = 10 * time.Second
	initialWeight = 0.1
	// maxDoublings keeps the shift of baseEjection from overflowing.
	maxDoublings = 6
	// recheckInterval is the time between two checks of the remaining replicas.
	recheckInterval = time.Second
)

// Replicas returns, for each model of a server, the model's name and the
// servers on which it is ready.
type Replicas func(server string) map[string][]string

// Ejector records the failures of backend servers and ejects them. It is safe
// for concurrent use.
type Ejector struct {
	clock    func() time.Time
	random   *rand.Rand
	replicas Replicas
	registry *counter.Registry

	mu      sync.Mutex
	servers map[string]*history
	// lastRecheck is when the replicas were last checked.
	lastRecheck time.Time
	// ejected has the servers that are ejected or ramping up. Readers need no
	// lock; writers replace the map.
	ejected atomic.Pointer[map[string]ejection]
}

// history is the recent results of one server.
type history struct {
	// consecutive is the number of failures since the last success.
	consecutive int
	// samples is the number of results since the last ejection.
	samples int
	// rate is the smoothed failure rate, from 0 to 1.
	rate float64
	// ejections is the number of ejections since the server was last healthy.
	ejections int
}

// ejection is a time without requests for a server, and the ramp after it.
type ejection struct {
	// until is when the ejection ends and the ramp begins.
	until time.Time
	// models are the models that the server had when it was ejected.
	models []string
}

// Option configures an Ejector.
type Option func(*Ejector)

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option { return func(ej *Ejector) { ej.clock = clock } }

// WithRandom sets the random source of the jitter.
func WithRandom(random *rand.Rand) Option { return func(ej *Ejector) { ej.random = random } }

// WithReplicas sets the source of the replicas of which a minimum stays
// available. Without it no server is ever ejected.
func WithReplicas(rp Replicas) Option { return func(ej *Ejector) { ej.replicas = rp } }

// WithRegistry sets the registry of the counters ejection.out, ejection.held
// and ejection.restored.
func WithRegistry(rg *counter.Registry) Option { return func(ej *Ejector) { ej.registry = rg } }

// New returns an ejector without recorded failures.
func New(opts ...Option) *Ejector {
	ej := &Ejector{
		clock:    time.Now,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		replicas: func(string) map[string][]string { return nil },
		servers:  map[string]*history{},
	}
	ej.ejected.Store(&map[string]ejection{})
	for _, opt := range opts {
		opt(ej)
	}
	return ej
}

// Weight returns the fraction of its share that the server should get now, from
// 0 to 1.
func (ej *Ejector) Weight(server string) float64 {
	if _, ok := (*ej.ejected.Load())[server]; !ok {
		return 1
	}
	now := ej.clock()
	ej.recheck(now)
	en, ok := (*ej.ejected.Load())[server]
	if !ok {
		return 1
	}
	return en.weight(now)
}

// recheck readmits servers whose ejection leaves too few replicas because other
// replicas have disappeared since.
func (ej *Ejector) recheck(now time.Time) {
	ej.mu.Lock()
	defer ej.mu.Unlock()
	if now.Sub(ej.lastRecheck) < recheckInterval {
		return
	}
	ej.lastRecheck = now
	ej.removeExpired(now)
	for server := range *ej.ejected.Load() {
		groups := ej.replicas(server)
		if len(groups) > 0 && !ej.floorAllows(server, groups) {
			ej.replaceEjected(func(all map[string]ejection) { delete(all, server) })
			ej.registry.Inc("ejection", "restored")
		}
	}
}

// weight returns 0 until the ejection ends, then a weight that rises to 1.
func (en ejection) weight(now time.Time) float64 {
	sinceEnd := now.Sub(en.until)
	if sinceEnd < 0 {
		return 0
	}
	return min(1, initialWeight+(1-initialWeight)*float64(sinceEnd)/float64(rampTime))
}

// Succeeded counts a complete response of the server.
func (ej *Ejector) Succeeded(server string) {
	ej.mu.Lock()
	defer ej.mu.Unlock()
	now := ej.clock()
	ej.removeExpired(now)
	hs := ej.historyOf(server)
	hs.count(0)
	hs.consecutive = 0
	if _, found := (*ej.ejected.Load())[server]; !found && hs.rate < failureRateLimit/2 {
		hs.ejections = 0
	}
}

// Failed counts a failure of the server and ejects the server after too many,
// if enough replicas remain.
func (ej *Ejector) Failed(server string) {
	ej.mu.Lock()
	defer ej.mu.Unlock()
	now := ej.clock()
	ej.removeExpired(now)
	hs := ej.historyOf(server)
	hs.count(1)
	hs.consecutive++
	if en, found := (*ej.ejected.Load())[server]; found && now.Before(en.until) {
		return
	}
	if hs.consecutive < consecutiveLimit && (hs.samples < minRateSamples || hs.rate < failureRateLimit) {
		return
	}
	ej.eject(server, hs, now)
}

// Forget readmits the servers and forgets their results, because the node was at fault.
func (ej *Ejector) Forget(servers []string) {
	ej.mu.Lock()
	defer ej.mu.Unlock()
	for _, server := range servers {
		delete(ej.servers, server)
	}
	ej.replaceEjected(func(all map[string]ejection) {
		for _, server := range servers {
			delete(all, server)
		}
	})
}

func (hs *history) count(failure float64) {
	hs.samples++
	hs.rate += rateSmoothing * (failure - hs.rate)
}

func (ej *Ejector) historyOf(server string) *history {
	hs, ok := ej.servers[server]
	if !ok {
		hs = &history{}
		ej.servers[server] = hs
	}
	return hs
}

// eject ejects the server if enough replicas remain, and resets its results.
func (ej *Ejector) eject(server string, hs *history, now time.Time) {
	groups := ej.replicas(server)
	if !ej.floorAllows(server, groups) {
		ej.registry.Inc("ejection", "held")
		return
	}
	duration := baseEjection << min(hs.ejections, maxDoublings)
	duration = min(duration, maxEjection)
	duration += time.Duration(ej.random.Int64N(int64(duration)/2 + 1))
	hs.ejections++
	hs.consecutive, hs.samples, hs.rate = 0, 0, 0
	models := make([]string, 0, len(groups))
	for model := range groups {
		models = append(models, model)
	}
	ej.replaceEjected(func(all map[string]ejection) { all[server] = ejection{now.Add(duration), models} })
	ej.registry.Inc("ejection", "out")
}

// floorAllows reports whether each model keeps at least half of its replicas,
// and at least one, if the server is ejected too. Ejected servers count as
// replicas even when they are no longer listed. Otherwise half of the remaining
// servers could be ejected after the failing half disappears from the list.
func (ej *Ejector) floorAllows(server string, groups map[string][]string) bool {
	ejected := *ej.ejected.Load()
	for model, listed := range groups {
		members := map[string]bool{server: true}
		for _, name := range listed {
			members[name] = true
		}
		ejectedCount := 1
		for name, en := range ejected {
			if name != server && en.hasModel(model) {
				members[name] = true
				ejectedCount++
			}
		}
		if len(members)-ejectedCount < max(1, (len(members)+1)/2) {
			return false
		}
	}
	return len(groups) > 0
}

func (en ejection) hasModel(model string) bool {
	for _, name := range en.models {
		if name == model {
			return true
		}
	}
	return false
}

// removeExpired removes the ejections whose ramp is over.
func (ej *Ejector) removeExpired(now time.Time) {
	for server, en := range *ej.ejected.Load() {
		if now.Sub(en.until) >= rampTime {
			ej.replaceEjected(func(all map[string]ejection) { delete(all, server) })
		}
	}
}

// replaceEjected replaces the map of ejections by an edited copy.
func (ej *Ejector) replaceEjected(edit func(map[string]ejection)) {
	next := map[string]ejection{}
	for name, en := range *ej.ejected.Load() {
		next[name] = en
	}
	edit(next)
	ej.ejected.Store(&next)
}
