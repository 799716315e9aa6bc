package dispatcher

import (
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// Software is the software of one process of a backend server.
type Software struct {
	// Version is the version of the software; empty if it is not known.
	Version string
	// Incarnation increases with each start of the server; zero if it is not
	// known.
	Incarnation int64
}

// checkSoftware returns a failure if the request must not be sent to the present
// process of the server, since its stream began at another version.
func (pa *proxyAttempt) checkSoftware() *failure {
	pa.software = pa.ds.software(pa.server)
	if pa.ticket.Software == "" || pa.software.Version == pa.ticket.Software {
		return nil
	}
	return &failure{reason: refuser.VersionGone, detail: "server " + pa.server + " runs software " + pa.software.Version + " now", unsent: true}
}

// beginStream notes at which version the stream begins or goes on. It returns a
// failure if the server was started anew after the request was sent, since its
// events may come from either process.
func (pa *proxyAttempt) beginStream() *failure {
	if now := pa.ds.software(pa.server); now.Incarnation != 0 && now.Incarnation != pa.software.Incarnation {
		return &failure{reason: refuser.BackendFailed, detail: "server " + pa.server + " was started again"}
	}
	if pa.Route.Resumable() {
		pa.ticket.Software = pa.software.Version
	}
	return nil
}
