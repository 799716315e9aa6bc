// Package admitter decides when a request may go to a backend server, and to
// which one.
//
// # Usage
//
//	gr, rf := ad.Admit(ctx, settings, ticket)
//	if rf != nil {
//		return rf // nothing was sent
//	}
//	defer func() { gr.Done(result) }()
//	send(gr.Address())
package admitter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// retryLater is what a caller is told to wait when no replica is ready.
const retryLater = time.Second

// Ticket is what the decision needs to know of a request.
type Ticket struct {
	// ID is the request's id.
	ID string
	// Caller is who sent the request.
	Caller *configurer.Caller
	// Class is the priority class.
	Class *configurer.Class
	// Model is the model that the request needs.
	Model *configurer.Model
	// Adapter is the adapter that it needs, or nil.
	Adapter *configurer.Adapter
	// Bytes is the size of the body.
	Bytes int
	// PromptTokens is an estimate of the prompt's length.
	PromptTokens int
	// MaxTokens is the greatest length of the answer.
	MaxTokens int
	// Prefixes are the hashes of the prompt's leading blocks, the shortest
	// prefix first.
	Prefixes []uint64
	// Deadline is when the answer becomes worthless.
	Deadline time.Time
	// Avoid names servers on which this request has already failed.
	Avoid []string
	// Resumed says that the request continues a broken stream; it is not
	// counted against quotas again and waits in no queue if that can be helped.
	Resumed bool
}

// Result is how a granted request ended.
type Result struct {
	// Failed says that the server gave no whole answer through its own fault.
	Failed bool
	// FirstToken is the time until the first token; zero if there was none.
	FirstToken time.Duration
	// Duration is the time from sending to the end.
	Duration time.Duration
	// Tokens is the number of tokens received.
	Tokens int
}

// Grant is the right to send one request to one server once.
type Grant struct {
	server  string
	address string
	done    func(Result)
}

// Server returns the name of the backend server.
func (gr *Grant) Server() string { return gr.server }

// Address returns the host and port of the backend server.
func (gr *Grant) Address() string { return gr.address }

// Done gives the right back. It must be called exactly once.
func (gr *Grant) Done(rs Result) { gr.done(rs) }

// Health says how much of its normal share of work a server should get, from 0
// for none to 1 for all.
type Health interface {
	// Weight returns the part of its share that the server should get now.
	Weight(server string) float64
}

// Admitter holds the requests that wait on one node.
type Admitter struct {
	watch  *watcher.Watcher
	router *router.Router
	health Health
}

// New returns an admitter over the watched servers.
func New(wt *watcher.Watcher, hl Health, random *rand.Rand) *Admitter {
	return &Admitter{watch: wt, router: router.New(random), health: hl}
}

// Admit waits until the request may be sent, or refuses it. A refusal has
// outcome not-run.
func (ad *Admitter) Admit(_ context.Context, st *configurer.Settings, tk *Ticket) (*Grant, *refuser.Refusal) {
	sn := ad.watch.Snapshot()
	name, ok := ad.router.Pick(ad.candidates(st, sn, tk))
	if !ok {
		return nil, refuser.New(refuser.NoWorker, "no replica of model %q is ready", tk.Model.Name()).WithRetryAfter(retryLater)
	}
	rp, _ := sn.Report(name)
	done := func(Result) { ad.router.Done(name) }
	return &Grant{server: name, address: rp.Address, done: done}, nil
}

func (ad *Admitter) candidates(st *configurer.Settings, sn *watcher.Snapshot, tk *Ticket) []router.Candidate {
	var all []router.Candidate
	for _, name := range sn.Replicas(tk.Model.Name()) {
		rp, _ := sn.Report(name)
		bs, ok := st.BackendServer(name)
		if !ok || ad.health.Weight(name) <= 0 {
			continue
		}
		all = append(all, router.Candidate{Name: name, Load: rp.Running + rp.Waiting, Slots: bs.Slots()})
	}
	return all
}
