package demonstrator

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/bencher"
	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/pkg/caller"
)

const (
	// readyTimeout bounds the wait for all models at the start.
	readyTimeout = 3 * time.Minute
	// readyInterval is the time between two looks.
	readyInterval = 200 * time.Millisecond
	// askTimeout bounds one question whether a model is reachable.
	askTimeout = 5 * time.Second
)

// Key returns the API key of a caller of the examples.
func Key(name string) string { return "example-key-" + name }

// AwaitReady waits until every model answers through every node, and calls
// progress with the number of models that do.
func (dm *Demo) AwaitReady(ctx context.Context, progress func(ready, all int)) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	models := dm.settings.Models()
	for ix, md := range models {
		progress(ix, len(models))
		for _, address := range dm.Addresses() {
			if err := dm.awaitModel(ctx, address, md.Name()); err != nil {
				return errors.Wrapf(err, "model %q is not reachable", md.Name())
			}
		}
	}
	progress(len(models), len(models))
	return nil
}

func (dm *Demo) awaitModel(ctx context.Context, address, model string) error {
	for {
		err := dm.Ask(ctx, address, model)
		if err == nil {
			return nil
		}
		tm := time.NewTimer(readyInterval)
		select {
		case <-ctx.Done():
			tm.Stop()
			return err
		case <-tm.C:
		}
	}
}

// Ask asks one node for a short completion by a model or an adapter.
func (dm *Demo) Ask(ctx context.Context, address, model string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body := caller.Completion{Model: model, MaxTokens: 1, Messages: []caller.Message{{Role: "user", Content: "hello"}}}
	_, err := dm.client(address).Complete(ctx, body)
	return err
}

// client returns a client that uses one node only.
func (dm *Demo) client(address string) *caller.Client {
	return caller.New(nil, caller.WithKey(Key(dm.settings.Callers()[0].Name())),
		caller.WithAddresses("http://"+address), caller.WithAttempts(1))
}

// Drive sends the deployment's traffic, measures the answers and checks the
// invariants.
func (dm *Demo) Drive(ctx context.Context, opts ...bencher.DriverOption) (*bencher.Result, error) {
	before := dm.counters()
	loads := dm.weights.Loads()
	spent := processorTime()
	seeds := make([]string, 0, len(dm.nodes))
	for _, address := range dm.Addresses() {
		seeds = append(seeds, "http://"+address)
	}
	rs, err := bencher.NewDriver(dm.settings, dm.deployment, seeds, Key, opts...).Drive(ctx)
	if err != nil {
		return nil, err
	}
	counters := dm.counters()
	for name, count := range before {
		counters[name] -= count
	}
	rs.SetSystem(len(dm.nodes), dm.weights.Loads()-loads, interesting(counters), memoryInUse(), processorTime()-spent)
	dm.checkInvariants(rs)
	return rs, nil
}

// counters sums the counters of all nodes.
func (dm *Demo) counters() map[string]int64 {
	sums := map[string]int64{}
	for _, en := range dm.nodes {
		for name, count := range en.node.Values() {
			sums[name] += count
		}
	}
	return sums
}

// interesting leaves out counters that did not move.
func interesting(counters map[string]int64) map[string]int64 {
	moved := map[string]int64{}
	for name, count := range counters {
		if count != 0 {
			moved[name] = count
		}
	}
	return moved
}

// checkInvariants adds what the program itself and the stand-ins saw broken.
func (dm *Demo) checkInvariants(rs *bencher.Result) {
	for _, vl := range checker.Violations() {
		rs.AddBroken("%s: %s", vl.Invariant, vl.Detail)
	}
	for name, eg := range dm.engines {
		if count := eg.Overcommits(); count > 0 {
			rs.AddBroken("%s: %s was overcommitted %d times", checker.MemoryWithinCapacity, name, count)
		}
	}
	for name, sv := range dm.services {
		if count := sv.Duplicates(); count > 0 {
			rs.AddBroken("%s: service %s ran %d bookings more than once", checker.AtMostOnce, name, count)
		}
	}
	dm.checkWeightStore(rs)
}

// checkWeightStore adds what the weight store saw beyond its limits. Loads that
// take no time say nothing about them.
func (dm *Demo) checkWeightStore(rs *bencher.Result) {
	if dm.instant {
		return
	}
	limits := dm.settings.Limits()
	if most := dm.weights.PeakModelLoads(); most > limits.WeightLoadsAtOnce() {
		rs.AddBroken("%s: %d models were loaded at once, allowed are %d", checker.WithinSharedLimit, most, limits.WeightLoadsAtOnce())
	}
	if most := dm.weights.PeakAdapterLoads(); most > limits.AdaptersInTransit() {
		rs.AddBroken("%s: %d adapters were in transit, allowed are %d", checker.WithinSharedLimit, most, limits.AdaptersInTransit())
	}
}

func memoryInUse() uint64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.Sys
}

// processorTime returns the time that the process has spent on processors.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
