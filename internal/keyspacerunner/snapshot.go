package keyspacerunner

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/pathwatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/tracker"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
	"github.com/lagoonpass/lagoonpass/internal/stopwatch"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
)

// expiryInterval is the time between two checks for servers that are gone.
const expiryInterval = 500 * time.Millisecond

// startWait bounds how long a node that starts asks other nodes for a later
// configuration before it serves.
const startWait = 2 * time.Second

// snapshot is the configuration and the servers that requests use. It is
// immutable.
type snapshot struct {
	// settings are the base settings with the known backend servers.
	settings *configurer.Settings
	routes   *configurer.RouteTable
	servers  []tracker.Server
	// base are the operator's settings, without backend servers, and revision is
	// their number.
	base     *configurer.Settings
	revision int64
	// resident has the models whose weights each server's host keeps, by its id.
	resident map[string][]string
	// reachable are the servers that do not leave.
	reachable []pathwatcher.Server
	// connections is how many connections each server accepts, by its address.
	connections map[string]int
	// since is when the node first used the configuration.
	since time.Time
}

// Settings returns the settings in force with the known backend servers, or nil
// if the node is not ready.
func (rn *Runner) Settings() *configurer.Settings {
	if sn := rn.snapshot.Load(); sn != nil {
		return sn.settings
	}
	return nil
}

// Route returns the settings in force and the route of a host and path. The
// settings are nil if the node is not ready; the route is nil if none matches.
func (rn *Runner) Route(host, path string) (*configurer.Settings, *configurer.Route) {
	sn := rn.snapshot.Load()
	if sn == nil {
		return nil, nil
	}
	rt, _ := sn.routes.Find(host, path)
	return sn.settings, rt
}

// AwaitConfiguration waits until the node has its first configuration, and reports whether
// it has one. If not, it returns the time after which the caller should return. A request
// waits for a part of the time to its deadline.
func (rn *Runner) AwaitConfiguration(ctx context.Context, deadline time.Time) (retryAfter time.Duration, ok bool) {
	if rn.postponer.Await(ctx, deadline) {
		return 0, true
	}
	return rn.postponer.RetryAfter(), false
}

// Revision returns the number of the configuration by which requests are served, or 0.
func (rn *Runner) Revision() int64 {
	if sn := rn.snapshot.Load(); sn != nil {
		return sn.revision
	}
	return 0
}

// ConfigurationAge returns how old the node's copy of the configuration may be. latest
// is false if the one in force is not certain to be the operator's latest, whatever the
// age: the copy has one that could not be put in force, the store did not answer the
// last read of it, or the store returned from an older copy and it was not read since.
func (rn *Runner) ConfigurationAge() (age time.Duration, latest bool) {
	return rn.relayer.Age(), !rn.rejected.Load() && !rn.unread.Load() && !rn.restored.Load()
}

// configSink receives the operator's configuration from the keyspace.
type configSink struct{ *Runner }

// document is a configuration as the operator wrote it.
type document struct {
	number int64
	value  []byte
	// authenticated says that there are routes that need a key.
	authenticated bool
}

func needsKeys(st *configurer.Settings) bool {
	return slices.ContainsFunc(st.Routes(), (*configurer.Route).Authenticated)
}

// Number implements relayer.Configuration. It counts a configuration that another node
// sent and that can't be put in force here, so that it is not sent again. One without
// callers does not count, since nodes do not pass it on.
func (cs configSink) Number() int64 {
	number := cs.untakable.Load()
	if dc := cs.document.Load(); dc != nil && dc.authenticated {
		number = max(number, dc.number)
	}
	return number
}

// Newer implements relayer.Configuration. Nodes without callers keep to what the store
// has, since nothing that was revoked could come back.
func (cs configSink) Newer(atLeast int64) (value []byte, copied bool) {
	dc := cs.document.Load()
	if dc == nil || dc.number < atLeast || !dc.authenticated {
		return nil, false
	}
	return dc.value, dc.number <= cs.copied.Load()
}

// Take implements relayer.Configuration.
func (cs configSink) Take(value []byte) {
	// Several nodes may send it at once.
	cs.takeMu.Lock()
	defer cs.takeMu.Unlock()
	version, files, err := cs.binding.DecodeConfig(value)
	if err != nil {
		version = math.MaxInt64 - 1
	}
	if version <= cs.holder.Number() {
		return
	}
	if err != nil || !cs.adopt(version, files, value) {
		cs.untakable.Store(version)
	}
}

