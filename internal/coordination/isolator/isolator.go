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
//	if wait, _ := is.Admit(ctx, contents); wait > 0 { ... } // refuse the request
package isolator

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/fingerprinter"
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
	// askInterval is the time between two requests for a trial of one content.
	askInterval = time.Second
	// storeTime is how long an exclusion may be missing from the store before nodes
	// report it to the leader.
	storeTime = 2 * time.Second
	// minReportInterval is the least time between two reports of an exclusion to
	// the leader.
	minReportInterval = 2 * time.Second
	// maxAsked bounds the contents in Isolator.askedAt.
	maxAsked = 1024
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
	// stored has the failures of the exclusions in the store by content.
	stored map[fingerprinter.Content]int
	// askedAt is when a trial was last requested by content.
	askedAt map[fingerprinter.Content]time.Time
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
		stored:     map[fingerprinter.Content]int{},
		askedAt:    map[fingerprinter.Content]time.Time{},
		wake:       make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(is)
	}
	return is
}

// Admit returns how long a request with the contents is kept from servers, or zero if
// it may be sent. A request that is sent on trial must not be sent again.
func (is *Isolator) Admit(ctx context.Context, contents []fingerprinter.Content) (wait time.Duration, trial bool) {
	vd := is.quarantine.Check(time.Now(), contents)
	if vd.Wait == 0 || !vd.Trial || !is.mayTry(ctx, vd.Content) {
		return vd.Wait, false
	}
	log.WithField("content", vd.Content.String()).Info("request with an excluded content is sent on trial")
	is.registry.Inc("quarantine", "trial")
	return 0, true
}

// mayTry asks the leader for a trial, not too often.
func (is *Isolator) mayTry(ctx context.Context, content fingerprinter.Content) bool {
	now := time.Now()
	is.mu.Lock()
	due := now.Sub(is.askedAt[content]) >= askInterval
	if len(is.askedAt) >= maxAsked {
		clear(is.askedAt)
	}
	if due {
		is.askedAt[content] = now
	}
	is.mu.Unlock()
	address, self, ok := is.leader()
	switch {
	case !due || !ok:
		return false
	case self:
		return is.quarantine.Try(now, content)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := is.caller.Call(ctx, address, &messenger.Trial{Content: uint64(content)})
	ta, ok := answer.(*messenger.TrialAnswer)
	return err == nil && ok && ta.Granted
}

// Watch has the function called, without blocking, when one of the contents is
// excluded. The returned function ends it.
func (is *Isolator) Watch(contents []fingerprinter.Content, excluded func()) (stop func()) {
	return is.quarantine.Watch(contents, excluded)
}

// Succeeded records a completed answer to a request with the contents. If one of them
// was excluded, it tells all nodes.
func (is *Isolator) Succeeded(contents []fingerprinter.Content) {
	lifted := is.quarantine.Succeeded(time.Now(), contents)
	if len(lifted) == 0 {
		return
	}
	vh := &messenger.Vouch{}
	for _, content := range lifted {
		is.logLifted(content, "an answer with it was completed")
		vh.Vouchers = append(vh.Vouchers, messenger.Voucher{Content: uint64(content)})
	}
	go is.tellAll(vh)
}

// Crashed records a crash that this node has seen, and has all nodes told.
func (is *Isolator) Crashed(cr crashdetector.Crash) {
	now := time.Now()
	rp := quarantiner.NewReport(now, cr)
	if len(rp.Marks) == 0 {
		return
	}
	// Nodes that started since the first crashes do not have all of the evidence.
	for _, content := range is.record(rp) {
		go is.share(&messenger.Exclude{Content: uint64(content)}, nil)
		if _, _, ok := is.leader(); !ok {
			go is.write(context.Background(), []quarantiner.Exclusion{{Content: content}}, nil)
		}
	}
	call := &messenger.CrashReport{Server: rp.Server, Age: rp.Age}
	for _, mk := range rp.Marks {
		call.Marks = append(call.Marks, messenger.CrashMark{Content: uint64(mk.Content), Answering: mk.Answering, InFlight: mk.InFlight, Request: uint64(mk.Request)})
	}
	go is.share(call, is.quarantine.Vouchers(now, rp))
}

// share calls all nodes and tells them all what some of them, or this one,
// completed.
func (is *Isolator) share(call messenger.Message, own []quarantiner.Voucher) {
	best := map[fingerprinter.Content]time.Duration{}
	for _, vc := range append(is.tellAll(call), own...) {
		if age, ok := best[vc.Content]; !ok || vc.Age < age {
			best[vc.Content] = vc.Age
		}
	}
	if len(best) == 0 {
		return
	}
	vh := &messenger.Vouch{}
	for content, age := range best {
		vh.Vouchers = append(vh.Vouchers, messenger.Voucher{Content: uint64(content), Age: age})
	}
	is.accept(fromMessages(vh.Vouchers))
	is.tellAll(vh)
}

func (is *Isolator) accept(vouchers []quarantiner.Voucher) {
	for _, content := range is.quarantine.Accept(time.Now(), vouchers) {
		is.logLifted(content, "another node completed an answer with it")
	}
}

// record takes up a report, and logs and returns what is excluded because of it.
func (is *Isolator) record(rp quarantiner.Report) []fingerprinter.Content {
	excluded := is.quarantine.Record(time.Now(), rp)
	for _, content := range excluded {
		is.registry.Inc("quarantine", "excluded")
		log.WithFields(log.Fields{"content": content.String(), "server": rp.Server}).
			Warn("content crashes backend servers; requests with it are refused")
	}
	if len(excluded) > 0 {
		is.syncSoon()
	}
	return excluded
}

// syncSoon has the leader compare its exclusions with the store at once. The nodes'
// memory of one may not last until the next comparison.
func (is *Isolator) syncSoon() {
	if _, self, ok := is.leader(); !ok || !self {
		return
	}
	select {
	case is.wake <- struct{}{}:
	default:
	}
}

func (is *Isolator) logLifted(content fingerprinter.Content, why string) {
	is.registry.Inc("quarantine", "lifted")
	log.WithFields(log.Fields{"content": content.String(), "reason": why}).Info("content is no longer excluded")
}

// Handle answers a message of a peer. It returns nil if the message is of another
// kind.
func (is *Isolator) Handle(call messenger.Message) messenger.Message {
	now := time.Now()
	switch tc := call.(type) {
	case *messenger.CrashReport:
		rp := quarantiner.Report{Server: tc.Server, Age: tc.Age}
		for _, cm := range tc.Marks {
			rp.Marks = append(rp.Marks, quarantiner.Mark{Content: fingerprinter.Content(cm.Content), Answering: cm.Answering, InFlight: cm.InFlight, Request: fingerprinter.Content(cm.Request)})
		}
		is.record(rp)
		return &messenger.Vouched{Vouchers: toMessages(is.quarantine.Vouchers(now, rp))}
	case *messenger.Exclude:
		is.exclude(quarantiner.Exclusion{Content: fingerprinter.Content(tc.Content), Failures: tc.Failures, Age: tc.Age})
		vouchers := is.quarantine.Vouchers(now, quarantiner.Report{Marks: []quarantiner.Mark{{Content: fingerprinter.Content(tc.Content)}}})
		return &messenger.Vouched{Vouchers: toMessages(vouchers)}
	case *messenger.Vouch:
		is.accept(fromMessages(tc.Vouchers))
		return &messenger.Vouched{}
	case *messenger.Trial:
		return &messenger.TrialAnswer{Granted: is.quarantine.Try(now, fingerprinter.Content(tc.Content))}
	}
	return nil
}

func (is *Isolator) exclude(es quarantiner.Exclusion) {
	if is.quarantine.Exclude(time.Now(), es) {
		is.syncSoon()
		is.registry.Inc("quarantine", "excluded")
		log.WithFields(log.Fields{"content": es.Content.String(), "failures": es.Failures}).
			Warn("another node excludes a content; requests with it are refused")
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
		out = append(out, messenger.Voucher{Content: uint64(vc.Content), Age: vc.Age})
	}
	return out
}

func fromMessages(vouchers []messenger.Voucher) (out []quarantiner.Voucher) {
	for _, vc := range vouchers {
		out = append(out, quarantiner.Voucher{Content: fingerprinter.Content(vc.Content), Age: vc.Age})
	}
	return out
}

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
	if !ok || is.store == nil {
		return
	}
	missing, surplus := is.difference()
	if self {
		is.write(ctx, missing, surplus)
		return
	}
	missing = slices.DeleteFunc(missing, func(es quarantiner.Exclusion) bool { return es.Age < storeTime })
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
		answer, err := is.caller.Call(callCtx, address, &messenger.Exclude{Content: uint64(es.Content), Failures: es.Failures, Age: es.Age})
		cancel()
		if vd, ok := answer.(*messenger.Vouched); err == nil && ok {
			is.accept(fromMessages(vd.Vouchers))
		}
	}
}

