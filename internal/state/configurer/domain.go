package configurer

import "time"

// named is what every section with a name has.
type named struct{ name string }

// Name returns the name, unique within its kind of section.
func (nm *named) Name() string { return nm.name }

// Model is a model that the operators offer.
type Model struct {
	named
	version     string
	memory      int64
	minReplicas int
	maxReplicas int
	share       float64
	pool        string
	placed      bool
}

// Version returns the version of the weights in force.
func (md *Model) Version() string { return md.version }

// Memory returns the bytes that the weights take on a backend server.
func (md *Model) Memory() int64 { return md.memory }

// MinReplicas returns the number of replicas that always serve.
func (md *Model) MinReplicas() int { return md.minReplicas }

// MaxReplicas returns the greatest number of replicas; zero means no limit.
func (md *Model) MaxReplicas() int { return md.maxReplicas }

// Share returns the part of demand expected before any was seen, by weight.
func (md *Model) Share() float64 { return md.share }

// Pool returns the name of the pool of backend servers that the model belongs
// to; empty names the servers without a pool.
func (md *Model) Pool() string { return md.pool }

// Placed reports whether the system places the model. Each server of the pool
// holds a model that is not placed for good.
func (md *Model) Placed() bool { return md.placed }

// Adapter is a small addition to a model's weights, loaded on demand.
type Adapter struct {
	named
	model  string
	memory int64
}

// Model returns the name of the model that the adapter belongs to.
func (ad *Adapter) Model() string { return ad.model }

// Memory returns the bytes that the adapter takes on a backend server.
func (ad *Adapter) Memory() int64 { return ad.memory }

// Caller is someone who may send requests.
type Caller struct {
	named
	keyHash      string
	models       []string
	adapters     []string
	services     []string
	classes      []string
	quota        float64
	burst        int
	defaultClass string
	operator     bool
}

// KeyHash returns the lower-case hexadecimal SHA-256 of the caller's API key.
func (cr *Caller) KeyHash() string { return cr.keyHash }

// Models returns the patterns of the models that the caller may use.
func (cr *Caller) Models() []string { return cr.models }

// Adapters returns the patterns of the adapters that the caller may use.
func (cr *Caller) Adapters() []string { return cr.adapters }

// Services returns the patterns of the plain services that the caller may use.
func (cr *Caller) Services() []string { return cr.services }

// Classes returns the patterns of the priority classes that the caller may use.
func (cr *Caller) Classes() []string { return cr.classes }

// Quota returns the requests a second that the caller may send in all.
func (cr *Caller) Quota() float64 { return cr.quota }

// Burst returns the requests that the caller may send at once.
func (cr *Caller) Burst() int { return cr.burst }

// DefaultClass returns the class of requests that name none.
func (cr *Caller) DefaultClass() string { return cr.defaultClass }

// Operator reports whether the caller may read the state of nodes and drain
// them.
func (cr *Caller) Operator() bool { return cr.operator }

// Class is a priority class with its targets.
type Class struct {
	named
	rank       int
	firstToken time.Duration
	tokenGap   time.Duration
	deadline   time.Duration
	minShare   float64
}

// Rank returns the order of urgency; zero is the most urgent.
func (cs *Class) Rank() int { return cs.rank }

// FirstToken returns the target for the time to the first token.
func (cs *Class) FirstToken() time.Duration { return cs.firstToken }

// TokenGap returns the target for the time between tokens.
func (cs *Class) TokenGap() time.Duration { return cs.tokenGap }

// Deadline returns the time after which an answer is worthless.
func (cs *Class) Deadline() time.Duration { return cs.deadline }

// MinShare returns the part of capacity that the class gets under any load.
func (cs *Class) MinShare() float64 { return cs.minShare }

// EngineKind describes the behaviour of a kind of backend server.
type EngineKind struct {
	named
	checksFencing  bool
	lateOrderBound time.Duration
	resumes        bool
	countsOrders   bool
	takesRoles     bool
	transfersCache bool
}

// ChecksFencing reports whether orders with an old fencing number are refused.
func (ek *EngineKind) ChecksFencing() bool { return ek.checksFencing }

// LateOrderBound returns the longest time after its recording that an order
// can still arrive; zero means that no bound is known.
func (ek *EngineKind) LateOrderBound() time.Duration { return ek.lateOrderBound }

// CountsOrders reports whether the engine counts the orders that it accepts and
// refuses one that was sent for another count.
func (ek *EngineKind) CountsOrders() bool { return ek.countsOrders }

// TakesRoles reports whether the engine takes orders to change its role.
func (ek *EngineKind) TakesRoles() bool { return ek.takesRoles }