// Replace implements replicator.Sink.
func (cs configSink) Replace(entries []storer.Entry) {
	if !slices.ContainsFunc(entries, func(en storer.Entry) bool { return en.Key == cs.binding.ConfigKey }) {
		cs.copied.Store(0)
	}
	for _, en := range entries {
		cs.applyEntry(en)
	}
	cs.restored.Store(false)
}

// Apply implements replicator.Sink.
func (cs configSink) Apply(changes []storer.Change) {
	for _, ch := range changes {
		if !ch.Deleted {
			cs.applyEntry(ch.Entry)
		}
	}
}

// StoreDown implements replicator.Sink. The configuration stays in force.
func (cs configSink) StoreDown() { cs.unread.Store(true) }

// StoreUp implements replicator.Sink.
func (cs configSink) StoreUp() { cs.unread.Store(false) }

// StoreRestored implements replicator.Sink. The configuration stays in force
// until a higher version is read, since the copy may lack it for a moment.
func (cs configSink) StoreRestored(int64) { cs.restored.Store(true) }

// applyEntry puts a configuration in force if it is newer and has no faults.
func (cs configSink) applyEntry(en storer.Entry) {
	if en.Key != cs.binding.ConfigKey {
		return
	}
	version, files, err := cs.binding.DecodeConfig(en.Value)
	if err != nil {
		cs.rejected.Store(true)
		cs.copied.Store(0)
		cs.registry.Inc("configuration", "unreadable")
		log.WithError(err).WithField("store-revision", en.Revision).Error("configuration cannot be decoded; the previous configuration stays in force")
		return
	}
	if cs.adopt(version, files, en.Value) {
		cs.copied.Store(version)
		cs.rejected.Store(false)
		return
	}
	cs.copied.Store(0)
	cs.rejected.Store(version > cs.holder.Number())
}

// adopt puts a configuration in force if it is newer and has no faults, and reports
// whether it has none.
func (cs configSink) adopt(version int64, files []configurer.File, value []byte) bool {
	st, faults := configurer.Parse(files)
	if len(faults) > 0 {
		cs.registry.Inc("configuration", "faulty")
		log.WithError(faults[0]).WithField("version", version).WithField("faults", len(faults)).Error("configuration has faults; the previous configuration stays in force")
		return false
	}
	if !cs.holder.Adopt(publisher.NewRevision(version, files, st)) {
		return true
	}
	cs.document.Store(&document{version, value, needsKeys(st)})
	cs.registry.Set(version, "configuration", "version")
	log.WithField("version", version).WithField("routes", len(st.Routes())).WithField("models", len(st.Models())).Info("configuration in force")
	cs.refresh()
	return true
}

// serverSink receives the registrations of backend servers from the keyspace.
type serverSink struct{ *Runner }

// expireServers drops servers that did not register again after a store outage.
func (rn *Runner) expireServers(ctx context.Context) error {
	waiter.Every(ctx, expiryInterval, rn.refresh)
	return nil
}

// Replace implements replicator.Sink.
func (ss serverSink) Replace(entries []storer.Entry) {
	servers := make([]tracker.Server, 0, len(entries))
	for _, en := range entries {
		if sv, ok := ss.decode(en); ok {
			servers = append(servers, sv)
		}
	}
	ss.mu.Lock()
	ss.tracker.Replace(time.Now(), servers)
	ss.synced = true
	ss.mu.Unlock()
	ss.refresh()
}

// Apply implements replicator.Sink.
func (ss serverSink) Apply(changes []storer.Change) {
	for _, ch := range changes {
		sv, ok := tracker.Server{}, false
		if !ch.Deleted {
			sv, ok = ss.decode(ch.Entry)
		}
		ss.mu.Lock()
		if ok {
			ss.tracker.Update(time.Now(), sv)
		} else {
			ss.tracker.Remove(time.Now(), ss.binding.ServerID(ch.Key))
		}
		ss.mu.Unlock()
	}
	ss.refresh()
}

// StoreDown implements replicator.Sink.
func (ss serverSink) StoreDown() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.tracker.MarkStoreDown()
}

// StoreUp implements replicator.Sink.
func (ss serverSink) StoreUp() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.tracker.MarkStoreUp(time.Now())
}

// StoreRestored implements replicator.Sink.
func (ss serverSink) StoreRestored(int64) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.tracker.MarkStoreRestored(time.Now())
	ss.orderRegistrar.StoreRestored()
}

