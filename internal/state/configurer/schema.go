package configurer

import "time"

// Units of sizes, in bytes.
const (
	kibibyte int64 = 1 << 10
	mebibyte int64 = 1 << 20
	gibibyte int64 = 1 << 30
)

// schema returns every kind of section in the order of the reference page.
func schema() []sectionSpec {
	return []sectionSpec{
		modelSpec(), adapterSpec(), callerSpec(), classSpec(), engineKindSpec(),
		backendServerSpec(), serviceSpec(), poolSpec(), routeSpec(), limitsSpec(), recordsSpec(),
		retriesSpec(), timeoutsSpec(), planningSpec(),
	}
}

func modelSpec() sectionSpec {
	return namedSection("model", "a model that the operators offer",
		func(st *Settings, name string) *Model {
			return addSection(&st.models, name, &Model{named: named{name}})
		},
		textKey("version", "v1", "version of the weights", func(md *Model) *string { return &md.version }),
		bytesKey("memory", "", mebibyte, 1<<50, "memory of the weights on a backend server", func(md *Model) *int64 { return &md.memory }),
		intKey("min-replicas", "1", 1, 10000, "replicas that always serve", func(md *Model) *int { return &md.minReplicas }),
		intKey("max-replicas", "0", 0, 10000, "greatest number of replicas; 0 for no limit", func(md *Model) *int { return &md.maxReplicas }),
		floatKey("share", "1", 0, 1e6, "expected part of demand, by weight", func(md *Model) *float64 { return &md.share }),
		nameKey("pool", "pool of the servers that may hold it", func(md *Model) *string { return &md.pool }),
		durationKey("load-time", "0s", 0, time.Hour, "time of a load from the weight store; demand is forecast for that time", func(md *Model) *time.Duration { return &md.loadTime }),
		boolKey("placed", "yes", "the system places it; otherwise each server of its pool holds it", func(md *Model) *bool { return &md.placed }),
	)
}

func adapterSpec() sectionSpec {
	return namedSection("adapter", "an adapter of a model",
		func(st *Settings, name string) *Adapter {
			return addSection(&st.adapters, name, &Adapter{named: named{name}})
		},
		textKey("model", "", "model that the adapter belongs to", func(ad *Adapter) *string { return &ad.model }),
		bytesKey("memory", "64MiB", mebibyte, 1<<40, "memory on a backend server", func(ad *Adapter) *int64 { return &ad.memory }),
	)
}

func callerSpec() sectionSpec {
	return namedSection("caller", "someone who may send requests",
		func(st *Settings, name string) *Caller {
			return addSection(&st.callers, name, &Caller{named: named{name}})
		},
		hashListKey("key-sha256", "SHA-256 of each API key, in hexadecimal; empty for a caller without keys", func(cr *Caller) *[]string { return &cr.keyHashes }),
		listKey("models", "*", "models that the caller may use, * at the end for a prefix", func(cr *Caller) *[]string { return &cr.models }),
		listKey("adapters", "*", "adapters that the caller may use", func(cr *Caller) *[]string { return &cr.adapters }),
		listKey("services", "*", "plain services that the caller may use", func(cr *Caller) *[]string { return &cr.services }),
		listKey("classes", "*", "priority classes that the caller may use", func(cr *Caller) *[]string { return &cr.classes }),
		floatKey("quota", "1000", 0, 1e12, "units of quota-unit a second over all nodes; 0 for no limit", func(cr *Caller) *float64 { return &cr.quota }),
		intKey("burst", "200", 0, 1<<40, "units of quota-unit at once over all nodes", func(cr *Caller) *int { return &cr.burst }),
		choiceKey("quota-unit", "requests", []QuotaUnit{QuotaRequests, QuotaTokens}, "what quota and burst count", func(cr *Caller) *QuotaUnit { return &cr.quotaUnit }),
		intKey("default-tokens", "200", 0, 1<<40, "cost of a request without token counts, if the unit is tokens", func(cr *Caller) *int { return &cr.defaultTokens }),
		intKey("rank", "-1", -1, 100, "rank of the caller's requests, whatever their class; -1 for that of the class", func(cr *Caller) *int { return &cr.rank }),
		textKey("default-class", "", "class of requests that name none", func(cr *Caller) *string { return &cr.defaultClass }),
		boolKey("operator", "no", "may read the state and counters of nodes and drain them", func(cr *Caller) *bool { return &cr.operator }),
	)
}

