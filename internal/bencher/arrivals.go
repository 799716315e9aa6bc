package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// Kind is the kind of request of an arrival.
type Kind int

// The kinds of arrivals.
const (
	// Completion is a streamed completion.
	Completion Kind = iota
	// Booking is a non-idempotent call of a plain service, with an idempotency
	// key.
	Booking
	// Lookup is an idempotent call of a plain service.
	Lookup
)

const (
	// bookingFraction and lookupFraction are the fractions of arrivals that call
	// plain services.
	bookingFraction = 0.05
	lookupFraction  = 0.10
	// adapterFraction is the fraction of a model's completions that request one
	// of its adapters.
	adapterFraction = 0.25
	// sharedPromptsPerModel is the number of shared prompts of each model or
	// adapter.
	sharedPromptsPerModel = 4
	// minTokens and maxTokens bound the length of an answer; maxTokens is
	// excluded.
	minTokens = 4
	maxTokens = 48
	// surgeFactor multiplies the demand for one model during a surge, and
	// surgeDuration is the length of a surge.
	surgeFactor   = 10.0
	surgeDuration = 10 * time.Second
)

// Arrival is one request of a run.
type Arrival struct {
	at           time.Duration // since the start of the run
	kind         Kind
	caller       string
	class        string
	model        string // model or adapter of a completion
	service      string // plain service of a booking or lookup
	number       int    // position among the arrivals, from 0
	tokens       int    // length of the requested answer
	sharedPrompt int    // number of the shared prompt
}

// At returns the time of the arrival since the start of the run.
func (ar Arrival) At() time.Duration { return ar.at }

// Class returns the priority class.
func (ar Arrival) Class() string { return ar.class }

// NewArrivals returns the arrivals of a deployment, which are the same for the
// same seed: an open-loop Poisson process with the deployment's mix of callers,
// classes and models, in which the demand for one model after another rises
// tenfold.
func NewArrivals(st *configurer.Settings, perSecond float64, length time.Duration, seed uint64) []Arrival {
	ga := &generator{settings: st, random: rand.New(rand.NewPCG(seed, 2))}
	ga.prepare()
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		gap := -math.Log(1-ga.random.Float64()) / perSecond
		at += time.Duration(gap * float64(time.Second))
		if at >= length {
			return arrivals
		}
		arrivals = append(arrivals, ga.newArrival(at, len(arrivals)))
	}
}

// generator generates random arrivals.
type generator struct {
	settings   *configurer.Settings
	random     *rand.Rand
	models     []*configurer.Model
	adapters   map[string][]string // names of adapters by model
	callers    []*configurer.Caller
	weights    []float64 // quotas of callers
	surgeOrder []int     // indexes of models in the order of their surges
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
	ga.surgeOrder = ga.random.Perm(len(ga.models))
}

func (ga *generator) newArrival(at time.Duration, number int) Arrival {
	cr := ga.callers[ga.draw(ga.weights)]
	ar := Arrival{at: at, number: number, caller: cr.Name(), class: cr.DefaultClass()}
	services := ga.settings.Services()
	switch point := ga.random.Float64(); {
	case len(services) > 0 && point < bookingFraction:
		ar.kind, ar.service = Booking, services[0].Name()
	case len(services) > 0 && point < bookingFraction+lookupFraction:
		ar.kind, ar.service = Lookup, services[0].Name()
	default:
		ga.setCompletion(&ar)
	}
	return ar
}

// setCompletion makes the arrival a completion by a random model or adapter.
func (ga *generator) setCompletion(ar *Arrival) {
	weights := make([]float64, len(ga.models))
	surging := ga.surgeOrder[int(ar.at/surgeDuration)%len(ga.surgeOrder)]
	for ix, md := range ga.models {
		weights[ix] = md.Share()
		if ix == surging {
			weights[ix] *= surgeFactor
		}
	}
	ar.model = ga.models[ga.draw(weights)].Name()
	if names := ga.adapters[ar.model]; len(names) > 0 && ga.random.Float64() < adapterFraction {
		ar.model = names[ga.random.IntN(len(names))]
	}
	ar.tokens = minTokens + ga.random.IntN(maxTokens-minTokens)
	ar.sharedPrompt = ga.random.IntN(sharedPromptsPerModel)
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

// bookingBody returns the body of a booking, which is unique in a run.
func (ar Arrival) bookingBody() string { return fmt.Sprintf("booking-%d", ar.number) }