// decode decodes a registration. It logs a faulty registration once.
func (ss serverSink) decode(en storer.Entry) (tracker.Server, bool) {
	sv, err := ss.binding.DecodeServer(en.Key, en.Value)
	if err == nil {
		return sv, true
	}
	ss.registry.Inc("registration", "unreadable")
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if !ss.faulty[en.Key] && len(ss.faulty) < maxFaulty {
		ss.faulty[en.Key] = true
		log.WithError(err).WithField("key", en.Key).Warn("registration cannot be decoded; the backend server is ignored")
	}
	return sv, false
}

// maxFaulty bounds the keys in Runner.faulty. Faults of further
// registrations are not logged.
const maxFaulty = 1000

// refresh stores a new snapshot if the configuration or the servers changed.
func (rn *Runner) refresh() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rv := rn.holder.Current()
	if rv == nil {
		return
	}
	rn.quotas.Configure(rv.Settings())
	if !rn.synced {
		return
	}
	now := time.Now()
	servers := rn.configuredServers(rv.Settings(), now)
	rn.versions.Update(now, processes(servers))
	old := rn.snapshot.Load()
	if old == nil || old.base != rv.Settings() {
		rn.versions.Configure(now, resumableRoutes(rv.Settings()))
	}
	if old == nil && !rn.mayServe(rv.Settings()) {
		return
	}
	if old != nil && old.base == rv.Settings() && sameServers(old.servers, servers) {
		return
	}
	next := &snapshot{base: rv.Settings(), revision: rv.Number(), servers: servers, reachable: reachable(servers), since: now}
	next.resident = make(map[string][]string, len(servers))
	for _, sv := range servers {
		next.resident[sv.ID] = sv.Resident
	}
	if old != nil && old.base == next.base {
		next.since = old.since
	}
	if old != nil && old.base == next.base && sameBackendServers(old.servers, servers) {
		next.settings, next.routes, next.connections = old.settings, old.routes, old.connections
	} else {
		next.settings = next.base.WithBackendServers(backendServers(next.base, servers))
		next.routes = configurer.NewRouteTable(next.base.Routes())
		next.connections = connectionsOf(next.base, servers)
	}
	rn.snapshot.Store(next)
	rn.postponer.Release()
	rn.downs.Update(registrations(servers))
	rn.logServers(old, next)
	rn.watcher.SetReports(now, rn.reports(next, now))
	rn.admitter.Refresh(next.settings)
	if old == nil {
		log.WithFields(log.Fields{"nodes": rn.nodes(), "servers": len(servers)}).Info("node begins to serve callers")
		rn.registrar.Notify()
	}
}

// mayServe reports whether the node may begin to serve by the settings. A node that
// starts reads the store, which may have returned from an older copy, or takes the copy
// of a node that may be cut off; either may have keys that were revoked. With callers, it
// first asks other nodes for a later one.
func (rn *Runner) mayServe(st *configurer.Settings) bool {
	return !needsKeys(st) || rn.relayer.Asked() || stopwatch.Now()-rn.started >= startWait
}

// configuredServers returns the servers of configured pools, one per address.
func (rn *Runner) configuredServers(st *configurer.Settings, now time.Time) []tracker.Server {
	var servers []tracker.Server
	addresses := map[string]int{}
	for _, sv := range rn.tracker.Servers(now) {
		if _, ok := st.Pool(sv.Pool); !ok {
			continue
		}
		// The older of two servers with one address is gone.
		if ix, ok := addresses[sv.Address]; ok {
			if sv.Incarnation > servers[ix].Incarnation {
				servers[ix] = sv
			}
			continue
		}
		addresses[sv.Address] = len(servers)
		servers = append(servers, sv)
	}
	return servers
}

// logServers logs each server that appeared, is gone or began to leave.
func (rn *Runner) logServers(old, next *snapshot) {
	previous := map[string]tracker.Server{}
	if old != nil {
		for _, sv := range old.servers {
			previous[sv.ID] = sv
		}
	}
	for _, sv := range next.servers {
		known, ok := previous[sv.ID]
		delete(previous, sv.ID)
		line := log.WithFields(log.Fields{"server": sv.ID, "pool": sv.Pool, "address": sv.Address, "incarnation": sv.Incarnation, "sequence": sv.Sequence, "software": sv.Software})
		switch {
		case !ok || known.Incarnation != sv.Incarnation:
			rn.forgetSignals(sv.ID)
			line.WithField("leaving", sv.Leaving).Info("backend server appeared")
		case sv.Leaving && !known.Leaving:
			line.WithField("remaining-ms", sv.Remaining.Milliseconds()).Info("backend server leaves")
			rn.notifyServerLost()
		}
	}
	for id, sv := range previous {
		rn.forgetSignals(id)
		log.WithField("server", id).WithField("address", sv.Address).Info("backend server is gone")
		rn.notifyServerLost()
	}
}

