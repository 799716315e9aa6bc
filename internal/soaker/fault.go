package soaker

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// Fault is a kind of fault that a run injects, in kebab case.
type Fault string

// The kinds of faults.
const (
	// KillNode kills a node's process. A node on another VM replaces it later.
	KillNode Fault = "kill-node"
	// LoseNode removes a node's VM. Its peers' connections are not closed.
	LoseNode Fault = "lose-node"
	// StopNode stops a node as planned while requests are in flight.
	StopNode Fault = "stop-node"
	// PauseNode holds back all traffic of a node for a while.
	PauseNode Fault = "pause-node"
	// SilenceNode drops all further traffic on a node's open connections.
	SilenceNode Fault = "silence-node"
	// CutStore makes the store unreachable for one node.
	CutStore Fault = "cut-store"
	// MuteStore drops the answers to one node's writes.
	MuteStore Fault = "mute-store"
	// CutOneWay holds back the traffic from one node to another.
	CutOneWay Fault = "cut-one-way"
	// CutBothWays holds back all traffic between two nodes.
	CutBothWays Fault = "cut-both-ways"
	// CutEngine holds back all traffic between a node and an engine.
	CutEngine Fault = "cut-engine"
	// StoreOutage is a store outage of up to maxOutage.
	StoreOutage Fault = "store-outage"
	// StoreLongOutage is a store outage of up to a minute.
	StoreLongOutage Fault = "store-long-outage"
	// StoreLostAnswers drops the answers to writes that took effect.
	StoreLostAnswers Fault = "store-lost-answers"
	// StoreLostWrites drops writes before they take effect.
	StoreLostWrites Fault = "store-lost-writes"
	// StoreSlow delays all answers of the store.
	StoreSlow Fault = "store-slow"
	// OrdersLost drops the next orders to an engine.
	OrdersLost Fault = "orders-lost"
	// OrdersHeld delays the next orders to an engine.
	OrdersHeld Fault = "orders-held"
	// OrdersUnanswered drops the answers to the next orders to an engine.
	OrdersUnanswered Fault = "orders-unanswered"
	// EngineCrash restarts an engine with empty memory.
	EngineCrash Fault = "engine-crash"
	// EngineDown makes an engine unavailable for a while.
	EngineDown Fault = "engine-down"
	// EngineSilent drops all further traffic on an engine's open connections.
	EngineSilent Fault = "engine-silent"
	// EngineLeaving reports an engine's VM as leaving for a while.
	EngineLeaving Fault = "engine-leaving"
	// BadAnswers makes the next answers of an engine faulty in a random way.
	BadAnswers Fault = "bad-answers"
	// ServiceLostAnswers drops the answers to bookings that were run.
	ServiceLostAnswers Fault = "service-lost-answers"
	// ServiceReset closes the connections of a service.
	ServiceReset Fault = "service-reset"
)

// Bounds of the faults. Network faults and delayed orders together stay below
// half of the late-order bound in the settings.
const (
	maxNetworkFault = 12 * time.Second
	maxOrderDelay   = 10 * time.Second
	maxOutage       = 8 * time.Second
	maxLongOutage   = time.Minute
	maxStoreLatency = 500 * time.Millisecond
	maxEngineDown   = 10 * time.Second
	maxLeaving      = 20 * time.Second
	maxReplacement  = 8 * time.Second
	maxFaultCount   = 4  // orders, writes or answers that one fault affects
	maxTokens       = 24 // tokens of a completion
)

// AllFaults returns every kind of fault.
func AllFaults() []Fault {
	return []Fault{
		KillNode, LoseNode, StopNode, PauseNode, SilenceNode, CutStore, MuteStore, CutOneWay, CutBothWays, CutEngine,
		StoreOutage, StoreLongOutage, StoreLostAnswers, StoreLostWrites, StoreSlow,
		OrdersLost, OrdersHeld, OrdersUnanswered, EngineCrash, EngineDown, EngineSilent, EngineLeaving, BadAnswers,
		ServiceLostAnswers, ServiceReset,
	}
}

