package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Kind is what an arrival asks for.
type Kind int

// The kinds of arrivals.
const (
	// Completion is a streamed completion.
	Completion Kind = iota
	// Booking is a non-idempotent call of a plain service, with a key.
	Booking
	// Lookup is a call of a plain service that may be repeated.
	Lookup
)

const (
	// bookingPart and lookupPart are the parts of arrivals that go to plain
	// services.
	bookingPart = 0.05
	lookupPart  = 0.10
	// adapterPart is the part of completions that ask for an adapter.
	adapterPart = 0.25
	// handbooks is the number of shared prompts of each model.
	handbooks = 4
	// leastTokens and mostTokens bound the length of answers.
	leastTokens = 4
	mostTokens  = 48
	// surgeFactor is how far demand for one model rises, and surgeTime how
	// long the rise lasts.
	surgeFactor = 10.0
	surgeTime   = 10 * time.Second
)

// Arrival is one request of a drive.
type Arrival struct {
	at       time.Duration
	kind     Kind
	caller   string
	class    string
	model    string
	service  string
	number   int
	tokens   int
	handbook int
}

// At returns the time of the arrival since the start of the drive.
func (ar Arrival) At() time.Duration { return ar.at }

// Class returns the priority class.
func (ar Arrival) Class() string { return ar.class }

// NewArrivals returns the open-loop arrivals of a deployment from a seed: a
// Poisson process with the deployment's mix of callers, classes and models, in
// which the demand for one model after the other rises tenfold.
func NewArrivals(st *configurer.Settings, perSecond float64, length time.Duration, seed uint64) []Arrival {
	ga := &generator{settings: st, random: rand.New(rand.NewPCG(seed, 2))}
	ga.prepare()
	var all []Arrival
	at := time.Duration(0)
	for {
		gap := -math.Log(1-ga.random.Float64()) / perSecond
		at += time.Duration(gap * float64(time.Second))
		if at >= length {
			return all
		}
		all = append(all, ga.arrival(at, len(all)))
	}
}

// generator draws arrivals.
type generator struct {
	settings *configurer.Settings
	random   *rand.Rand
	models   []*configurer.Model
	adapters map[string][]string
	callers  []*configurer.Caller
	weights  []float64
	surges   []int
}

func (ga *generator) prepare() {
	ga.models = ga.settings.Models()
	ga.adapters = map[string][]string{}
	for _, ad := range ga.settings.Adapters() {
		ga.adapters[ad.Model()] = append(ga.adapters[ad.Model()], ad.Name())
	}
	for _, cr := range ga.settings.Callers() {
		if cr.DefaultClass() != "" {
			ga.callers = append(ga.callers, cr)
			ga.weights = append(ga.weights, cr.Quota())
		}
	}
	ga.surges = ga.random.Perm(len(ga.models))
}

func (ga *generator) arrival(at time.Duration, number int) Arrival {
	cr := ga.callers[ga.draw(ga.weights)]
	ar := Arrival{at: at, number: number, caller: cr.Name(), class: cr.DefaultClass()}
	services := ga.settings.Services()
	switch point := ga.random.Float64(); {
	case len(services) > 0 && point < bookingPart:
		ar.kind, ar.service = Booking, services[0].Name()
	case len(services) > 0 && point < bookingPart+lookupPart:
		ar.kind, ar.service = Lookup, services[0].Name()
	default:
		ga.completion(&ar)
	}
	return ar
}

func (ga *generator) completion(ar *Arrival) {
	weights := make([]float64, len(ga.models))
	surging := ga.surges[int(ar.at/surgeTime)%len(ga.surges)]
	for ix, md := range ga.models {
		weights[ix] = md.Share()
		if ix == surging {
			weights[ix] *= surgeFactor
		}
	}
	ar.model = ga.models[ga.draw(weights)].Name()
	if names := ga.adapters[ar.model]; len(names) > 0 && ga.random.Float64() < adapterPart {
		ar.model = names[ga.random.IntN(len(names))]
	}
	ar.tokens = leastTokens + ga.random.IntN(mostTokens-leastTokens)
	ar.handbook = ga.random.IntN(handbooks)
}

// draw returns an index with a probability in proportion to its weight.
func (ga *generator) draw(weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	point := ga.random.Float64() * total
	for ix, weight := range weights {
		if point -= weight; point < 0 {
			return ix
		}
	}
	return len(weights) - 1
}

// key returns an idempotency key's text and body for a booking.
func (ar Arrival) bookingBody() string { return fmt.Sprintf("booking-%d", ar.number) }