// Resumes reports whether a broken stream can be resumed from a token.
func (ek *EngineKind) Resumes() bool { return ek.resumes }

// TransfersCache reports whether KV cache can be exported and imported.
func (ek *EngineKind) TransfersCache() bool { return ek.transfersCache }

// Role is the part of a request that a backend server runs.
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

// Zone returns the availability zone.
func (bs *BackendServer) Zone() string { return bs.zone }

// Role returns the role in which the server starts.
func (bs *BackendServer) Role() Role { return bs.role }

// Accelerators returns the number of accelerators.
func (bs *BackendServer) Accelerators() int { return bs.accelerators }

// Memory returns the bytes of accelerator memory.
func (bs *BackendServer) Memory() int64 { return bs.memory }

// CacheReserve returns the bytes kept for KV cache.
func (bs *BackendServer) CacheReserve() int64 { return bs.cacheReserve }

// AdapterReserve returns the bytes kept for adapters.
func (bs *BackendServer) AdapterReserve() int64 { return bs.adapterReserve }

// Slots returns the number of requests that run at once at full speed.
func (bs *BackendServer) Slots() int { return bs.slots }

// Pool returns the name of the pool that the server belongs to, or nothing.
func (bs *BackendServer) Pool() string { return bs.pool }

// CacheTokens returns the tokens that running requests and kept prompts share;
// zero means that it is not known.
func (bs *BackendServer) CacheTokens() int { return bs.cacheTokens }

// WeightMemory returns the bytes that may hold model weights.
func (bs *BackendServer) WeightMemory() int64 {
	return bs.memory - bs.cacheReserve - bs.adapterReserve
}

// Service is a plain service beside the model engines.
type Service struct {
	named
	addresses     []string
	nonRepeatable []string
	honoursKey    bool
	timeout       time.Duration
}

// Addresses returns the hosts and ports of the service's instances.
func (sv *Service) Addresses() []string { return sv.addresses }

// NonRepeatable returns the calls that may not be repeated, as "METHOD /path"
// with a trailing * for a prefix.
func (sv *Service) NonRepeatable() []string { return sv.nonRepeatable }

// HonoursKey reports whether the service itself runs an idempotency key once.
func (sv *Service) HonoursKey() bool { return sv.honoursKey }

// Timeout returns the time after which a call without an answer is given up.
func (sv *Service) Timeout() time.Duration { return sv.timeout }

// Limits holds what all nodes share.
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
	addressAnswerLifetime time.Duration
	headerBytes           int64
	headerTimeout         time.Duration
	idleTimeout           time.Duration
}

// WeightLoadsPerSecond returns the model loads a second of the weight store.
func (lm *Limits) WeightLoadsPerSecond() float64 { return lm.weightLoadsPerSecond }

// WeightLoadsAtOnce returns the model loads at once at full speed.
func (lm *Limits) WeightLoadsAtOnce() int { return lm.weightLoadsAtOnce }

// AdaptersInTransit returns the adapter loads at once at full speed.
func (lm *Limits) AdaptersInTransit() int { return lm.adaptersInTransit }

// QueueRequests returns the requests that one node lets wait.
func (lm *Limits) QueueRequests() int { return lm.queueRequests }

// QueueBytes returns the bytes of request bodies that one node lets wait.
func (lm *Limits) QueueBytes() int64 { return lm.queueBytes }

// BodyBytes returns the largest request body.
func (lm *Limits) BodyBytes() int64 { return lm.bodyBytes }

// HeaderBytes returns the size of the largest head of a request.
func (lm *Limits) HeaderBytes() int64 { return lm.headerBytes }

// HeaderTimeout returns the time in which the head of a request has to arrive.
func (lm *Limits) HeaderTimeout() time.Duration { return lm.headerTimeout }

// IdleTimeout returns how long a caller's connection may be idle.
func (lm *Limits) IdleTimeout() time.Duration { return lm.idleTimeout }

// StoreWritesPerSecond returns the writes to the platform's store by all nodes.
func (lm *Limits) StoreWritesPerSecond() float64 { return lm.storeWritesPerSecond }

// StoreReadsPerSecond returns the reads of the platform's store by all nodes.
func (lm *Limits) StoreReadsPerSecond() float64 { return lm.storeReadsPerSecond }

// EntryNodes returns the number of entry nodes that the limits are divided
// among.
func (lm *Limits) EntryNodes() int { return lm.entryNodes }

// AddressesInAnswer returns how many entry addresses a caller is told.
func (lm *Limits) AddressesInAnswer() int { return lm.addressesInAnswer }