func classSpec() sectionSpec {
	return namedSection("class", "a priority class with its targets",
		func(st *Settings, name string) *Class {
			return addSection(&st.classes, name, &Class{named: named{name}})
		},
		intKey("rank", "", 0, 100, "order of urgency; 0 is the most urgent", func(cs *Class) *int { return &cs.rank }),
		durationKey("first-token", "2s", time.Millisecond, time.Hour, "target for the first token", func(cs *Class) *time.Duration { return &cs.firstToken }),
		durationKey("token-gap", "53ms", time.Millisecond, time.Hour, "target between tokens", func(cs *Class) *time.Duration { return &cs.tokenGap }),
		durationKey("deadline", "60s", time.Millisecond, 24*time.Hour, "time after which an answer is worthless", func(cs *Class) *time.Duration { return &cs.deadline }),
		floatKey("min-share", "0.05", 0, 1, "part of capacity kept under any load", func(cs *Class) *float64 { return &cs.minShare }),
	)
}

func engineKindSpec() sectionSpec {
	return namedSection("engine-kind", "behaviour of a kind of backend server",
		func(st *Settings, name string) *EngineKind {
			return addSection(&st.kinds, name, &EngineKind{named: named{name}})
		},
		boolKey("checks-fencing", "no", "refuses orders with an old fencing number", func(ek *EngineKind) *bool { return &ek.checksFencing }),
		durationKey("late-order-bound", "0s", 0, 24*time.Hour, "longest time that an order can arrive late; 0s for none known", func(ek *EngineKind) *time.Duration { return &ek.lateOrderBound }),
		boolKey("resumes", "no", "resumes a stream from a token", func(ek *EngineKind) *bool { return &ek.resumes }),
		boolKey("counts-orders", "no", "counts the orders that it accepts and refuses one that was sent for another count", func(ek *EngineKind) *bool { return &ek.countsOrders }),
		boolKey("takes-roles", "yes", "takes orders to change its role", func(ek *EngineKind) *bool { return &ek.acceptsRoleOrders }),
		boolKey("transfers-cache", "no", "exports and imports KV cache", func(ek *EngineKind) *bool { return &ek.transfersCache }),
	)
}

func backendServerSpec() sectionSpec {
	return namedSection("backend-server", "a VM that runs a model engine",
		func(st *Settings, name string) *BackendServer {
			return addSection(&st.servers, name, &BackendServer{named: named{name}})
		},
		textKey("kind", "", "engine kind", func(bs *BackendServer) *string { return &bs.kind }),
		addressKey("address", "host:port of the engine", func(bs *BackendServer) *string { return &bs.address }),
		textKey("zone", "", "availability zone", func(bs *BackendServer) *string { return &bs.zone }),
		choiceKey("role", "mixed", []Role{RoleMixed, RolePrefill, RoleDecode}, "role at the start", func(bs *BackendServer) *Role { return &bs.role }),
		intKey("accelerators", "1", 1, 1024, "number of accelerators", func(bs *BackendServer) *int { return &bs.accelerators }),
		bytesKey("memory", "", mebibyte, 1<<50, "accelerator memory", func(bs *BackendServer) *int64 { return &bs.memory }),
		bytesKey("cache-reserve", "0B", 0, 1<<50, "memory kept for KV cache", func(bs *BackendServer) *int64 { return &bs.cacheReserve }),
		bytesKey("adapter-reserve", "0B", 0, 1<<50, "memory kept for adapters", func(bs *BackendServer) *int64 { return &bs.adapterReserve }),
		intKey("slots", "16", 1, 100000, "requests at once at full speed", func(bs *BackendServer) *int { return &bs.slots }),
	)
}