// ParseFaults parses kinds of faults separated by commas. "all" is every kind
// and "none" is none. An unknown kind is an error.
func ParseFaults(text string) ([]Fault, error) {
	switch text {
	case "all":
		return AllFaults(), nil
	case "none":
		return nil, nil
	}
	var faults []Fault
	for _, name := range strings.Split(text, ",") {
		ft := Fault(strings.TrimSpace(name))
		if !slices.Contains(AllFaults(), ft) {
			return nil, errors.Errorf("no fault %q; allowed: %v", ft, AllFaults())
		}
		faults = append(faults, ft)
	}
	return faults, nil
}

// injectFault starts a fault. It makes all random draws in the calling goroutine,
// so that their order is fixed.
func (sk *Soaker) injectFault(ft Fault) {
	cl := sk.cluster
	cl.report.count("fault." + string(ft))
	nodes := cl.liveNodes()
	nd := nodes[sk.random.IntN(len(nodes))]
	other := nodes[sk.random.IntN(len(nodes))]
	be := cl.engines[sk.random.IntN(len(cl.engines))]
	count := 1 + sk.random.IntN(maxFaultCount)
	switch ft {
	case KillNode, LoseNode:
		sk.killAndReplace(nd, ft == LoseNode)
	case StopNode:
		sk.stopAndReplace(nd)
	case PauseNode:
		sk.injectNetworkFault(func() { cl.network.Pause(nd.host) }, func() { cl.network.Resume(nd.host) })
	case SilenceNode:
		cl.network.Silence(nd.host)
	case CutStore:
		sk.injectFor(maxNetworkFault, func() { nd.store.cut.Store(true) }, func() { cl.reconnect(nd) })
	case MuteStore:
		sk.injectFor(maxNetworkFault, func() { nd.store.loseAnswers.Store(true) }, func() { nd.store.loseAnswers.Store(false) })
	case CutOneWay:
		sk.cut(nd.host, other.host)
	case CutBothWays:
		sk.cut(nd.host, other.host)
		sk.cut(other.host, nd.host)
	case CutEngine:
		sk.cut(nd.host, be.host)
		sk.cut(be.host, nd.host)
	case ServiceLostAnswers:
		cl.services["orders"].LoseAnswers(count)
		cl.services["ledger"].LoseAnswers(count)
	case ServiceReset:
		for _, addresses := range serviceAddresses() {
			cl.network.Reset(hostOf(addresses[count%len(addresses)]))
		}
	default:
		sk.injectStoreFault(ft, count)
		sk.injectEngineFault(ft, be, count)
	}
}

func (sk *Soaker) injectStoreFault(ft Fault, count int) {
	st := sk.cluster.store
	switch ft {
	case StoreOutage:
		sk.injectFor(maxOutage, func() { st.SetDown(true) }, func() { st.SetDown(false) })
	case StoreLongOutage:
		sk.injectFor(maxLongOutage, func() { st.SetDown(true) }, func() { st.SetDown(false) })
	case StoreLostAnswers:
		st.LoseAnswers(count)
	case StoreLostWrites:
		st.LoseWrites(count)
	case StoreSlow:
		latency := sk.draw(maxStoreLatency)
		sk.injectFor(maxOutage, func() { st.SetLatency(latency) }, func() { st.SetLatency(0) })
	}
}

