// Package isolator shares the quarantine of a node with the other nodes and the
// platform's store, and decides for the dispatcher which requests are kept from
// backend servers.
//
// What a node sees of a crash goes to all nodes at once; their answers say what
// they completed of it. An exclusion also goes to the store, since nodes that
// start later, or all at the same time, have no other memory. The leader writes it
// there; while no node leads, the node that saw the last crash does. A node that
// knows of an exclusion which is not in the store tells the leader.
//
// # Usage
//
//	is := isolator.New(pool, peers, leader, isolator.WithStore(store, "prefix/"))
//	dt := crashdetector.New(refuses, crashdetector.WithOnCrash(is.Crashed))
//	go is.Run(ctx)
//	if wait, _ := is.Admit(ctx, parts); wait > 0 { ... } // refuse the request
package isolator

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/quarantiner"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

const (
	// syncInterval is the time between two comparisons with the store.
	syncInterval = 500 * time.Millisecond
	// callTimeout bounds the calls of peers and of the store.
	callTimeout = 300 * time.Millisecond
	// askInterval is the time between two requests for a trial of one part.
	askInterval = time.Second
	// minReportInterval is the least time between two reports of an exclusion to
	// the leader.
	minReportInterval = 2 * time.Second
	// maxWrites bounds the keys of one transaction.
	maxWrites = 32
)

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Leader returns the address of the leader, whether that is this node, and
// whether there is a leader.
type Leader func() (address string, self, ok bool)

// Isolator is the quarantine of one node. It is safe for concurrent use.
type Isolator struct {
	quarantine *quarantiner.Quarantine
	caller     Caller
	// peers returns the addresses of the other nodes.
	peers  func() []string
	leader Leader
	// store and prefix are where exclusions are stored; store is nil if they are
	// not.
	store    storer.Keyspace
	prefix   string
	registry *counter.Registry
	// wake starts the next comparison with the store at once.
	wake chan struct{}

	mu sync.Mutex
	// stored has the failures of the exclusions in the store by part.
	stored map[uint64]int
	// askedAt is when a trial was last requested by part.
	askedAt map[uint64]time.Time
	// nextReport is when exclusions are next reported to the leader.
	nextReport time.Time
}

// Option configures an Isolator.
type Option func(*Isolator)

// WithStore makes the isolator keep exclusions in the store under the prefix. It
// has to be told of changes there with Replace and Apply.
func WithStore(st storer.Keyspace, prefix string) Option {
	return func(is *Isolator) { is.store, is.prefix = st, prefix }
}

// WithRegistry sets the registry that counts exclusions.
func WithRegistry(rg *counter.Registry) Option { return func(is *Isolator) { is.registry = rg } }

// New returns the isolator of a node that excludes nothing.
func New(ca Caller, peers func() []string, leader Leader, opts ...Option) *Isolator {
	is := &Isolator{
		quarantine: quarantiner.New(),
		caller:     ca,
		peers:      peers,
		leader:     leader,
		stored:     map[uint64]int{},
		askedAt:    map[uint64]time.Time{},
		wake:       make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(is)
	}
	return is
}

// Admit returns how long a request with the parts is kept from servers, or zero if
// it may be sent. A request that is sent on trial must not be sent again.
func (is *Isolator) Admit(ctx context.Context, parts []uint64) (wait time.Duration, trial bool) {
	vd := is.quarantine.Check(time.Now(), parts)
	if vd.Wait == 0 || !vd.Trial || !is.mayTry(ctx, vd.Part) {
		return vd.Wait, false
	}
	log.WithField("part", hex(vd.Part)).Info("request with an excluded part is sent on trial")
	is.registry.Inc("quarantine", "trial")
	return 0, true
}