func serviceSpec() sectionSpec {
	return namedSection("service", "a plain service",
		func(st *Settings, name string) *Service {
			return addSection(&st.services, name, &Service{named: named{name}})
		},
		addressListKey("addresses", "host:port of each instance", func(sv *Service) *[]string { return &sv.addresses }),
		listKey("non-repeatable", "", "calls that may not be repeated, as METHOD /path", func(sv *Service) *[]string { return &sv.nonRepeatable }),
		boolKey("honours-key", "no", "the service runs an Idempotency-Key once by itself", func(sv *Service) *bool { return &sv.honoursKey }),
		durationKey("timeout", "10s", time.Millisecond, time.Hour, "time to wait for an answer", func(sv *Service) *time.Duration { return &sv.timeout }),
	)
}

func poolSpec() sectionSpec {
	return namedSection("pool", "backend servers that are alike, found while the system runs",
		func(st *Settings, name string) *Pool { return addSection(&st.pools, name, &Pool{named: named{name}}) },
		nameKey("kind", "engine kind; none for a plain service", func(po *Pool) *string { return &po.kind }),
		bytesKey("memory", "1MiB", mebibyte, 1<<50, "memory for weights and adapters", func(po *Pool) *int64 { return &po.memory }),
		intKey("adapter-slots", "0", 0, 100000, "adapters that one server holds", func(po *Pool) *int { return &po.adapterSlots }),
		intKey("slots", "16", 1, 100000, "requests at once at full speed", func(po *Pool) *int { return &po.slots }),
		intKey("cache-tokens", "0", 0, 1<<40, "tokens that running requests and kept prompts share; 0 if not known", func(po *Pool) *int { return &po.cacheTokens }),
		intKey("connections", "256", 1, 100000, "connections that one server accepts", func(po *Pool) *int { return &po.connections }),
		bytesKey("cache-token-bytes", "0B", 0, 1<<30, "size of a cached token that servers fetch from each other; 0B if they don't", func(po *Pool) *int64 { return &po.cacheTokenBytes }),
		floatKey("cache-megabits", "0", 0, 1e9, "megabits a second between two servers for cached tokens", func(po *Pool) *float64 { return &po.cacheMegabits }),
	)
}

func routeSpec() sectionSpec {
	return namedSection("route", "requests with a host and a path prefix",
		func(st *Settings, name string) *Route {
			return addSection(&st.routes, name, &Route{named: named{name}})
		},
		textKey("host", "", "host that callers name", func(rt *Route) *string { return &rt.host }),
		textKey("prefix", "", "start of the path; the longest counts", func(rt *Route) *string { return &rt.prefix }),
		listKey("pools", "", "pools that serve it, each as name or name:weight", func(rt *Route) *[]string { return &rt.pools }),
		textKey("class", "", "priority class", func(rt *Route) *string { return &rt.class }),
		boolKey("repeatable", "no", "a request may run more than once", func(rt *Route) *bool { return &rt.repeatable }),
		boolKey("streams", "no", "answers are streams of events", func(rt *Route) *bool { return &rt.streams }),
		boolKey("resumable", "no", "a broken stream may be continued elsewhere", func(rt *Route) *bool { return &rt.resumable }),
		durationKey("time-limit", "10s", time.Millisecond, 24*time.Hour, "longest time that a request is kept waiting", func(rt *Route) *time.Duration { return &rt.timeLimit }),
		durationKey("pause-target", "1s", time.Millisecond, time.Hour, "longest pause between two events", func(rt *Route) *time.Duration { return &rt.pauseTarget }),
		durationKey("abandon-after", "24h", time.Millisecond, 24*time.Hour, "time without an event after which callers abandon a stream", func(rt *Route) *time.Duration { return &rt.abandonAfter }),
		intKey("attempts", "1", 1, 100, "servers that one request may reach", func(rt *Route) *int { return &rt.attemptLimit }),
		boolKey("authenticated", "no", "requests need the key of a caller", func(rt *Route) *bool { return &rt.authenticated }),
	)
}

