package configurer

import "time"

// named is embedded in the types of all sections with a name.
type named struct{ name string }

// Name returns the name, which is unique within its kind of section.
func (nm *named) Name() string { return nm.name }

// Model is a model that callers can request.
type Model struct {
	named
	version     string
	memory      int64
	minReplicas int
	maxReplicas int
	share       float64
	pool        string
	placed      bool
	loadTime    time.Duration
}

// Version returns the version of the weights that servers should load.
func (md *Model) Version() string { return md.version }

// Memory returns the size of the weights on a backend server, in bytes.
func (md *Model) Memory() int64 { return md.memory }

// MinReplicas returns the minimum number of serving replicas.
func (md *Model) MinReplicas() int { return md.minReplicas }

// MaxReplicas returns the maximum number of replicas; zero means no limit.
func (md *Model) MaxReplicas() int { return md.maxReplicas }

// Share returns the weight of the model's expected demand relative to the other
// models. It is used until demand is observed.
func (md *Model) Share() float64 { return md.share }

// Pool returns the name of the pool whose backend servers may hold the model.
// It is empty for the servers without a pool.
func (md *Model) Pool() string { return md.pool }

// Placed reports whether the planner places the model. Otherwise, every server
// of the pool holds it permanently.
func (md *Model) Placed() bool { return md.placed }

// Adapter is a set of weights that adapts a model and is loaded on demand.
type Adapter struct {
	named
	model  string
	memory int64
}

// Model returns the name of the model that the adapter is for.
func (ad *Adapter) Model() string { return ad.model }

// Memory returns the size of the adapter on a backend server, in bytes.
func (ad *Adapter) Memory() int64 { return ad.memory }

// LoadTime returns the time of a load from the weight store, or 0 if it is not known.
func (md *Model) LoadTime() time.Duration { return md.loadTime }

// Caller is a client with an API key, and its permissions and quota.
type Caller struct {
	named
	keyHashes     []string
	models        []string
	adapters      []string
	services      []string
	classes       []string
	quota         float64
	burst         int
	quotaUnit     QuotaUnit
	defaultTokens int
	rank          int
	defaultClass  string
	operator      bool
}

// QuotaUnit is what a caller's quota counts.
type QuotaUnit string

// Units of quotas.
const (
	// QuotaRequests counts each request as one unit.
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the tokens of a request's prompt and the maximum of its
	// answer.
	QuotaTokens QuotaUnit = "tokens"
)

// KeyHashes returns the lower-case hexadecimal SHA-256 of each of the caller's API
// keys.
func (cr *Caller) KeyHashes() []string { return cr.keyHashes }

// Models returns the patterns of the models that the caller may use.
func (cr *Caller) Models() []string { return cr.models }

// Adapters returns the patterns of the adapters that the caller may use.
func (cr *Caller) Adapters() []string { return cr.adapters }

// Services returns the patterns of the plain services that the caller may use.
func (cr *Caller) Services() []string { return cr.services }

// Classes returns the patterns of the priority classes that the caller may use.
func (cr *Caller) Classes() []string { return cr.classes }

// Quota returns the units of QuotaUnit per second that the caller may use on all
// nodes together, or 0 for no limit.
func (cr *Caller) Quota() float64 { return cr.quota }

// Burst returns the units of QuotaUnit that the caller may use at once on all nodes
// together.
func (cr *Caller) Burst() int { return cr.burst }

// QuotaUnit returns what Quota and Burst count.
func (cr *Caller) QuotaUnit() QuotaUnit { return cr.quotaUnit }

// Cost returns the units of QuotaUnit that a request takes from the quota. The
// numbers of tokens are those of the prompt and the maximum of the answer; both are
// 0 if the request does not name them.
func (cr *Caller) Cost(promptTokens, maxTokens int) int {
	switch {
	case cr.quotaUnit != QuotaTokens:
		return 1
	case promptTokens == 0 && maxTokens == 0:
		return cr.defaultTokens
	}
	return promptTokens + maxTokens
}

// Rank returns the rank of the caller's requests, or false if it is that of their
// class.
func (cr *Caller) Rank() (rank int, ok bool) { return cr.rank, cr.rank >= 0 }

// DefaultClass returns the priority class of requests that specify none.
func (cr *Caller) DefaultClass() string { return cr.defaultClass }

// Operator reports whether the caller may drain nodes and read their state and
// counters.
func (cr *Caller) Operator() bool { return cr.operator }

// Class is a priority class with its latency targets.
type Class struct {
	named
	rank       int
	firstToken time.Duration
	tokenGap   time.Duration
	deadline   time.Duration
	minShare   float64
}

