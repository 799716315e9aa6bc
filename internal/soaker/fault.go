package soaker

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// Fault is a kind of fault that a run causes, in kebab case.
type Fault string

// The kinds of faults.
const (
	// KillNode ends a node's process; another VM takes its place later.
	KillNode Fault = "kill-node"
	// LoseNode ends a node's VM without a word to its peers.
	LoseNode Fault = "lose-node"
	// StopNode is a planned stop while answers are on their way.
	StopNode Fault = "stop-node"
	// PauseNode lets nothing in or out of a node for a while.
	PauseNode Fault = "pause-node"
	// SilenceNode makes a node's open connections silent for good.
	SilenceNode Fault = "silence-node"
	// CutStore keeps one node from the store.
	CutStore Fault = "cut-store"
	// MuteStore loses the answers to one node's writes.
	MuteStore Fault = "mute-store"
	// CutOneWay holds back what one node sends to another.
	CutOneWay Fault = "cut-one-way"
	// CutBothWays holds back all between a node and another.
	CutBothWays Fault = "cut-both-ways"
	// CutEngine holds back all between a node and an engine.
	CutEngine Fault = "cut-engine"
	// StoreOutage is an outage of seconds.
	StoreOutage Fault = "store-outage"
	// StoreLongOutage is an outage of up to a minute.
	StoreLongOutage Fault = "store-long-outage"
	// StoreLostAnswers loses the answers of writes that took effect.
	StoreLostAnswers Fault = "store-lost-answers"
	// StoreLostWrites loses writes before they take effect.
	StoreLostWrites Fault = "store-lost-writes"
	// StoreSlow delays all answers.
	StoreSlow Fault = "store-slow"
	// OrdersLost loses the next orders to an engine.
	OrdersLost Fault = "orders-lost"
	// OrdersHeld lets the next orders to an engine arrive late.
	OrdersHeld Fault = "orders-held"
	// OrdersUnanswered loses the answers to orders.
	OrdersUnanswered Fault = "orders-unanswered"
	// EngineCrash restarts an engine with empty memory.
	EngineCrash Fault = "engine-crash"
	// EngineDown takes an engine away for a while.
	EngineDown Fault = "engine-down"
	// EngineSilent makes an engine's open connections silent for good.
	EngineSilent Fault = "engine-silent"
	// EngineLeaving makes an engine's VM leave.
	EngineLeaving Fault = "engine-leaving"
	// BadAnswers makes the next answers of an engine break in some way.
	BadAnswers Fault = "bad-answers"
	// ServiceLostAnswers loses the answers of bookings that were run.
	ServiceLostAnswers Fault = "service-lost-answers"
	// ServiceReset closes the connections of a service.
	ServiceReset Fault = "service-reset"
)

// The longest times that faults go on. Network faults and late orders together
// stay below half of the late-order bound in the settings.
const (
	maxNetworkFault = 12 * time.Second
	maxOrderDelay   = 10 * time.Second
	maxOutage       = 8 * time.Second
	maxLongOutage   = time.Minute
	maxStoreLatency = 500 * time.Millisecond
	maxEngineDown   = 10 * time.Second
	maxLeaving      = 20 * time.Second
	maxReplacement  = 8 * time.Second
	maxLost         = 4
	maxTokens       = 24
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

// ParseFaults reads a list of faults separated by commas; "all" means every
// kind and "none" none.
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

// cause causes a fault. All that is drawn is drawn before anything else runs.
func (sk *Soaker) cause(ft Fault) {
	wd := sk.world
	wd.report.count("fault." + string(ft))
	nodes := wd.live()
	nd := nodes[sk.random.IntN(len(nodes))]
	other := nodes[sk.random.IntN(len(nodes))]
	be := wd.engines[sk.random.IntN(len(wd.engines))]
	count := 1 + sk.random.IntN(maxLost)
	switch ft {
	case KillNode, LoseNode:
		sk.replace(nd, ft == LoseNode)
	case StopNode:
		sk.stopAndReplace(nd)
	case PauseNode:
		sk.disturb(func() { wd.network.Pause(nd.host) }, func() { wd.network.Resume(nd.host) })
	case SilenceNode:
		wd.network.Silence(nd.host)
	case CutStore:
		sk.during(maxNetworkFault, func() { nd.store.cut.Store(true) }, func() { wd.reconnect(nd) })
	case MuteStore:
		sk.during(maxNetworkFault, func() { nd.store.mute.Store(true) }, func() { nd.store.mute.Store(false) })
	case CutOneWay:
		sk.cut(nd.host, other.host)
	case CutBothWays:
		sk.cut(nd.host, other.host)
		sk.cut(other.host, nd.host)
	case CutEngine:
		sk.cut(nd.host, be.host)
		sk.cut(be.host, nd.host)
	case ServiceLostAnswers:
		wd.services["orders"].LoseAnswers(count)
		wd.services["ledger"].LoseAnswers(count)
	case ServiceReset:
		for _, addresses := range serviceAddresses() {
			wd.network.Reset(hostOf(addresses[count%len(addresses)]))
		}
	default:
		sk.causeAtStore(ft, count)
		sk.causeAtEngine(ft, be, count)
	}
}

func (sk *Soaker) causeAtStore(ft Fault, count int) {
	st := sk.world.store
	switch ft {
	case StoreOutage:
		sk.during(maxOutage, func() { st.SetDown(true) }, func() { st.SetDown(false) })
	case StoreLongOutage:
		sk.during(maxLongOutage, func() { st.SetDown(true) }, func() { st.SetDown(false) })
	case StoreLostAnswers:
		st.LoseAnswers(count)
	case StoreLostWrites:
		st.LoseWrites(count)
	case StoreSlow:
		latency := sk.draw(maxStoreLatency)
		sk.during(maxOutage, func() { st.SetLatency(latency) }, func() { st.SetLatency(0) })
	}
}

func (sk *Soaker) causeAtEngine(ft Fault, be *backend, count int) {
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
		sk.during(maxOrderDelay, func() { fill(engine.OrderHeld) }, func() { be.release() })
	case EngineCrash:
		be.crash()
	case EngineDown:
		sk.during(maxEngineDown, be.down, be.up)
	case EngineSilent:
		sk.world.network.Silence(be.host)
	case EngineLeaving:
		sk.during(maxLeaving, func() { be.setLeaving(true) }, func() { be.setLeaving(false) })
	case BadAnswers:
		for range count {
			be.engine.InjectRequestFaults(engine.Fault{Kind: sk.answerFault(), At: sk.random.IntN(maxTokens)})
		}
	}
}