func limitsSpec() sectionSpec {
	return singleSection("limits", "what all nodes share",
		func(st *Settings) *Limits { return st.limits },
		floatKey("weight-loads-per-second", "1", 0.001, 1e4, "model loads a second of the weight store", func(lm *Limits) *float64 { return &lm.weightLoadsPerSecond }),
		intKey("weight-loads-at-once", "2", 1, 10000, "model loads at once at full speed", func(lm *Limits) *int { return &lm.weightLoadsAtOnce }),
		intKey("adapters-in-transit", "16", 1, 100000, "adapter loads at once at full speed", func(lm *Limits) *int { return &lm.adaptersInTransit }),
		intKey("queue-requests", "2000", 1, 1000000, "requests that one node lets wait", func(lm *Limits) *int { return &lm.queueRequests }),
		bytesKey("queue-bytes", "64MiB", kibibyte, 16*gibibyte, "request bodies that one node lets wait", func(lm *Limits) *int64 { return &lm.queueBytes }),
		bytesKey("body-bytes", "1MiB", kibibyte, 64*mebibyte, "largest request body", func(lm *Limits) *int64 { return &lm.bodyBytes }),
		bytesKey("header-bytes", "64KiB", kibibyte, mebibyte, "largest head of a request", func(lm *Limits) *int64 { return &lm.headerBytes }),
		durationKey("header-timeout", "10s", time.Millisecond, time.Hour, "time in which the head of a request has to arrive", func(lm *Limits) *time.Duration { return &lm.headerTimeout }),
		durationKey("idle-timeout", "75s", time.Millisecond, time.Hour, "how long a caller's connection may be idle", func(lm *Limits) *time.Duration { return &lm.idleTimeout }),
		floatKey("store-writes-per-second", "200", 1, 1e5, "writes to the platform's store by all nodes", func(lm *Limits) *float64 { return &lm.storeWritesPerSecond }),
		floatKey("store-reads-per-second", "1000", 1, 1e5, "reads of the platform's store by all nodes", func(lm *Limits) *float64 { return &lm.storeReadsPerSecond }),
		intKey("entry-nodes", "4", 1, 10000, "entry nodes that the limits are divided among", func(lm *Limits) *int { return &lm.entryNodes }),
		durationKey("max-configuration-age", "0s", 0, time.Hour, "age of a node's configuration from which it refuses requests that need a key; 0s for none", func(lm *Limits) *time.Duration { return &lm.maxConfigurationAge }),
		intKey("addresses-in-answer", "3", 1, 16, "entry addresses that a caller is told", func(lm *Limits) *int { return &lm.addressesInAnswer }),
		durationKey("address-answer-lifetime", "30s", time.Second, time.Hour, "how long a caller keeps the addresses", func(lm *Limits) *time.Duration { return &lm.addressAnswerLifetime }),
	)
}

func recordsSpec() sectionSpec {
	return singleSection("records", "the at-most-once record of keyed requests",
		func(st *Settings) *Records { return st.records },
		intKey("shards", "1", 1, 4096, "parts of the key space; fixed for good by the first node that uses the record", func(rc *Records) *int { return &rc.shards }),
		durationKey("retention", "1h", time.Second, 30*24*time.Hour, "how long a key is remembered at least", func(rc *Records) *time.Duration { return &rc.retention }),
		intKey("result-bytes", "2048", 0, 65536, "largest result kept for a repeated key", func(rc *Records) *int { return &rc.resultBytes }),
		bytesKey("shard-bytes", "32MiB", 64*kibibyte, 256*mebibyte, "records of one shard", func(rc *Records) *int64 { return &rc.shardBytes }),
		durationKey("interval", "13ms", time.Millisecond, time.Second, "least time between two writes of one shard", func(rc *Records) *time.Duration { return &rc.interval }),
		durationKey("job-retention", "24h", time.Minute, 30*24*time.Hour, "how long the result of a job is kept", func(rc *Records) *time.Duration { return &rc.jobRetention }),
		intKey("jobs-at-once", "8", 1, 10000, "jobs that one node runs at once", func(rc *Records) *int { return &rc.jobsAtOnce }),
		bytesKey("job-bytes", "256KiB", kibibyte, 512*kibibyte, "largest body and largest result of a job", func(rc *Records) *int64 { return &rc.jobBytes }),
	)
}

