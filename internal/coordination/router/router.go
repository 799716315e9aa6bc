// Package router chooses the backend server for a request.
//
// # Usage
//
//	rt := router.New(rand.New(rand.NewPCG(seed, 0)))
//	name, ok := rt.Pick(candidates)
//	defer rt.Done(name)
package router

import (
	"math/rand/v2"
	"sync"
)

// Candidate is a backend server that can run a request.
type Candidate struct {
	// Name is the server's name.
	Name string
	// Load is the number of requests that its last report counted.
	Load int
	// Slots is the number of requests that it runs at full speed.
	Slots int
}

// Router remembers what its node dispatched.
type Router struct {
	mu       sync.Mutex
	random   *rand.Rand
	inFlight map[string]int
}

// New returns a router that draws from random.
func New(random *rand.Rand) *Router {
	return &Router{random: random, inFlight: map[string]int{}}
}

// Pick returns the less loaded of two candidates drawn at random and counts a
// request as dispatched to it, until Done.
func (rt *Router) Pick(candidates []Candidate) (string, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	best := candidates[rt.random.IntN(len(candidates))]
	other := candidates[rt.random.IntN(len(candidates))]
	if rt.pressure(other) < rt.pressure(best) {
		best = other
	}
	rt.inFlight[best.Name]++
	return best.Name, true
}

// Done says that a dispatched request ended.
func (rt *Router) Done(name string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.inFlight[name]--
}

func (rt *Router) pressure(cd Candidate) float64 {
	load := max(cd.Load, rt.inFlight[cd.Name])
	return float64(load) / float64(max(cd.Slots, 1))
}