// AddressAnswerLifetime returns how long a caller keeps the addresses.
func (lm *Limits) AddressAnswerLifetime() time.Duration { return lm.addressAnswerLifetime }

// Records holds the settings of the at-most-once record.
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

// Shards returns the number of parts of the key space.
func (rc *Records) Shards() int { return rc.shards }

// Retention returns how long a key is remembered at least.
func (rc *Records) Retention() time.Duration { return rc.retention }

// ResultBytes returns the largest result kept for a repeated key.
func (rc *Records) ResultBytes() int { return rc.resultBytes }

// ShardBytes returns the bytes that the records of one shard may take.
func (rc *Records) ShardBytes() int64 { return rc.shardBytes }

// Interval returns the least time between two writes of one shard.
func (rc *Records) Interval() time.Duration { return rc.interval }

// JobRetention returns how long the result of a job is kept.
func (rc *Records) JobRetention() time.Duration { return rc.jobRetention }

// JobsAtOnce returns the number of jobs that one node runs at once.
func (rc *Records) JobsAtOnce() int { return rc.jobsAtOnce }

// JobBytes returns the size of the largest body and of the largest result.
func (rc *Records) JobBytes() int64 { return rc.jobBytes }

// Retries holds the settings of retries.
type Retries struct {
	budget     float64
	attempts   int
	backoff    time.Duration
	maxBackoff time.Duration
	window     time.Duration
	slack      int
}

// Budget returns the retries allowed as a part of successful traffic.
func (rt *Retries) Budget() float64 { return rt.budget }

// Window returns the time over which the retries of all nodes are bounded, or
// zero if only each node's last sendings bound them.
func (rt *Retries) Window() time.Duration { return rt.window }

// Slack returns the retries of all nodes in a window beyond the budget.
func (rt *Retries) Slack() int { return rt.slack }

// Attempts returns how often one request is sent at most.
func (rt *Retries) Attempts() int { return rt.attempts }

// Backoff returns the delay before the first retry.
func (rt *Retries) Backoff() time.Duration { return rt.backoff }

// MaxBackoff returns the longest delay before a retry.
func (rt *Retries) MaxBackoff() time.Duration { return rt.maxBackoff }

// Timeouts holds the detection times.
type Timeouts struct {
	heartbeat     time.Duration
	peerSilence   time.Duration
	engineSilence time.Duration
	leaseLifetime time.Duration
	drain         time.Duration
}

// Heartbeat returns the time between two signs of life.
func (to *Timeouts) Heartbeat() time.Duration { return to.heartbeat }

// PeerSilence returns the silence after which a peer's connection is dropped.
func (to *Timeouts) PeerSilence() time.Duration { return to.peerSilence }

// EngineSilence returns the time without progress after which a stream from a
// backend server is given up.
func (to *Timeouts) EngineSilence() time.Duration { return to.engineSilence }

// LeaseLifetime returns the lifetime of shares and membership.
func (to *Timeouts) LeaseLifetime() time.Duration { return to.leaseLifetime }

// Drain returns how long a planned stop waits for requests in progress.
func (to *Timeouts) Drain() time.Duration { return to.drain }

// Planning holds the weights of placement.
type Planning struct {
	moveWeight       float64
	attainmentWeight float64
	interval         time.Duration
	movesPerHour     int
	smoothing        time.Duration
	memory           time.Duration
	spareReplicas    int
	spareWhenIdle    bool
	evenFrom         float64
}

// MoveWeight returns the cost of one model move.
func (pl *Planning) MoveWeight() float64 { return pl.moveWeight }

// AttainmentWeight returns the worth of attainment per accelerator.
func (pl *Planning) AttainmentWeight() float64 { return pl.attainmentWeight }

// Interval returns the time between two planning passes.
func (pl *Planning) Interval() time.Duration { return pl.interval }

// SpareReplicas returns the replicas beyond one that a model keeps.
func (pl *Planning) SpareReplicas() int { return pl.spareReplicas }

// SpareWhenIdle reports whether models that nobody asks for keep their spare
// replicas.
func (pl *Planning) SpareWhenIdle() bool { return pl.spareWhenIdle }

// EvenFrom returns the part of a server's slots that a replica has to carry
// before its model gets another one only to even out demand.
func (pl *Planning) EvenFrom() float64 { return pl.evenFrom }

// Smoothing returns the time over which demand is smoothed.
func (pl *Planning) Smoothing() time.Duration { return pl.smoothing }

// Memory returns the time over which a model's mean demand is remembered.
func (pl *Planning) Memory() time.Duration { return pl.memory }

// MovesPerHour returns the budget of moves; repairs do not count.
func (pl *Planning) MovesPerHour() int { return pl.movesPerHour }