// Rank returns the rank by urgency; zero is the most urgent.
func (cs *Class) Rank() int { return cs.rank }

// FirstToken returns the target for the time to first token.
func (cs *Class) FirstToken() time.Duration { return cs.firstToken }

// TokenGap returns the target for the time between two tokens.
func (cs *Class) TokenGap() time.Duration { return cs.tokenGap }

// Deadline returns the time from a request's arrival after which its answer has
// no value.
func (cs *Class) Deadline() time.Duration { return cs.deadline }

// MinShare returns the minimum share of capacity that the class gets under any
// load, from 0 to 1.
func (cs *Class) MinShare() float64 { return cs.minShare }

// EngineKind describes the capabilities of a kind of backend server.
type EngineKind struct {
	named
	checksFencing     bool
	lateOrderBound    time.Duration
	resumes           bool
	countsOrders      bool
	acceptsRoleOrders bool
	transfersCache    bool
}

// ChecksFencing reports whether the engine refuses orders with an old fencing
// number.
func (ek *EngineKind) ChecksFencing() bool { return ek.checksFencing }

// LateOrderBound returns the maximum time between the recording of an order and
// its arrival at the engine; zero means that no bound is known.
func (ek *EngineKind) LateOrderBound() time.Duration { return ek.lateOrderBound }

// CountsOrders reports whether the engine counts the orders that it accepts and
// refuses an order that was sent for a different count.
func (ek *EngineKind) CountsOrders() bool { return ek.countsOrders }

// AcceptsRoleOrders reports whether the engine accepts orders to change its
// role.
func (ek *EngineKind) AcceptsRoleOrders() bool { return ek.acceptsRoleOrders }

// Resumes reports whether the engine can resume a broken stream from a token.
func (ek *EngineKind) Resumes() bool { return ek.resumes }

// TransfersCache reports whether the engine exports and imports KV cache.
func (ek *EngineKind) TransfersCache() bool { return ek.transfersCache }

// Role is the phase of a request that a backend server runs: prefill, decode or
// both.
type Role string

// The roles.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// BackendServer is a VM with accelerators that runs a model engine.
type BackendServer struct {
	named
	kind           string
	address        string
	zone           string
	role           Role
	accelerators   int
	memory         int64
	cacheReserve   int64
	adapterReserve int64
	slots          int
	pool           string
	cacheTokens    int
}

// Kind returns the name of the server's engine kind.
func (bs *BackendServer) Kind() string { return bs.kind }

// Address returns the host and port of the engine.
func (bs *BackendServer) Address() string { return bs.address }

// Zone returns the availability zone of the server.
func (bs *BackendServer) Zone() string { return bs.zone }

// Role returns the role in which the server starts.
func (bs *BackendServer) Role() Role { return bs.role }

// Accelerators returns the number of accelerators.
func (bs *BackendServer) Accelerators() int { return bs.accelerators }

// Memory returns the accelerator memory, in bytes.
func (bs *BackendServer) Memory() int64 { return bs.memory }

// CacheReserve returns the memory reserved for KV cache, in bytes.
func (bs *BackendServer) CacheReserve() int64 { return bs.cacheReserve }

// AdapterReserve returns the memory reserved for adapters, in bytes.
func (bs *BackendServer) AdapterReserve() int64 { return bs.adapterReserve }

// Slots returns the number of requests that the server runs concurrently at
// full speed.
func (bs *BackendServer) Slots() int { return bs.slots }

// Pool returns the name of the server's pool, or an empty string if it has
// none.
func (bs *BackendServer) Pool() string { return bs.pool }

// CacheTokens returns the size of the KV cache, in tokens, that running
// requests and cached prompts share; zero means that it is unknown.
func (bs *BackendServer) CacheTokens() int { return bs.cacheTokens }

// WeightMemory returns the memory available for model weights, in bytes.
func (bs *BackendServer) WeightMemory() int64 {
	return bs.memory - bs.cacheReserve - bs.adapterReserve
}

// Service is a plain service: a backend that is not a model engine.
type Service struct {
	named
	addresses     []string
	nonRepeatable []string
	honoursKey    bool
	timeout       time.Duration
}

// Addresses returns the hosts and ports of the service's instances.
func (sv *Service) Addresses() []string { return sv.addresses }

// NonRepeatable returns the patterns of calls that must not be sent twice, as
// "METHOD /path" with a trailing * for a prefix.
func (sv *Service) NonRepeatable() []string { return sv.nonRepeatable }

