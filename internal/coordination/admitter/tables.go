package admitter

import (
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// tableBuilder builds routing tables from the watcher's snapshots. It keeps the
// loads and prefix memories, by server name, from one table to the next.
type tableBuilder struct {
	loads    map[string]*router.Load
	prefixes map[string]*router.PrefixMemory
}

func newTableBuilder() *tableBuilder {
	return &tableBuilder{loads: map[string]*router.Load{}, prefixes: map[string]*router.PrefixMemory{}}
}

func (tb *tableBuilder) build(st *configurer.Settings, sn *watcher.Snapshot, nodes int, now time.Time) *router.Table {
	var targets []*router.Target
	for _, bs := range st.BackendServers() {
		rp, ok := sn.Report(bs.Name())
		if !ok {
			continue
		}
		targets = append(targets, tb.target(bs, rp, now))
	}
	return router.NewTable(targets, nodes)
}

func (tb *tableBuilder) target(bs *configurer.BackendServer, rp watcher.Report, now time.Time) *router.Target {
	ld := tb.load(bs.Name())
	switch {
	case rp.FromOwner:
		ld.Digest(rp.Others, rp.Users, rp.Taken)
		ld.SetOthersUse(router.Use{Backlog: rp.Backlog, Prefill: rp.Prefill, Slowness: rp.Slowness})
	case rp.WithoutLoad:
		// Without a digest the backlog of the other nodes is unknown.
		ld.SetOthersUse(router.Use{})
	default:
		ld.Report(rp.Running+rp.Waiting, reportedAt(rp, now))
	}
	tg := &router.Target{
		Name:        bs.Name(),
		Address:     rp.Address,
		Pool:        bs.Pool(),
		Zone:        bs.Zone(),
		Slots:       bs.Slots(),
		CacheTokens: bs.CacheTokens(),
		Role:        bs.Role(),
		Boot:        rp.BootID,
		Software:    rp.Software,
		Unsettled:   rp.Unsettled,
		Unlisted:    rp.Unlisted,
		Leaving:     rp.Leaving,
		Loading:     len(rp.Loading) > 0,
		Adapters:    map[string]bool{},
		Load:        ld,
		Prefixes:    tb.prefixMemory(bs.Name(), rp),
	}
	for model := range rp.Models {
		tg.Models = append(tg.Models, model)
	}
	slices.Sort(tg.Models)
	for _, adapter := range rp.Adapters {
		tg.Adapters[adapter] = true
	}
	return tg
}

func reportedAt(rp watcher.Report, now time.Time) time.Time {
	if rp.Taken.IsZero() {
		return now
	}
	return rp.Taken
}

func (tb *tableBuilder) load(name string) *router.Load {
	ld, ok := tb.loads[name]
	if !ok {
		ld = &router.Load{}
		tb.loads[name] = ld
	}
	return ld
}

func (tb *tableBuilder) prefixMemory(name string, rp watcher.Report) *router.PrefixMemory {
	pm, ok := tb.prefixes[name]
	if !ok {
		pm = router.NewPrefixMemory()
		tb.prefixes[name] = pm
	}
	pm.Apply(rp.BootID, rp.CacheEvents)
	return pm
}
