package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Versions knows at which version of their software servers began streams.
type Versions interface {
	// Process returns the last known process of a server.
	Process(server string) versionkeeper.Process
	// Confirm reports whether the process still answers as its server's.
	Confirm(ctx context.Context, pr versionkeeper.Process, address string) bool
	// Certain reports whether a server of the pool whose connection was opened at the
	// time is the process that Process returns. A process that has just started may not
	// be registered yet.
	Certain(pool string, opened time.Time) bool
	// Began records that the process brought the first event of the request's stream.
	Began(id string, pr versionkeeper.Process)
	// Find returns where the stream of the request began, or false if that is not
	// known. The route is the one on which it is taken up.
	Find(ctx context.Context, id string, rt versionkeeper.Route) (versionkeeper.Origin, bool)
}

// noVersions is the default Versions: all servers run the same software.
type noVersions struct{}

func (noVersions) Process(string) versionkeeper.Process { return versionkeeper.Process{} }

func (noVersions) Confirm(context.Context, versionkeeper.Process, string) bool { return true }

func (noVersions) Certain(string, time.Time) bool { return true }

func (noVersions) Began(string, versionkeeper.Process) {}

func (noVersions) Find(_ context.Context, _ string, rt versionkeeper.Route) (versionkeeper.Origin, bool) {
	if len(rt.Pools) == 0 {
		return versionkeeper.Origin{}, true
	}
	return versionkeeper.Origin{Pool: rt.Pools[0]}, true
}

// WithVersions sets what knows the versions of the servers' software.
func WithVersions(vs Versions) Option { return func(ds *Dispatcher) { ds.versions = vs } }

// FindOrigin returns where the stream began that a caller takes up on the route after
// the event, or a refusal if it cannot go on. id is that of the request that brought
// the stream's first event.
func (ds *Dispatcher) FindOrigin(ctx context.Context, id, after string, rt *configurer.Route) (versionkeeper.Origin, *refuser.Refusal) {
	route := versionkeeper.NewRoute(rt)
	origin, ok := ds.versions.Find(ctx, id, route)
	ds.registry.Inc("stream", "taken-up")
	log.WithFields(log.Fields{"resumes": id, "after": after, "route": rt.Name(), "pool": origin.Pool, "software": origin.Software, "known": ok}).
		Info("caller takes up a stream")
	switch {
	case !ok:
		return origin, refuser.New(refuser.VersionUnknown, "no node knows at which software the stream of %q began", id)
	case !slices.Contains(route.Pools, origin.Pool):
		return origin, refuser.New(refuser.VersionGone, "the route no longer leads to pool %q", origin.Pool)
	}
	return origin, nil
}

// checkSoftware returns a failure if the request must not be sent to the present
// process of the server, since its stream began at another version.
func (pa *proxyAttempt) checkSoftware() *failure {
	pa.process = pa.ds.versions.Process(pa.server)
	if pa.ticket.Software == "" || pa.process.Software == pa.ticket.Software {
		return nil
	}
	return &failure{reason: refuser.VersionGone, detail: "server " + pa.server + " runs software " + pa.process.Software + " now", unsent: true}
}

// beginStream records at which version the stream begins or goes on. It returns a
// failure if the server was started anew after the request was sent, since its
// events may come from either process. A server that goes on with a stream is asked: a
// process that has just started under the same id may not be known yet.
func (pa *proxyAttempt) beginStream(ctx context.Context) *failure {
	if pa.grant == nil {
		return nil // the node that runs the request records it
	}
	if pa.ds.versions.Process(pa.server).Incarnation != pa.process.Incarnation {
		return &failure{reason: refuser.BackendFailed, detail: "server " + pa.server + " was started again"}
	}
	if pa.ticket.Software != "" && !pa.ds.versions.Confirm(ctx, pa.process, pa.address) {
		return &failure{reason: refuser.BackendFailed, detail: "server " + pa.server + " does not confirm its software"}
	}
	if pa.Route.Resumable() {
		pr := pa.process
		if pa.ticket.Software == "" && !pa.certain(ctx) {
			// The stream goes on, and nobody can take it up.
			pr.Software = ""
		}
		pa.ticket.Software = pr.Software
		pa.ds.versions.Began(pa.ticket.ID, pr)
	}
	return nil
}

// certain reports whether the known process of the server gave the answer. It asks the
// server once a connection, and only while the pool may have several versions.
func (pa *proxyAttempt) certain(ctx context.Context) bool {
	if pa.link == nil || pa.link.Confirmed() || pa.ds.versions.Certain(pa.process.Pool, pa.link.Opened()) {
		return true
	}
	if !pa.ds.versions.Confirm(ctx, pa.process, pa.address) {
		pa.ds.registry.Inc("stream", "origin-unconfirmed")
		return false
	}
	pa.link.Confirm()
	return true
}