// HonoursKey reports whether the service itself runs a call at most once for
// each idempotency key.
func (sv *Service) HonoursKey() bool { return sv.honoursKey }

// Timeout returns the time to wait for the answer to a call.
func (sv *Service) Timeout() time.Duration { return sv.timeout }

// Limits holds the limits of the entry nodes: some for all nodes together, some
// for each node.
type Limits struct {
	weightLoadsPerSecond  float64
	weightLoadsAtOnce     int
	adaptersInTransit     int
	queueRequests         int
	queueBytes            int64
	bodyBytes             int64
	storeWritesPerSecond  float64
	storeReadsPerSecond   float64
	entryNodes            int
	addressesInAnswer     int
	maxConfigurationAge   time.Duration
	addressAnswerLifetime time.Duration
	headerBytes           int64
	headerTimeout         time.Duration
	idleTimeout           time.Duration
}

// WeightLoadsPerSecond returns the rate of model loads that the weight store
// sustains.
func (lm *Limits) WeightLoadsPerSecond() float64 { return lm.weightLoadsPerSecond }

// WeightLoadsAtOnce returns the number of concurrent model loads that run at
// full speed.
func (lm *Limits) WeightLoadsAtOnce() int { return lm.weightLoadsAtOnce }

// AdaptersInTransit returns the number of concurrent adapter loads that run at
// full speed.
func (lm *Limits) AdaptersInTransit() int { return lm.adaptersInTransit }

// QueueRequests returns the maximum number of requests in the queue of one
// node.
func (lm *Limits) QueueRequests() int { return lm.queueRequests }

// QueueBytes returns the maximum size of all request bodies in the queue of one
// node, in bytes.
func (lm *Limits) QueueBytes() int64 { return lm.queueBytes }

// BodyBytes returns the maximum size of a request body, in bytes.
func (lm *Limits) BodyBytes() int64 { return lm.bodyBytes }

// HeaderBytes returns the maximum size of a request's header, in bytes.
func (lm *Limits) HeaderBytes() int64 { return lm.headerBytes }

// HeaderTimeout returns the time allowed to read the header of a request.
func (lm *Limits) HeaderTimeout() time.Duration { return lm.headerTimeout }

// IdleTimeout returns the maximum idle time of a caller's connection.
func (lm *Limits) IdleTimeout() time.Duration { return lm.idleTimeout }

// StoreWritesPerSecond returns the maximum rate of writes to the platform's
// store by all nodes together.
func (lm *Limits) StoreWritesPerSecond() float64 { return lm.storeWritesPerSecond }

// StoreReadsPerSecond returns the maximum rate of reads from the platform's
// store by all nodes together.
func (lm *Limits) StoreReadsPerSecond() float64 { return lm.storeReadsPerSecond }

// EntryNodes returns the number of entry nodes that share the limits for all
// nodes.
func (lm *Limits) EntryNodes() int { return lm.entryNodes }

// AddressesInAnswer returns the number of entry node addresses in an answer to
// a caller.
func (lm *Limits) AddressesInAnswer() int { return lm.addressesInAnswer }

// MaxConfigurationAge returns the age of a node's configuration from which it refuses
// requests that need a key, or 0 for none.
func (lm *Limits) MaxConfigurationAge() time.Duration { return lm.maxConfigurationAge }

// AddressAnswerLifetime returns how long a caller may cache the addresses.
func (lm *Limits) AddressAnswerLifetime() time.Duration { return lm.addressAnswerLifetime }

// Records holds the settings of at-most-once records and of jobs.
type Records struct {
	shards      int
	retention   time.Duration
	resultBytes int
	shardBytes  int64
	interval    time.Duration

	jobRetention time.Duration
	jobsAtOnce   int
	jobBytes     int64
}

// Shards returns the number of shards of the key space.
func (rc *Records) Shards() int { return rc.shards }

// Retention returns the minimum time that the record of a key is kept.
func (rc *Records) Retention() time.Duration { return rc.retention }

// ResultBytes returns the maximum size of a result kept for repeated requests,
// in bytes.
func (rc *Records) ResultBytes() int { return rc.resultBytes }

// ShardBytes returns the maximum size of the records of one shard, in bytes.
func (rc *Records) ShardBytes() int64 { return rc.shardBytes }

// Interval returns the minimum time between two writes of one shard.
func (rc *Records) Interval() time.Duration { return rc.interval }

// JobRetention returns how long the result of a job is kept.
func (rc *Records) JobRetention() time.Duration { return rc.jobRetention }

