package placer

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// strangers is how many peers are asked before the holder and the store.
	strangers = 2
	// fetchDelay is the mean time until a fetch that failed is tried again.
	fetchDelay = 3 * time.Second
)

// want notes that there is a plan of that version.
func (pc *Placer) want(vn spreader.Version) {
	if vn.Newer(pc.wanted) {
		pc.wanted = vn
	}
}

// follow fetches the plan if there is a newer one, or none in force.
func (pc *Placer) follow(ctx context.Context, now time.Time) {
	if vn, _, ok := pc.spread.Get(key); ok {
		pc.want(vn)
	}
	rc := pc.Current()
	if rc != nil && !pc.wanted.Newer(versionOf(rc)) || now.Before(pc.nextFetch) {
		return
	}
	if rc := pc.fetch(ctx); rc != nil {
		pc.install(rc)
		return
	}
	pc.registry.Inc("plan", "not-fetched")
	pc.nextFetch = now.Add(fetchDelay/2 + time.Duration(pc.random.Int64N(int64(fetchDelay))))
}

// fetch asks some peers, then the node that should hold the plan, and then the
// store.
func (pc *Placer) fetch(ctx context.Context) *planner.Record {
	for _, mb := range pc.sources() {
		if rc := pc.fetchFrom(ctx, mb.PeerAddress); rc != nil {
			return rc
		}
	}
	en, err := pc.store.Get(ctx, key)
	if err != nil {
		return nil
	}
	return pc.decode(en.Value)
}

func (pc *Placer) decode(value []byte) *planner.Record {
	rc, err := planner.DecodeRecord(value)
	if err != nil {
		pc.registry.Inc("plan", "corrupt")
		return nil
	}
	return rc
}

func (pc *Placer) sources() []prober.Member {
	vw := pc.view()
	var all []prober.Member
	for _, ix := range pc.random.Perm(len(vw.Members())) {
		mb := vw.Members()[ix]
		if mb.ID != pc.self && mb.State != prober.Dead && len(all) < strangers {
			all = append(all, mb)
		}
	}
	if owner, ok := vw.Owner(Resource); ok && owner.ID != pc.self {
		all = append(all, owner)
	}
	return all
}

func (pc *Placer) fetchFrom(ctx context.Context, address string) *planner.Record {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := &messenger.PlanFetch{Epoch: pc.wanted.Epoch, Number: pc.wanted.Seq}
	answer, err := pc.caller.Call(ctx, address, call)
	if err != nil {
		return nil
	}
	fetched, ok := answer.(*messenger.PlanFetched)
	if !ok || len(fetched.Record) == 0 {
		return nil
	}
	return pc.decode(fetched.Record)
}

// load reads the record from the store. There may be none.
func (pc *Placer) load(ctx context.Context) (*planner.Record, int64, error) {
	en, err := pc.store.Get(ctx, key)
	if storer.Is(err, storer.NotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	rc, err := planner.DecodeRecord(en.Value)
	return rc, en.Revision, err
}
