// Package soaker runs whole entry nodes against stand-ins of the systems around
// them, with random traffic and faults drawn from a seed, and checks the
// system's invariants from the outside.
//
// # Usage
//
//	sk := soaker.New(7, soaker.WithNodes(4), soaker.WithLength(time.Minute))
//	rp := sk.Run(ctx)
//	for _, fd := range rp.Findings() { fmt.Println(fd) }
//
// The nodes are those of package runner, on the network of package connector.
// A run uses the clock of package time: the fake clock in a bubble of
// testing/synctest, real time elsewhere. The seed determines the plan of the
// run: the requests, the faults, their times and durations. It determines neither
// the nodes' own random numbers nor the order of goroutines, so that a seed
// reproduces the plan but not always the interleaving.
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
	// maxActionGap is the maximum time between two actions.
	maxActionGap = 300 * time.Millisecond
	// defaultFaultShare is the share of actions that are faults.
	defaultFaultShare = 0.15
)

// Soaker is one run.
type Soaker struct {
	seed       uint64
	nodes      int            // number of entry nodes at the start
	length     time.Duration  // duration of the traffic and faults
	faults     []Fault        // kinds of faults to draw from
	faultShare float64        // share of actions that are faults, from 0 to 1
	linger     time.Duration  // wait at the end for goroutines of killed nodes
	prepare    func(*cluster) // runs before the traffic begins; may be nil
	fatal      time.Duration  // time between two requests that crash engines; 0 for none

	random  *rand.Rand
	cluster *cluster
	report  *Report
	work    sync.WaitGroup // running actions and faults
}

// Option configures a Soaker.
type Option func(*Soaker)

// WithNodes sets the number of entry nodes. The default is 4.
func WithNodes(count int) Option { return func(sk *Soaker) { sk.nodes = count } }

// WithLength sets the duration of the traffic and faults. The default is a minute.
func WithLength(dn time.Duration) Option { return func(sk *Soaker) { sk.length = dn } }

// WithFaults sets the kinds of faults to draw from, none if faults is empty. The
// default is all kinds.
func WithFaults(faults ...Fault) Option { return func(sk *Soaker) { sk.faults = faults } }

// WithFaultShare sets the share of actions that are faults, from 0 to 1. The
// default is 0.15.
func WithFaultShare(faultShare float64) Option {
	return func(sk *Soaker) { sk.faultShare = faultShare }
}

// WithFatalRequest has one request that crashes engines sent at each interval, to
// one node after the other.
func WithFatalRequest(interval time.Duration) Option {
	return func(sk *Soaker) { sk.fatal = interval }
}

// WithLinger sets how long the run waits at its end for the goroutines of
// killed nodes, none by default. A bubble of testing/synctest must not end
// before they do.
func WithLinger(dn time.Duration) Option { return func(sk *Soaker) { sk.linger = dn } }

// withPreparation sets a function that changes the stand-ins before the traffic
// begins.
func withPreparation(prepare func(*cluster)) Option { return func(sk *Soaker) { sk.prepare = prepare } }

// New returns a run whose plan is drawn from the seed.
func New(seed uint64, opts ...Option) *Soaker {
	sk := &Soaker{
		seed:       seed,
		nodes:      defaultNodes,
		length:     defaultLength,
		faults:     AllFaults(),
		faultShare: defaultFaultShare,
		random:     rand.New(rand.NewPCG(seed, 0)),
	}
	for _, opt := range opts {
		opt(sk)
	}
	return sk
}

// Run starts the nodes, sends traffic and injects faults for the length of the
// run, checks the invariants and returns the report.
func (sk *Soaker) Run(ctx context.Context) *Report {
	sk.report = newReport(sk.seed)
	cl, err := newCluster(ctx, sk.nodes, sk.report)
	if err != nil {
		sk.report.addFinding(NotStarted, "%v", err)
		return sk.report
	}
	sk.cluster = cl
	defer cl.close(sk.linger)
	if !cl.awaitReachable(ctx) {
		sk.report.addFinding(Unreachable, "at the start: %s", cl.unreachable(ctx))
		return sk.report
	}
	if sk.prepare != nil {
		sk.prepare(cl)
	}
	sk.runActions(ctx)
	cl.recover()
	sk.work.Wait()
	sk.checkAfterFaults(ctx)
	return sk.report
}

// runActions sends traffic and injects faults for the length of the run.
func (sk *Soaker) runActions(ctx context.Context) {
	end := time.Now().Add(sk.length)
	if sk.fatal > 0 {
		sk.work.Go(func() { sk.sendFatal(ctx, end) })
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(sk.random.Int64N(int64(maxActionGap))))
		if len(sk.faults) > 0 && sk.random.Float64() < sk.faultShare {
			sk.injectFault(sk.faults[sk.random.IntN(len(sk.faults))])
			continue
		}
		sk.sendTraffic(ctx)
	}
}

// sendFatal sends the request that crashes engines until the end.
func (sk *Soaker) sendFatal(ctx context.Context, end time.Time) {
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		time.Sleep(sk.fatal)
		sk.cluster.complete(ctx, sk.cluster.pickNode(number), fatalUser, models[0], maxTokens)
	}
	sk.report.count("fatal.sent")
}

// checkAfterFaults checks the invariants that hold once all faults have ended,
// and stops the nodes.
func (sk *Soaker) checkAfterFaults(ctx context.Context) {
	cl := sk.cluster
	if !cl.awaitReachable(ctx) {
		sk.report.addFinding(Unreachable, "after all faults: %s", cl.unreachable(ctx))
	}
	cl.awaitLatestRevision(ctx)
	cl.checkJobs(ctx)
	sk.stopNodes(ctx)
	cl.checkObservations()
}

// draw returns a random positive duration up to the bound.
func (sk *Soaker) draw(bound time.Duration) time.Duration {
	return time.Duration(sk.random.Int64N(int64(bound)) + 1)
}