func retriesSpec() sectionSpec {
	return singleSection("retries", "when a request is sent again",
		func(st *Settings) *Retries { return st.retries },
		floatKey("budget", "0.1", 0, 1, "retries as a part of successful traffic", func(rt *Retries) *float64 { return &rt.budget }),
		durationKey("window", "0s", 0, time.Hour, "time over which retries of all nodes are bounded by slack and budget; 0s for the node's last sendings alone", func(rt *Retries) *time.Duration { return &rt.window }),
		intKey("slack", "0", 0, 100000, "retries in a window that all nodes may make beyond the budget", func(rt *Retries) *int { return &rt.slack }),
		intKey("attempts", "3", 1, 10, "how often one request is sent at most", func(rt *Retries) *int { return &rt.attemptLimit }),
		durationKey("backoff", "25ms", time.Millisecond, time.Minute, "delay before the first retry", func(rt *Retries) *time.Duration { return &rt.backoff }),
		durationKey("max-backoff", "1s", time.Millisecond, time.Hour, "longest delay before a retry", func(rt *Retries) *time.Duration { return &rt.maxBackoff }),
	)
}

func timeoutsSpec() sectionSpec {
	return singleSection("timeouts", "detection times",
		func(st *Settings) *Timeouts { return st.timeouts },
		durationKey("heartbeat", "500ms", 10*time.Millisecond, time.Minute, "time between two signs of life", func(to *Timeouts) *time.Duration { return &to.heartbeat }),
		durationKey("peer-silence", "1500ms", 20*time.Millisecond, 10*time.Minute, "silence after which a peer's connection is dropped", func(to *Timeouts) *time.Duration { return &to.peerSilence }),
		durationKey("engine-silence", "2s", 20*time.Millisecond, time.Hour, "time without progress of a stream", func(to *Timeouts) *time.Duration { return &to.engineSilence }),
		durationKey("lease-lifetime", "4s", 100*time.Millisecond, time.Hour, "lifetime of shares and membership", func(to *Timeouts) *time.Duration { return &to.leaseLifetime }),
		durationKey("drain", "10m", time.Second, 24*time.Hour, "how long a planned stop waits for requests in progress", func(to *Timeouts) *time.Duration { return &to.drain }),
	)
}

func planningSpec() sectionSpec {
	return singleSection("planning", "placement of models",
		func(st *Settings) *Planning { return st.planning },
		floatKey("move-weight", "1", 0, 1000, "cost of a model move", func(pl *Planning) *float64 { return &pl.moveWeight }),
		floatKey("attainment-weight", "1", 0, 1000, "worth of attainment per accelerator", func(pl *Planning) *float64 { return &pl.attainmentWeight }),
		durationKey("interval", "10s", 100*time.Millisecond, time.Hour, "time between two planning passes", func(pl *Planning) *time.Duration { return &pl.interval }),
		intKey("spare-replicas", "1", 0, 100, "replicas beyond one that a model keeps, so that the loss of a server leaves one", func(pl *Planning) *int { return &pl.spareReplicas }),
		boolKey("idle-models-yield", "no", "a model's last replica makes room for a model without one that is asked for more", func(pl *Planning) *bool { return &pl.idleModelsYield }),
		boolKey("spare-when-idle", "yes", "models that nobody asks for keep their spare replicas; if no, spare replicas also yield to unserved demand", func(pl *Planning) *bool { return &pl.spareWhenIdle }),
		floatKey("even-from", "0", 0, 1, "part of a server's slots that a replica has to carry before a model gets another one only to even out demand", func(pl *Planning) *float64 { return &pl.exchangeThreshold }),
		durationKey("smoothing", "8s", time.Millisecond, time.Hour, "time over which demand is smoothed", func(pl *Planning) *time.Duration { return &pl.smoothing }),
		durationKey("memory", "1h", time.Millisecond, 24*time.Hour, "time over which a model's mean demand is remembered", func(pl *Planning) *time.Duration { return &pl.meanSmoothing }),
		intKey("moves-per-hour", "30", 0, 100000, "budget of moves", func(pl *Planning) *int { return &pl.movesPerHour }),
		intKey("exchanges-per-pass", "1", 0, 1000, "replicas that one pass adds only to even out demand; 0 for as many as the weight store loads between two passes", func(pl *Planning) *int { return &pl.exchangesPerPass }),
	)
}
