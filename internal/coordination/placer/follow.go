package placer

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/planner"
	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// randomPeers is the number of random peers that a fetch asks before it asks
	// the holder and the store.
	randomPeers = 2
	// fetchRetryDelay is the mean delay before the retry of a failed fetch.
	fetchRetryDelay = 3 * time.Second
)

// noteVersion records that a plan of the version exists.
func (pc *Placer) noteVersion(vn gossiper.Version) {
	if vn.Newer(pc.newest) {
		pc.newest = vn
	}
}

// fetchNewer fetches the plan if a newer one exists or none is in force.
func (pc *Placer) fetchNewer(ctx context.Context, now time.Time) {
	if vn, _, ok := pc.gossip.Get(storeKey); ok {
		pc.noteVersion(vn)
	}
	rc := pc.Current()
	if rc != nil && !pc.newest.Newer(versionOf(rc)) || now.Before(pc.nextFetch) {
		return
	}
	if rc := pc.fetch(ctx); rc != nil {
		pc.install(rc)
		return
	}
	pc.registry.Inc("plan", "not-fetched")
	pc.nextFetch = now.Add(fetchRetryDelay/2 + time.Duration(pc.random.Int64N(int64(fetchRetryDelay))))
}

// fetch asks random peers, then the node that should hold the plan, then the
// store. It returns the record from the first that has it, or nil.
func (pc *Placer) fetch(ctx context.Context) *planner.Record {
	for _, mb := range pc.sources() {
		if rc := pc.fetchFrom(ctx, mb.PeerAddress); rc != nil {
			return rc
		}
	}
	en, err := pc.store.Get(ctx, storeKey)
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
		if mb.ID != pc.self && mb.State != prober.Dead && len(all) < randomPeers {
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
	call := &messenger.PlanFetch{Epoch: pc.newest.Epoch, Number: pc.newest.Seq}
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

// load returns the stored record and its revision, or nil and 0 if there is
// none.
func (pc *Placer) load(ctx context.Context) (*planner.Record, int64, error) {
	en, err := pc.store.Get(ctx, storeKey)
	if storer.Is(err, storer.NotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	rc, err := planner.DecodeRecord(en.Value)
	return rc, en.Revision, err
}