// mayTry asks the leader for a trial, not too often.
func (is *Isolator) mayTry(ctx context.Context, part uint64) bool {
	now := time.Now()
	is.mu.Lock()
	due := now.Sub(is.askedAt[part]) >= askInterval
	if due {
		is.askedAt[part] = now
	}
	is.mu.Unlock()
	address, self, ok := is.leader()
	switch {
	case !due || !ok:
		return false
	case self:
		return is.quarantine.Try(now, part)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := is.caller.Call(ctx, address, &messenger.Trial{Part: part})
	ta, ok := answer.(*messenger.TrialAnswer)
	return err == nil && ok && ta.Granted
}

// Watch has the function called, without blocking, when one of the parts is
// excluded. The returned function ends it.
func (is *Isolator) Watch(parts []uint64, excluded func()) (stop func()) {
	return is.quarantine.Watch(parts, excluded)
}

// Succeeded records a completed answer to a request with the parts. If one of them
// was excluded, it tells all nodes.
func (is *Isolator) Succeeded(parts []uint64) {
	lifted := is.quarantine.Succeeded(time.Now(), parts)
	if len(lifted) == 0 {
		return
	}
	vh := &messenger.Vouch{}
	for _, part := range lifted {
		is.logLifted(part, "an answer with it was completed")
		vh.Vouchers = append(vh.Vouchers, messenger.Voucher{Part: part})
	}
	go is.tellAll(vh)
}

// Crashed records a crash that this node has seen, and tells all nodes.
func (is *Isolator) Crashed(cr crashdetector.Crash) {
	now := time.Now()
	rp := quarantiner.NewReport(now, cr)
	if len(rp.Marks) == 0 {
		return
	}
	// Nodes that started since the first crashes do not have all of the evidence.
	for _, part := range is.record(rp) {
		go is.share(&messenger.Exclude{Part: part}, nil)
		if _, _, ok := is.leader(); !ok {
			go is.write(context.Background(), []quarantiner.Exclusion{{Part: part}}, nil)
		}
	}
	call := &messenger.CrashReport{Server: rp.Server, Age: rp.Age}
	for _, mk := range rp.Marks {
		call.Marks = append(call.Marks, messenger.CrashMark{Part: mk.Part, Answering: mk.Answering, InFlight: mk.InFlight})
	}
	is.share(call, is.quarantine.Vouchers(now, rp))
}

// share calls all nodes and tells them all what some of them, or this one,
// completed.
func (is *Isolator) share(call messenger.Message, own []quarantiner.Voucher) {
	best := map[uint64]time.Duration{}
	for _, vc := range append(is.tellAll(call), own...) {
		if age, ok := best[vc.Part]; !ok || vc.Age < age {
			best[vc.Part] = vc.Age
		}
	}
	if len(best) == 0 {
		return
	}
	vh := &messenger.Vouch{}
	for part, age := range best {
		vh.Vouchers = append(vh.Vouchers, messenger.Voucher{Part: part, Age: age})
	}
	is.accept(fromMessages(vh.Vouchers))
	is.tellAll(vh)
}

func (is *Isolator) accept(vouchers []quarantiner.Voucher) {
	for _, part := range is.quarantine.Accept(time.Now(), vouchers) {
		is.logLifted(part, "another node completed an answer with it")
	}
}

// record takes up a report, and logs and returns what is excluded because of it.
func (is *Isolator) record(rp quarantiner.Report) []uint64 {
	excluded := is.quarantine.Record(time.Now(), rp)
	for _, part := range excluded {
		is.registry.Inc("quarantine", "excluded")
		log.WithFields(log.Fields{"part": hex(part), "server": rp.Server}).
			Warn("part of prompts crashes backend servers; requests with it are refused")
	}
	if len(excluded) > 0 {
		is.syncSoon()
	}
	return excluded
}

// syncSoon starts a comparison with the store, since a node's memory of an
// exclusion may not last until the next one.
func (is *Isolator) syncSoon() {
	is.mu.Lock()
	is.nextReport = time.Time{}
	is.mu.Unlock()
	select {
	case is.wake <- struct{}{}:
	default:
	}
}

func (is *Isolator) logLifted(part uint64, why string) {
	is.registry.Inc("quarantine", "lifted")
	log.WithFields(log.Fields{"part": hex(part), "reason": why}).Info("part of prompts is no longer excluded")
}

// Handle answers a message of a peer. It returns nil if the message is of another
// kind.
func (is *Isolator) Handle(call messenger.Message) messenger.Message {
	now := time.Now()
	switch tc := call.(type) {
	case *messenger.CrashReport:
		rp := quarantiner.Report{Server: tc.Server, Age: tc.Age}
		for _, cm := range tc.Marks {
			rp.Marks = append(rp.Marks, quarantiner.Mark{Part: cm.Part, Answering: cm.Answering, InFlight: cm.InFlight})
		}
		is.record(rp)
		return &messenger.Vouched{Vouchers: toMessages(is.quarantine.Vouchers(now, rp))}
	case *messenger.Exclude:
		is.exclude(quarantiner.Exclusion{Part: tc.Part, Failures: tc.Failures, Age: tc.Age})
		vouchers := is.quarantine.Vouchers(now, quarantiner.Report{Marks: []quarantiner.Mark{{Part: tc.Part}}})
		return &messenger.Vouched{Vouchers: toMessages(vouchers)}
	case *messenger.Vouch:
		is.accept(fromMessages(tc.Vouchers))
		return &messenger.Vouched{}
	case *messenger.Trial:
		return &messenger.TrialAnswer{Granted: is.quarantine.Try(now, tc.Part)}
	}
	return nil
}

func (is *Isolator) exclude(es quarantiner.Exclusion) {
	if is.quarantine.Exclude(time.Now(), es) {
		is.syncSoon()
		is.registry.Inc("quarantine", "excluded")
		log.WithFields(log.Fields{"part": hex(es.Part), "failures": es.Failures}).
			Warn("another node excludes a part of prompts; requests with it are refused")
	}
}

// tellAll calls all other nodes and returns what they completed.
func (is *Isolator) tellAll(call messenger.Message) []quarantiner.Voucher {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []quarantiner.Voucher
	var calls sync.WaitGroup
	for _, address := range is.peers() {
		calls.Go(func() {
			answer, err := is.caller.Call(ctx, address, call)
			vd, ok := answer.(*messenger.Vouched)
			if err != nil || !ok {
				is.registry.Inc("quarantine", "untold")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, fromMessages(vd.Vouchers)...)
		})
	}
	calls.Wait()
	return all
}

func toMessages(vouchers []quarantiner.Voucher) (out []messenger.Voucher) {
	for _, vc := range vouchers {
		out = append(out, messenger.Voucher{Part: vc.Part, Age: vc.Age})
	}
	return out
}

func fromMessages(vouchers []messenger.Voucher) (out []quarantiner.Voucher) {
	for _, vc := range vouchers {
		out = append(out, quarantiner.Voucher{Part: vc.Part, Age: vc.Age})
	}
	return out
}

func hex(part uint64) string { return strconv.FormatUint(part, 16) }

// Run keeps the exclusions in the store up to date until the context ends, and
// returns nil.
func (is *Isolator) Run(ctx context.Context) error {
	tk := time.NewTicker(syncInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tk.C:
		case <-is.wake:
		}
		is.sync(ctx)
	}
}

