package configurer

import "fmt"

// checkReferences checks what one section says about another.
func (rd *reader) checkReferences(st *Settings) {
	for _, ad := range st.Adapters() {
		rd.refer("adapter."+ad.name, "model", ad.model, st.models[ad.model] != nil, "a configured model")
	}
	for _, bs := range st.BackendServers() {
		rd.refer("backend-server."+bs.name, "kind", bs.kind, st.kinds[bs.kind] != nil, "a configured engine kind")
		rd.checkReserves(bs)
	}
	for _, cr := range st.Callers() {
		if cr.defaultClass != "" {
			rd.refer("caller."+cr.name, "default-class", cr.defaultClass, st.classes[cr.defaultClass] != nil, "a configured class")
		}
	}
	rd.checkTimeouts(st.timeouts)
}

func (rd *reader) checkReserves(bs *BackendServer) {
	if bs.WeightMemory() > 0 {
		return
	}
	sum := fmt.Sprintf("%s + %s", formatBytes(bs.cacheReserve), formatBytes(bs.adapterReserve))
	allowed := "cache-reserve + adapter-reserve below memory " + formatBytes(bs.memory)
	rd.fault(rd.sections["backend-server."+bs.name], "cache-reserve", sum, allowed)
}

// checkTimeouts refuses a detection time that outlasts what depends on it.
func (rd *reader) checkTimeouts(to *Timeouts) {
	sc := rd.sections["timeouts"]
	if to.peerSilence >= to.leaseLifetime {
		rd.fault(sc, "peer-silence", to.peerSilence.String(), "less than lease-lifetime "+to.leaseLifetime.String())
	}
	if to.heartbeat >= to.peerSilence {
		rd.fault(sc, "heartbeat", to.heartbeat.String(), "less than peer-silence "+to.peerSilence.String())
	}
}

func (rd *reader) refer(section, key, found string, ok bool, allowed string) {
	if !ok {
		rd.fault(rd.sections[section], key, found, allowed)
	}
}