// difference returns the exclusions that are not in the store and the stored contents
// that are no longer excluded.
func (is *Isolator) difference() (missing []quarantiner.Exclusion, surplus []fingerprinter.Content) {
	excluded := map[fingerprinter.Content]bool{}
	is.mu.Lock()
	defer is.mu.Unlock()
	for _, es := range is.quarantine.Exclusions(time.Now()) {
		excluded[es.Content] = true
		if failures, ok := is.stored[es.Content]; !ok || failures < es.Failures {
			missing = append(missing, es)
		}
	}
	for content := range is.stored {
		if !excluded[content] {
			surplus = append(surplus, content)
		}
	}
	return missing, surplus
}

// write tells all nodes of the exclusions that are not in the store and stores
// them, and removes those that have ended.
func (is *Isolator) write(ctx context.Context, missing []quarantiner.Exclusion, surplus []fingerprinter.Content) {
	if is.store == nil || len(missing)+len(surplus) == 0 {
		return
	}
	missing = missing[:min(len(missing), maxWrites)]
	surplus = surplus[:min(len(surplus), maxWrites-len(missing))]
	tx := storer.Transaction{}
	for _, es := range missing {
		go is.share(&messenger.Exclude{Content: uint64(es.Content), Failures: es.Failures, Age: es.Age}, nil)
		tx.Writes = append(tx.Writes, storer.Write{Key: is.prefix + es.Content.String(), Value: []byte(strconv.Itoa(es.Failures))})
	}
	for _, content := range surplus {
		tx.Deletes = append(tx.Deletes, is.prefix+content.String())
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
		is.stored[es.Content] = es.Failures
	}
	for _, content := range surplus {
		delete(is.stored, content)
	}
}