// sync compares this node's exclusions with those in the store. The leader writes
// the difference; another node tells the leader.
func (is *Isolator) sync(ctx context.Context) {
	address, self, ok := is.leader()
	if !ok {
		return
	}
	missing, surplus := is.difference()
	if self {
		is.write(ctx, missing, surplus)
		return
	}
	now := time.Now()
	is.mu.Lock()
	due := len(missing) > 0 && !now.Before(is.nextReport)
	if due {
		is.nextReport = now.Add(minReportInterval + rand.N(minReportInterval))
	}
	is.mu.Unlock()
	if !due {
		return
	}
	for _, es := range missing {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer, err := is.caller.Call(callCtx, address, &messenger.Exclude{Part: es.Part, Failures: es.Failures, Age: es.Age})
		cancel()
		if vd, ok := answer.(*messenger.Vouched); err == nil && ok {
			is.accept(fromMessages(vd.Vouchers))
		}
	}
}

// difference returns the exclusions that are not in the store and the stored parts
// that are no longer excluded.
func (is *Isolator) difference() (missing []quarantiner.Exclusion, surplus []uint64) {
	excluded := map[uint64]bool{}
	is.mu.Lock()
	defer is.mu.Unlock()
	for _, es := range is.quarantine.Exclusions(time.Now()) {
		excluded[es.Part] = true
		if failures, ok := is.stored[es.Part]; !ok || failures < es.Failures {
			missing = append(missing, es)
		}
	}
	for part := range is.stored {
		if !excluded[part] {
			surplus = append(surplus, part)
		}
	}
	return missing, surplus
}

// write tells all nodes of the exclusions that are not in the store and stores
// them, and removes those that have ended.
func (is *Isolator) write(ctx context.Context, missing []quarantiner.Exclusion, surplus []uint64) {
	if is.store == nil || len(missing)+len(surplus) == 0 {
		return
	}
	missing = missing[:min(len(missing), maxWrites)]
	surplus = surplus[:min(len(surplus), maxWrites-len(missing))]
	tx := storer.Transaction{}
	for _, es := range missing {
		go is.share(&messenger.Exclude{Part: es.Part, Failures: es.Failures, Age: es.Age}, nil)
		tx.Writes = append(tx.Writes, storer.Write{Key: is.prefix + hex(es.Part), Value: []byte(strconv.Itoa(es.Failures))})
	}
	for _, part := range surplus {
		tx.Deletes = append(tx.Deletes, is.prefix+hex(part))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := is.store.Commit(ctx, tx); err != nil {
		is.registry.Inc("quarantine", "unwritten")
		return
	}
	is.mu.Lock()
	defer is.mu.Unlock()
	for _, es := range missing {
		is.stored[es.Part] = es.Failures
	}
	for _, part := range surplus {
		delete(is.stored, part)
	}
}
