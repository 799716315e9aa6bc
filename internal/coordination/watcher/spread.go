package watcher

import (
	"bytes"
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/spreader"
)

// leaves reports whether the platform's list says that this boot is leaving.
func (tr *tracked) leaves(boot string) bool { return boot != "" && boot == tr.leavingBoot }

// publish spreads a server's residency if this node owns the server and others
// know something else. The version follows the one that is known, whoever
// published it, so that a new owner is not outranked by the last one's entries.
func (wt *Watcher) publish(now time.Time, tr *tracked, rs residency) {
	if !tr.owned || wt.spreader == nil {
		return
	}
	payload := rs.encode()
	key := residencyPrefix + tr.server.Name()
	held, known, ok := wt.spreader.Get(key)
	if ok && bytes.Equal(known, payload) || tr.spread != nil && wt.early(now, tr, rs) {
		return
	}
	tr.publishedAt = now
	next := spreader.Version{Epoch: held.Epoch + 1, Seq: 1}
	if !held.Newer(tr.version) && tr.version.Epoch > 0 {
		next = spreader.Version{Epoch: tr.version.Epoch, Seq: tr.version.Seq + 1}
	}
	tr.version, tr.spread = next, &rs
	wt.registry.Inc("residency", "published")
	wt.send(key, next, payload)
}

// early reports whether a change has to wait: those of adapters alone, which
// are many and may be learned late, are spread at a rate that does not grow
// with the number of servers.
func (wt *Watcher) early(now time.Time, tr *tracked, rs residency) bool {
	return rs.differsOnlyInAdapters(*tr.spread) &&
		now.Sub(tr.publishedAt) < adapterInterval*time.Duration(len(wt.servers))
}

// send hands an entry to the spreader, whose subscribers take the lock.
func (wt *Watcher) send(key string, vn spreader.Version, payload []byte) {
	wt.polls.Go(func() { wt.spreader.Publish(key, vn, payload) })
}

// hear takes in an entry that was spread.
func (wt *Watcher) hear(key string, _ spreader.Version, _ []byte) {
	name, ok := strings.CutPrefix(key, residencyPrefix)
	if !ok {
		name, ok = strings.CutPrefix(key, leavingPrefix)
	}
	if !ok {
		return
	}
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if tr, ok := wt.servers[name]; ok {
		wt.recall(name, tr)
		wt.changed = true
	}
}

// recall reads what was spread about a server.
func (wt *Watcher) recall(name string, tr *tracked) {
	if wt.spreader == nil {
		return
	}
	if _, payload, ok := wt.spreader.Get(residencyPrefix + name); ok {
		rs, err := decodeResidency(payload)
		if err != nil {
			wt.registry.Inc("residency", "unreadable")
			return
		}
		tr.spread = &rs
	}
	if _, payload, ok := wt.spreader.Get(leavingPrefix + name); ok {
		tr.leavingBoot = string(payload)
	}
}

// noteDeparting takes in which VMs the platform's list names as leaving, and
// tells the other nodes at once. The entry names the boot, so that it says
// nothing of a process that takes over the name.
func (wt *Watcher) noteDeparting() {
	if wt.departing == nil {
		return
	}
	named := map[string]bool{}
	for _, vm := range wt.departing() {
		for name, tr := range wt.servers {
			if vm.Name == name || vm.Address == tr.server.Address() {
				named[name] = true
				wt.depart(name, tr)
			}
		}
	}
	wt.noteStaying(named)
}

// noteStaying lets a server of this node stay that was named as leaving, once
// several readings of the list in a row no longer name it: the list lags, and
// one reading may be older than the one before.
func (wt *Watcher) noteStaying(named map[string]bool) {
	if wt.readings == nil {
		return
	}
	reading := wt.readings()
	for name, tr := range wt.servers {
		switch {
		case !tr.owned || tr.leavingBoot == "" || named[name]:
			tr.staysFrom = 0
		case tr.staysFrom == 0:
			tr.staysFrom = reading
		case reading-tr.staysFrom >= stayReadings:
			wt.registry.Inc("residency", "staying")
			wt.tellLeaving(name, tr, "")
		}
	}
}

func (wt *Watcher) depart(name string, tr *tracked) {
	rp, ok := tr.compose(wt.names)
	if !ok || rp.BootID == "" || rp.BootID == tr.leavingBoot {
		return
	}
	wt.registry.Inc("residency", "leaving")
	wt.tellLeaving(name, tr, rp.BootID)
}

// tellLeaving notes which boot of a server is leaving, or that none is, and
// tells the other nodes.
func (wt *Watcher) tellLeaving(name string, tr *tracked, boot string) {
	tr.leavingBoot = boot
	tr.staysFrom = 0
	wt.changed = true
	if wt.spreader == nil {
		return
	}
	key := leavingPrefix + name
	held, _, _ := wt.spreader.Get(key)
	wt.send(key, spreader.Version{Epoch: held.Epoch + 1, Seq: 1}, []byte(boot))
}