// answerFault draws how an answer breaks.
func (sk *Soaker) answerFault() engine.FaultKind {
	kinds := []engine.FaultKind{
		engine.FaultAbort, engine.FaultEnd, engine.FaultSilence, engine.FaultSkip, engine.FaultRepeat,
		engine.FaultForeign, engine.FaultLate, engine.FaultRefuse, engine.FaultUnfinished,
	}
	return kinds[sk.random.IntN(len(kinds))]
}

// during begins a fault now and ends it after a random time.
func (sk *Soaker) during(bound time.Duration, begin, end func()) {
	dn := sk.draw(bound)
	begin()
	sk.work.Go(func() {
		time.Sleep(dn)
		end()
	})
}

// disturb is during for faults of the network, which delay what was sent.
func (sk *Soaker) disturb(begin, end func()) {
	sk.world.disturbed(1)
	sk.during(maxNetworkFault, begin, func() {
		end()
		sk.world.disturbed(-1)
	})
}

func (sk *Soaker) cut(from, to string) {
	if from == to {
		return
	}
	nt := sk.world.network
	sk.disturb(func() { nt.Cut(from, to) }, func() { nt.Heal(from, to) })
}

// replace kills a node and starts another one later.
func (sk *Soaker) replace(nd *node, silent bool) {
	wd := sk.world
	dn := sk.draw(maxReplacement)
	if !wd.forget(nd, sk.least()) {
		return
	}
	wd.kill(nd, silent)
	sk.startLater(dn)
}

// stopAndReplace stops a node as planned and starts another one later.
func (sk *Soaker) stopAndReplace(nd *node) {
	dn := sk.draw(maxReplacement)
	if !sk.world.forget(nd, sk.least()) {
		return
	}
	nd.stop()
	sk.startLater(dn)
}

func (sk *Soaker) startLater(dn time.Duration) {
	sk.work.Go(func() {
		time.Sleep(dn)
		if err := sk.world.startNode(); err != nil {
			sk.report.find(NotStarted, "%v", err)
		}
	})
}

// least is the number of nodes that stay at any time.
func (sk *Soaker) least() int { return max(1, sk.nodes/2) }

// reconnect ends the cut of a node that was not killed meanwhile.
func (wd *world) reconnect(nd *node) {
	if slices.Contains(wd.live(), nd) {
		nd.store.cut.Store(false)
	}
}

// recover ends all faults.
func (wd *world) recover() {
	wd.network.HealAll()
	wd.store.SetDown(false)
	wd.store.SetLatency(0)
	wd.store.LoseAnswers(0)
	wd.store.LoseWrites(0)
	for _, nd := range wd.live() {
		nd.store.cut.Store(false)
		nd.store.mute.Store(false)
	}
	for _, be := range wd.engines {
		be.recover()
	}
	for _, sv := range wd.services {
		sv.LoseAnswers(0)
	}
}