// connectionsOf returns how many connections each server accepts, by address.
func connectionsOf(st *configurer.Settings, servers []tracker.Server) map[string]int {
	accepted := make(map[string]int, len(servers))
	for _, sv := range servers {
		if po, ok := st.Pool(sv.Pool); ok {
			accepted[sv.Address] = po.Connections()
		}
	}
	return accepted
}

// resumableRoutes returns the routes whose streams callers may take up.
func resumableRoutes(st *configurer.Settings) []versionkeeper.Route {
	var all []versionkeeper.Route
	for _, rt := range st.Routes() {
		if rt.Resumable() {
			all = append(all, versionkeeper.NewRoute(rt))
		}
	}
	return all
}

// processes returns the processes of the servers.
func processes(servers []tracker.Server) []versionkeeper.Process {
	all := make([]versionkeeper.Process, 0, len(servers))
	for _, sv := range servers {
		all = append(all, versionkeeper.Process{Server: sv.ID, Pool: sv.Pool, Software: sv.Software, Incarnation: sv.Incarnation})
	}
	return all
}

func backendServers(st *configurer.Settings, servers []tracker.Server) []*configurer.BackendServer {
	adapterMemory := map[string]int64{}
	for _, po := range st.Pools() {
		adapterMemory[po.Name()] = st.MaxAdapterMemory(po.Name())
	}
	all := make([]*configurer.BackendServer, 0, len(servers))
	for _, sv := range servers {
		po, _ := st.Pool(sv.Pool)
		all = append(all, configurer.NewBackendServer(sv.ID,
			configurer.WithPool(po, adapterMemory[sv.Pool]),
			configurer.WithAddress(sv.Address),
			configurer.WithZone(sv.Zone),
			configurer.WithSlots(sv.Slots)))
	}
	return all
}

// reports converts the servers' registrations to reports for the watcher.
func (rn *Runner) reports(sn *snapshot, now time.Time) []watcher.Report {
	resident := map[string][]string{}
	for _, md := range sn.settings.Models() {
		if !md.Placed() {
			resident[md.Pool()] = append(resident[md.Pool()], md.Name())
		}
	}
	all := make([]watcher.Report, 0, len(sn.servers))
	settled := map[versionkeeper.Process]bool{}
	for _, sv := range sn.servers {
		version := versionkeeper.Process{Pool: sv.Pool, Software: sv.Software}
		if _, known := settled[version]; !known {
			settled[version] = rn.versions.Settled(now, version)
		}
		rp := watcher.Report{
			Server:      sv.ID,
			Address:     sv.Address,
			BootID:      bootID(sv),
			Software:    sv.Software,
			Unsettled:   !settled[version],
			Unlisted:    sv.Unlisted,
			Models:      map[string]string{},
			Leaving:     sv.Leaving,
			Sequence:    uint64(max(sv.Sequence, 0)),
			Taken:       now,
			WithoutLoad: true,
		}
		for _, name := range resident[sv.Pool] {
			rp.Models[name] = ""
		}
		for _, hd := range sv.Models {
			if _, ok := sn.settings.Model(hd.Name); ok {
				rp.Models[hd.Name] = hd.Version
				rp.Adapters = append(rp.Adapters, hd.Adapters...)
			}
		}
		all = append(all, rp)
	}
	return all
}

func sameServers(one, two []tracker.Server) bool {
	return equal(one, two, func(sv, other tracker.Server) bool {
		return sv.ID == other.ID && sv.Incarnation == other.Incarnation && sv.Sequence == other.Sequence && sv.Leaving == other.Leaving && sv.Unlisted == other.Unlisted
	})
}

// sameBackendServers reports whether the servers are equal apart from the
// models that they hold, their incarnations and their state.
func sameBackendServers(one, two []tracker.Server) bool {
	return equal(one, two, func(sv, other tracker.Server) bool {
		return sv.ID == other.ID && sv.Address == other.Address && sv.Pool == other.Pool && sv.Zone == other.Zone && sv.Slots == other.Slots
	})
}

func equal(one, two []tracker.Server, same func(sv, other tracker.Server) bool) bool {
	if len(one) != len(two) {
		return false
	}
	for ix := range one {
		if !same(one[ix], two[ix]) {
			return false
		}
	}
	return true
}