func (sk *Soaker) injectEngineFault(ft Fault, be *backend, count int) {
	faults := make([]engine.OrderFault, count)
	fill := func(of engine.OrderFault) {
		for ix := range faults {
			faults[ix] = of
		}
		be.engine.InjectOrderFaults(faults...)
	}
	switch ft {
	case OrdersLost:
		fill(engine.OrderLost)
	case OrdersUnanswered:
		fill(engine.OrderAnswerLost)
	case OrdersHeld:
		sk.injectFor(maxOrderDelay, func() { fill(engine.OrderHeld) }, func() { be.release() })
	case EngineCrash:
		be.crash()
	case EngineDown:
		sk.injectFor(maxEngineDown, be.down, be.up)
	case EngineSilent:
		sk.cluster.network.Silence(be.host)
	case EngineLeaving:
		sk.injectFor(maxLeaving, func() { be.setLeaving(true) }, func() { be.setLeaving(false) })
	case BadAnswers:
		for range count {
			be.engine.InjectRequestFaults(engine.Fault{Kind: sk.answerFault(), At: sk.random.IntN(maxTokens)})
		}
	}
}

// answerFault returns a random fault of an answer.
func (sk *Soaker) answerFault() engine.FaultKind {
	kinds := []engine.FaultKind{
		engine.FaultAbort, engine.FaultEnd, engine.FaultSilence, engine.FaultSkip, engine.FaultRepeat,
		engine.FaultForeign, engine.FaultLate, engine.FaultRefuse, engine.FaultUnfinished,
	}
	return kinds[sk.random.IntN(len(kinds))]
}

// injectFor begins a fault now and ends it after a random time up to the bound.
func (sk *Soaker) injectFor(bound time.Duration, begin, end func()) {
	dn := sk.draw(bound)
	begin()
	sk.work.Go(func() {
		time.Sleep(dn)
		end()
	})
}

// injectNetworkFault is like injectFor for faults that delay traffic. The
// checks that depend on timing skip these periods.
func (sk *Soaker) injectNetworkFault(begin, end func()) {
	sk.cluster.addNetworkFaults(1)
	sk.injectFor(maxNetworkFault, begin, func() {
		end()
		sk.cluster.addNetworkFaults(-1)
	})
}

// cut holds back the traffic from one host to another for a while.
func (sk *Soaker) cut(from, to string) {
	if from == to {
		return
	}
	nt := sk.cluster.network
	sk.injectNetworkFault(func() { nt.Cut(from, to) }, func() { nt.Heal(from, to) })
}

// killAndReplace kills a node and starts another one later. With silent, the
// node's connections are not closed.
func (sk *Soaker) killAndReplace(nd *node, silent bool) {
	cl := sk.cluster
	dn := sk.draw(maxReplacement)
	if !cl.removeNode(nd, sk.minNodes()) {
		return
	}
	cl.kill(nd, silent)
	sk.startLater(dn)
}

// stopAndReplace stops a node as planned and starts another one later.
func (sk *Soaker) stopAndReplace(nd *node) {
	dn := sk.draw(maxReplacement)
	if !sk.cluster.removeNode(nd, sk.minNodes()) {
		return
	}
	nd.stop()
	sk.startLater(dn)
}

func (sk *Soaker) startLater(dn time.Duration) {
	sk.work.Go(func() {
		time.Sleep(dn)
		if err := sk.cluster.startNode(); err != nil {
			sk.report.addFinding(NotStarted, "%v", err)
		}
	})
}

// minNodes is the number of nodes that stay at any time.
func (sk *Soaker) minNodes() int { return max(1, sk.nodes/2) }

// reconnect makes the store reachable again, unless the node was removed
// meanwhile.
func (cl *cluster) reconnect(nd *node) {
	if slices.Contains(cl.liveNodes(), nd) {
		nd.store.cut.Store(false)
	}
}

// recover ends all faults.
func (cl *cluster) recover() {
	cl.network.HealAll()
	cl.store.SetDown(false)
	cl.store.SetLatency(0)
	cl.store.LoseAnswers(0)
	cl.store.LoseWrites(0)
	for _, nd := range cl.liveNodes() {
		nd.store.cut.Store(false)
		nd.store.loseAnswers.Store(false)
	}
	for _, be := range cl.engines {
		be.recover()
	}
	for _, sv := range cl.services {
		sv.LoseAnswers(0)
	}
}
