// Package soaker runs whole entry nodes against stand-ins of everything around
// them, with traffic and faults drawn from a seed, and checks from the outside
// what must always hold.
//
// # Usage
//
//	sk := soaker.New(7, soaker.WithNodes(4), soaker.WithLength(time.Minute))
//	rp := sk.Run(ctx)
//	for _, fd := range rp.Findings() { fmt.Println(fd) }
//
// The nodes are those of package runner, on the network of package connector.
// A run takes the clock as it finds it: in a bubble of testing/synctest it is
// the controlled one, elsewhere real time passes. The seed draws the plan of
// the run: what is sent, what fails, when and for how long. The nodes' own
// random numbers and the order of goroutines are not drawn from it, so that a
// seed gives the same plan again but not always the same interleaving.
package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of a run.
const (
	defaultNodes  = 4
	defaultLength = time.Minute
	// maxStep is the longest time between two actions.
	maxStep = 300 * time.Millisecond
	// defaultPart is the part of the actions that are faults.
	defaultPart = 0.15
)

// Soaker is one run.
type Soaker struct {
	seed   uint64
	nodes  int
	length time.Duration
	faults []Fault
	part   float64
	linger time.Duration
	tweak  func(*world)

	random *rand.Rand
	world  *world
	report *Report
	work   sync.WaitGroup
}

// Option changes a Soaker that is being made.
type Option func(*Soaker)

// WithNodes sets the number of entry nodes.
func WithNodes(count int) Option { return func(sk *Soaker) { sk.nodes = count } }

// WithLength sets how long traffic and faults go on.
func WithLength(dn time.Duration) Option { return func(sk *Soaker) { sk.length = dn } }

// WithFaults sets the faults that are drawn from; without it, all are.
func WithFaults(faults ...Fault) Option { return func(sk *Soaker) { sk.faults = faults } }

// WithFaultPart sets the part of the actions that are faults, from 0 to 1.
func WithFaultPart(part float64) Option { return func(sk *Soaker) { sk.part = part } }

// WithLinger sets how long the run waits at its end for what nodes that were
// killed still have running. A bubble of testing/synctest needs that.
func WithLinger(dn time.Duration) Option { return func(sk *Soaker) { sk.linger = dn } }

// withTweak changes the stand-ins before the traffic begins.
func withTweak(tweak func(*world)) Option { return func(sk *Soaker) { sk.tweak = tweak } }

// New returns a run that is drawn from the seed.
func New(seed uint64, opts ...Option) *Soaker {
	sk := &Soaker{
		seed:   seed,
		nodes:  defaultNodes,
		length: defaultLength,
		faults: AllFaults(),
		part:   defaultPart,
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	for _, opt := range opts {
		opt(sk)
	}
	return sk
}

// Run runs to the end and returns what was found.
func (sk *Soaker) Run(ctx context.Context) *Report {
	sk.report = newReport(sk.seed)
	wd, err := newWorld(ctx, sk.nodes, sk.report)
	if err != nil {
		sk.report.find(NotStarted, "%v", err)
		return sk.report
	}
	sk.world = wd
	defer wd.close(sk.linger)
	if !wd.awaitReachable(ctx) {
		sk.report.find(Unreachable, "at the start: %s", wd.unreachable(ctx))
		return sk.report
	}
	if sk.tweak != nil {
		sk.tweak(wd)
	}
	sk.act(ctx)
	wd.recover()
	sk.work.Wait()
	sk.settle(ctx)
	return sk.report
}

// act sends traffic and causes faults until the length of the run is over.
func (sk *Soaker) act(ctx context.Context) {
	end := time.Now().Add(sk.length)
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(sk.random.Int64N(int64(maxStep))))
		if len(sk.faults) > 0 && sk.random.Float64() < sk.part {
			sk.cause(sk.faults[sk.random.IntN(len(sk.faults))])
			continue
		}
		sk.send(ctx)
	}
}

// settle checks what holds once all faults have ended, and stops the nodes.
func (sk *Soaker) settle(ctx context.Context) {
	wd := sk.world
	if !wd.awaitReachable(ctx) {
		sk.report.find(Unreachable, "after all faults: %s", wd.unreachable(ctx))
	}
	wd.awaitLatest(ctx)
	wd.checkJobs(ctx)
	sk.stopNodes(ctx)
	wd.check()
}

// draw returns a random duration up to the bound.
func (sk *Soaker) draw(bound time.Duration) time.Duration {
	return time.Duration(sk.random.Int64N(int64(bound)) + 1)
}
