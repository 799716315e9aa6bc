package watcher

import (
	"bytes"
	"strings"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/gossiper"
)

// bootIsLeaving reports whether the boot is the one that gossip or the
// platform's list names as leaving.
func (tr *trackedServer) bootIsLeaving(boot string) bool { return boot != "" && boot == tr.leavingBoot }

// publish gossips a server's residency if this node owns the server and the
// residency differs from the latest entry. The new version follows that
// entry's, whoever published it, so that the entries of a previous owner do not
// outrank it.
func (wt *Watcher) publish(now time.Time, tr *trackedServer, rs residency) {
	if !tr.owned || wt.gossip == nil {
		return
	}
	payload := rs.encode()
	key := residencyPrefix + tr.server.Name()
	current, known, ok := wt.gossip.Get(key)
	if ok && bytes.Equal(known, payload) || tr.gossiped != nil && wt.mustWait(now, tr, rs) {
		return
	}
	tr.publishedAt = now
	next := gossiper.Version{Epoch: current.Epoch + 1, Seq: 1}
	if !current.Newer(tr.version) && tr.version.Epoch > 0 {
		next = gossiper.Version{Epoch: tr.version.Epoch, Seq: tr.version.Seq + 1}
	}
	tr.version, tr.gossiped = next, &rs
	wt.registry.Inc("residency", "published")
	wt.publishAsync(key, next, payload)
}

// mustWait reports whether a change is not due yet. Changes of adapters alone
// are frequent and tolerate delay, so they are published at a rate that does
// not grow with the number of servers.
func (wt *Watcher) mustWait(now time.Time, tr *trackedServer, rs residency) bool {
	return rs.differsOnlyInAdapters(*tr.gossiped) &&
		now.Sub(tr.publishedAt) < adapterInterval*time.Duration(len(wt.servers))
}

// publishAsync publishes an entry in a goroutine, since the Gossiper calls
// subscribers that lock the watcher.
func (wt *Watcher) publishAsync(key string, vn gossiper.Version, payload []byte) {
	wt.polls.Go(func() { wt.gossip.Publish(key, vn, payload) })
}

// applyEntry applies a gossiped entry. It is the subscriber of the Gossiper.
func (wt *Watcher) applyEntry(key string, _ gossiper.Version, _ []byte) {
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
		wt.loadEntries(name, tr)
		wt.changed = true
	}
}

// loadEntries reads the gossiped entries about a server.
func (wt *Watcher) loadEntries(name string, tr *trackedServer) {
	if wt.gossip == nil {
		return
	}
	if _, payload, ok := wt.gossip.Get(residencyPrefix + name); ok {
		rs, err := decodeResidency(payload)
		if err != nil {
			wt.registry.Inc("residency", "unreadable")
			return
		}
		tr.gossiped = &rs
	}
	if _, payload, ok := wt.gossip.Get(leavingPrefix + name); ok {
		tr.leavingBoot = string(payload)
	}
}

// markListedLeaving marks the servers that the platform's list names as
// leaving, and gossips the marks at once. A mark names the boot, so that it
// does not apply to a process that takes over the server's name.
func (wt *Watcher) markListedLeaving() {
	if wt.listedLeaving == nil {
		return
	}
	named := map[string]bool{}
	for _, vm := range wt.listedLeaving() {
		for name, tr := range wt.servers {
			if vm.Name == name || vm.Address == tr.server.Address() {
				named[name] = true
				wt.markLeaving(name, tr)
			}
		}
	}
	wt.clearUnlistedLeaving(named)
}

// clearUnlistedLeaving clears the leaving mark of an owned server when the list
// has not named it as leaving for several reads in a row. The list lags, and a
// read may return an older list than the read before.
func (wt *Watcher) clearUnlistedLeaving(named map[string]bool) {
	if wt.listReadCount == nil {
		return
	}
	read := wt.listReadCount()
	for name, tr := range wt.servers {
		switch {
		case !tr.owned || tr.leavingBoot == "" || named[name]:
			tr.unlistedFrom = 0
		case tr.unlistedFrom == 0:
			tr.unlistedFrom = read
		case read-tr.unlistedFrom >= clearLeavingReads:
			wt.registry.Inc("residency", "staying")
			wt.publishLeaving(name, tr, "")
		}
	}
}

// markLeaving marks a server's current boot as leaving, unless it is marked.
func (wt *Watcher) markLeaving(name string, tr *trackedServer) {
	rp, ok := tr.effectiveReport(wt.names)
	if !ok || rp.BootID == "" || rp.BootID == tr.leavingBoot {
		return
	}
	wt.registry.Inc("residency", "leaving")
	wt.publishLeaving(name, tr, rp.BootID)
}

// publishLeaving stores and gossips which boot of a server is leaving; an empty
// boot means none.
func (wt *Watcher) publishLeaving(name string, tr *trackedServer, boot string) {
	tr.leavingBoot = boot
	tr.unlistedFrom = 0
	wt.changed = true
	if wt.gossip == nil {
		return
	}
	key := leavingPrefix + name
	current, _, _ := wt.gossip.Get(key)
	wt.publishAsync(key, gossiper.Version{Epoch: current.Epoch + 1, Seq: 1}, []byte(boot))
}