// JobsAtOnce returns the number of jobs that one node runs concurrently.
func (rc *Records) JobsAtOnce() int { return rc.jobsAtOnce }

// JobBytes returns the maximum size of a job's body and of its result, in
// bytes.
func (rc *Records) JobBytes() int64 { return rc.jobBytes }

// Retries holds the settings of retries.
type Retries struct {
	budget       float64
	attemptLimit int
	backoff      time.Duration
	maxBackoff   time.Duration
	window       time.Duration
	slack        int
}

// Budget returns the number of retries allowed per successful request.
func (rt *Retries) Budget() float64 { return rt.budget }

// Window returns the time over which the retries of all nodes together are
// limited. Zero means that each node limits its own retries by its last
// attempts.
func (rt *Retries) Window() time.Duration { return rt.window }

// Slack returns the number of retries per window that all nodes together may
// make in addition to the budget.
func (rt *Retries) Slack() int { return rt.slack }

// AttemptLimit returns the maximum number of attempts of one request.
func (rt *Retries) AttemptLimit() int { return rt.attemptLimit }

// Backoff returns the delay before the first retry.
func (rt *Retries) Backoff() time.Duration { return rt.backoff }

// MaxBackoff returns the maximum delay before a retry.
func (rt *Retries) MaxBackoff() time.Duration { return rt.maxBackoff }

// Timeouts holds the timeouts of failure detection, leases and drains.
type Timeouts struct {
	heartbeat     time.Duration
	peerSilence   time.Duration
	engineSilence time.Duration
	leaseLifetime time.Duration
	drain         time.Duration
}

// Heartbeat returns the interval between two heartbeats.
func (to *Timeouts) Heartbeat() time.Duration { return to.heartbeat }

// PeerSilence returns how long a peer may send nothing before its connection is
// closed.
func (to *Timeouts) PeerSilence() time.Duration { return to.peerSilence }

// EngineSilence returns how long a stream from a backend server may make no
// progress before it is aborted.
func (to *Timeouts) EngineSilence() time.Duration { return to.engineSilence }

// LeaseLifetime returns the lifetime of a node's membership and of its shares
// of limits.
func (to *Timeouts) LeaseLifetime() time.Duration { return to.leaseLifetime }

// Drain returns how long a planned stop waits for in-flight requests.
func (to *Timeouts) Drain() time.Duration { return to.drain }

// Planning holds the settings of model placement.
type Planning struct {
	moveWeight        float64
	attainmentWeight  float64
	interval          time.Duration
	movesPerHour      int
	exchangesPerPass  int
	smoothing         time.Duration
	meanSmoothing     time.Duration
	spareReplicas     int
	spareWhenIdle     bool
	idleModelsYield   bool
	exchangeThreshold float64
}

// MoveWeight returns the cost of one model move, in the unit of
// AttainmentWeight.
func (pl *Planning) MoveWeight() float64 { return pl.moveWeight }

// AttainmentWeight returns the value of attainment per accelerator.
func (pl *Planning) AttainmentWeight() float64 { return pl.attainmentWeight }

// Interval returns the time between two planning passes.
func (pl *Planning) Interval() time.Duration { return pl.interval }

// SpareReplicas returns the number of replicas that a model has beyond the
// first.
func (pl *Planning) SpareReplicas() int { return pl.spareReplicas }

// IdleModelsYield reports whether the last replica of a model may be evicted for
// a model without a replica that has clearly more demand.
func (pl *Planning) IdleModelsYield() bool { return pl.idleModelsYield }

// SpareWhenIdle reports whether models without demand keep their spare
// replicas.
func (pl *Planning) SpareWhenIdle() bool { return pl.spareWhenIdle }

// ExchangeThreshold returns the minimum demand per replica, as a fraction of a
// server's slots, at which a model gets another replica just to balance demand.
func (pl *Planning) ExchangeThreshold() float64 { return pl.exchangeThreshold }

// Smoothing returns the time constant of the moving average of current demand.
func (pl *Planning) Smoothing() time.Duration { return pl.smoothing }

// MeanSmoothing returns the time constant of the moving average of mean demand.
func (pl *Planning) MeanSmoothing() time.Duration { return pl.meanSmoothing }

// ExchangesPerPass returns how many replicas one pass may add only to even out demand,
// or 0 for as many as the weight store loads between two passes.
func (pl *Planning) ExchangesPerPass() int { return pl.exchangesPerPass }

// MovesPerHour returns the move budget; moves that replace missing replicas do
// not count.
func (pl *Planning) MovesPerHour() int { return pl.movesPerHour }
