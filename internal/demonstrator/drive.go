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
	// probeInterval is the time between two probes of a model.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 5 * time.Second
)

// APIKey returns the API key of a caller of the examples.
func APIKey(name string) string { return "example-key-" + name }

// AwaitReady waits up to three minutes until every model answers through every
// node. It calls progress with the number of models that do. The error names
// the first model that doesn't.
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
		err := dm.Probe(ctx, address, model)
		if err == nil {
			return nil
		}
		tm := time.NewTimer(probeInterval)
		select {
		case <-ctx.Done():
			tm.Stop()
			return err
		case <-tm.C:
		}
	}
}

// Probe requests a completion of one token by a model or an adapter from one
// node. It returns nil if the answer is whole.
func (dm *Demo) Probe(ctx context.Context, address, model string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	body := caller.Completion{Model: model, MaxTokens: 1, Messages: []caller.Message{{Role: "user", Content: "hello"}}}
	_, err := dm.client(address).Complete(ctx, body)
	return err
}

// client returns a client that uses one node only.
func (dm *Demo) client(address string) *caller.Client {
	return caller.New(nil, caller.WithKey(APIKey(dm.settings.Callers()[0].Name())),
		caller.WithAddresses("http://"+address), caller.WithAttempts(1))
}

// Drive sends the deployment's traffic, measures the answers and checks the
// invariants. The error is that of the bencher's driver; violations are in the
// result.
func (dm *Demo) Drive(ctx context.Context, opts ...bencher.DriverOption) (*bencher.Result, error) {
	before := dm.counters()
	loadsBefore := dm.weights.Loads()
	cpuBefore := cpuTime()
	urls := make([]string, 0, len(dm.nodes))
	for _, address := range dm.Addresses() {
		urls = append(urls, "http://"+address)
	}
	rs, err := bencher.NewDriver(dm.settings, dm.deployment, urls, APIKey, opts...).Drive(ctx)
	if err != nil {
		return nil, err
	}
	counters := dm.counters()
	for name, count := range before {
		counters[name] -= count
	}
	rs.SetSystemFigures(len(dm.nodes), dm.weights.Loads()-loadsBefore, nonZero(counters), memoryInUse(), cpuTime()-cpuBefore)
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

// nonZero returns the counters that aren't 0.
func nonZero(counters map[string]int64) map[string]int64 {
	changed := map[string]int64{}
	for name, count := range counters {
		if count != 0 {
			changed[name] = count
		}
	}
	return changed
}

// checkInvariants adds the violations that the nodes' own checks and the
// stand-ins recorded.
func (dm *Demo) checkInvariants(rs *bencher.Result) {
	for _, vl := range checker.Violations() {
		rs.AddViolation("%s: %s", vl.Invariant, vl.Detail)
	}
	for name, eg := range dm.engines {
		if count := eg.Overcommits(); count > 0 {
			rs.AddViolation("%s: %s was overcommitted %d times", checker.MemoryWithinCapacity, name, count)
		}
	}
	for name, sv := range dm.services {
		if count := sv.Duplicates(); count > 0 {
			rs.AddViolation("%s: service %s ran %d bookings more than once", checker.AtMostOnce, name, count)
		}
	}
	dm.checkWeightStore(rs)
}

// checkWeightStore adds violations of the weight store's limits. It skips
// instant loads, for which those limits are lifted.
func (dm *Demo) checkWeightStore(rs *bencher.Result) {
	if dm.instantLoads {
		return
	}
	limits := dm.settings.Limits()
	if peak := dm.weights.PeakModelLoads(); peak > limits.WeightLoadsAtOnce() {
		rs.AddViolation("%s: %d models were loaded at once, allowed are %d", checker.WithinSharedLimit, peak, limits.WeightLoadsAtOnce())
	}
	if peak := dm.weights.PeakAdapterLoads(); peak > limits.AdaptersInTransit() {
		rs.AddViolation("%s: %d adapters were in transit, allowed are %d", checker.WithinSharedLimit, peak, limits.AdaptersInTransit())
	}
}

// memoryInUse returns the bytes that the Go runtime obtained from the system.
func memoryInUse() uint64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.Sys
}

// cpuTime returns the user and system CPU time of the process, or 0 if it is
// unknown.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
