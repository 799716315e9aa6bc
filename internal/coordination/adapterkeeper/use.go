package adapterkeeper

import (
	"context"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// renewalsPerLease is how many times a lease in use is renewed per lease time.
const renewalsPerLease = 3

// renewAll renews the leases of all adapters in use with one message. If the
// message is lost, the owner may unload an adapter in use, which the engine
// does only after its requests have ended.
func (kp *Keeper) renewAll(ctx context.Context) {
	used, sent := kp.inUse()
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
		ctx, cancel := context.WithTimeout(ctx, kp.lease/renewalsPerLease)
		defer cancel()
		if _, err := kp.peers.Call(ctx, address, &messenger.AdapterUse{Used: used}); err != nil {
			kp.registry.Inc("adapter", "use-untold")
			return
		}
	}
	kp.extendLeases(used, sent)
}

// inUse returns the adapters that requests of this node use, and deletes
// expired leases.
func (kp *Keeper) inUse() (used []messenger.AdapterAt, now time.Time) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	now = kp.now()
	for tg, ls := range kp.leases {
		switch {
		case ls.requestDone != nil:
		case ls.active > 0 && ls.err == nil:
			used = append(used, messenger.AdapterAt{Server: tg.server, Adapter: tg.adapter})
		case ls.active == 0 && !now.Before(ls.until):
			delete(kp.leases, tg)
		}
	}
	return used, now
}

// extendLeases restarts the leases at the time of the message to the owner.
func (kp *Keeper) extendLeases(used []messenger.AdapterAt, sent time.Time) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	for _, at := range used {
		if ls, ok := kp.leases[target{at.Server, at.Adapter}]; ok && kp.now().Before(ls.until) {
			ls.until = sent.Add(kp.lease - kp.lease/useMarginDivisor)
		}
	}
}

// HandleUse renews a peer's leases of adapters on servers of this node.
func (kp *Keeper) HandleUse(call *messenger.AdapterUse) *messenger.AdapterUsed {
	for _, at := range call.Used {
		sv := kp.server(at.Server)
		sv.mu.Lock()
		if en, ok := sv.table.entries[at.Adapter]; ok {
			now := kp.now()
			lease := kp.lease
			if sv.table.yields(now, at.Adapter) {
				// Long enough for the next renewal, while requests run.
				lease /= 2
			}
			en.use(now)
			en.leasedUntil = now.Add(lease)
		}
		sv.mu.Unlock()
	}
	return &messenger.AdapterUsed{}
}
