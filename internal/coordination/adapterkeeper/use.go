package adapterkeeper

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// useRenewals is how many times a lease in use is renewed in its time.
const useRenewals = 3

// tellUse renews the leases of all adapters in use. A message that is lost
// costs time at the most: the owner may unload what is in use, which an engine
// does once its requests have ended.
func (kp *Keeper) tellUse(ctx context.Context) {
	used, asked := kp.inUse()
	if len(used) == 0 {
		return
	}
	address, self, ok := kp.view().ServerOwner(used[0].Server)
	if !ok {
		return
	}
	if self {
		kp.HandleUse(&messenger.AdapterUse{Used: used})
	} else {
		ctx, cancel := context.WithTimeout(ctx, kp.lease/useRenewals)
		defer cancel()
		if _, err := kp.peers.Call(ctx, address, &messenger.AdapterUse{Used: used}); err != nil {
			kp.registry.Inc("adapter", "use-untold")
			return
		}
	}
	kp.extend(used, asked)
}

// inUse returns the adapters that requests of this node use, and forgets leases
// that ended.
func (kp *Keeper) inUse() (used []messenger.AdapterAt, now time.Time) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	now = kp.now()
	for tg, ls := range kp.leases {
		switch {
		case ls.asking != nil:
		case ls.active > 0 && ls.err == nil:
			used = append(used, messenger.AdapterAt{Server: tg.server, Adapter: tg.adapter})
		case ls.active == 0 && !now.Before(ls.until):
			delete(kp.leases, tg)
		}
	}
	return used, now
}

// extend lets the leases count from when the owner was told.
func (kp *Keeper) extend(used []messenger.AdapterAt, told time.Time) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	for _, at := range used {
		if ls, ok := kp.leases[target{at.Server, at.Adapter}]; ok && kp.now().Before(ls.until) {
			ls.until = told.Add(kp.lease - kp.lease/useDivisor)
		}
	}
}

// HandleUse answers a peer that uses adapters on servers of this node.
func (kp *Keeper) HandleUse(call *messenger.AdapterUse) *messenger.AdapterUsed {
	for _, at := range call.Used {
		sv := kp.server(at.Server)
		sv.mu.Lock()
		if en, ok := sv.table.entries[at.Adapter]; ok {
			now := kp.now()
			en.used, en.leased = now, now.Add(kp.lease)
		}
		sv.mu.Unlock()
	}
	return &messenger.AdapterUsed{}
}
