// Package delegator has another node run a caller's request while this node does not
// reach the backend servers. The other node treats the request as its own: its
// admission, limits and retries count, and what servers say about themselves stays
// there. Only the deadline, the caller's name and the number of servers that were tried
// go with it.
//
// The answer comes in pages, each asked for by a call, so that a node that does not read
// holds up the server and not the other node's memory. A body that is too long for one
// message goes ahead in parts. A request that was delegated is not delegated again.
//
// # Usage
//
//	dg := delegator.New(pool, "n1", "zone-a", members, serves)
//	dg.Serve(handler)                              // the node's handler for callers
//	rs, err := dg.Open(ctx, delegator.Request{...}) // at the node that lost its path
//	answer := dg.Handle(ctx, call)                 // at the other node
package delegator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/counter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// maxServed bounds the delegated requests that one node runs at once.
const maxServed = 512

// ErrNoNode means that no node took the request, so that it was not run.
var ErrNoNode = errors.New("delegator: no other node takes the request")

// OfferError says to whom a request was offered that no node took. It matches ErrNoNode.
type OfferError struct {
	// Known is the number of nodes that may take requests by what this node knows.
	Known int
	// Declined and Unreachable are the numbers of nodes that were asked in vain, by zone.
	Declined, Unreachable map[string]int
}

// Error implements error.
func (oe *OfferError) Error() string {
	return fmt.Sprintf("%v: of %d nodes %v declined and %v were not reached, by zone", ErrNoNode, oe.Known, oe.Declined, oe.Unreachable)
}

// Is reports whether the target is ErrNoNode.
func (oe *OfferError) Is(target error) bool { return target == ErrNoNode }

// ErrBroken means that the connection to the other node broke off. The request may
// have run.
var ErrBroken = errors.New("delegator: the other node is lost")

// Caller calls peers.
type Caller interface {
	// Call sends a message to the peer at the address and returns its answer.
	Call(ctx context.Context, address string, call messenger.Message) (messenger.Message, error)
}

// Request is a caller's request to delegate.
type Request struct {
	// Method, Host and Target are those of the request.
	Method, Host, Target string
	// Header is the request's header, with the time that is left.
	Header http.Header
	// Body is the request's body.
	Body []byte
	// Servers is the number of servers to which the request was sent before.
	Servers int
	// Revision is that of the configuration under which this node took the request.
	Revision int64
	// Caller is the name of the caller that this node found by the request's key. The
	// key itself is not in Header.
	Caller string
	// Pool is the pool whose servers this node does not reach.
	Pool string
}

// Serves reports whether the node can run requests in place of others under a
// configuration of at least the revision, and reaches the servers of the pool. The pool is
// empty if the other node did not name it.
type Serves func(revision int64, pool string) bool

// Delegator delegates requests of one node, and runs those of others. It is safe for
// concurrent use.
type Delegator struct {
	caller     Caller
	uploader   Caller // sends bodies in parts
	self, zone string
	members    func() []prober.Member
	serves     Serves
	registry   *counter.Registry
	handler    http.Handler

	mu sync.Mutex
	// helpers has what is known of other nodes.
	helpers map[helperKey]*helper
	// served has the requests of other nodes that this one runs.
	served map[uint64]*service
	idle   chan struct{} // closed while served is empty
	// uploads has the bodies of which parts are missing, and uploadedBytes is the length of
	// these and of those of requests in served.
	uploads       map[uint64]*upload
	uploadedBytes int64
}

// Option configures a Delegator.
type Option func(*Delegator)

// WithRegistry sets the registry that counts delegated requests.
func WithRegistry(rg *counter.Registry) Option { return func(dg *Delegator) { dg.registry = rg } }

// New returns the delegator of the node with the id self in the availability zone.
func New(ca Caller, self, zone string, members func() []prober.Member, serves Serves, opts ...Option) *Delegator {
	dg := &Delegator{
		caller:  ca,
		self:    self,
		zone:    zone,
		members: members,
		serves:  serves,
		helpers: map[helperKey]*helper{},
		served:  map[uint64]*service{},
		idle:    make(chan struct{}),
		uploads: map[uint64]*upload{},
	}
	close(dg.idle)
	dg.uploader = ca
	for _, opt := range opts {
		opt(dg)
	}
	return dg
}

// Serve sets the handler that runs requests of other nodes. It must be called before
// the node serves peers.
func (dg *Delegator) Serve(hd http.Handler) { dg.handler = hd }

// Open has another node run the request and returns its answer as soon as it begins. The
// answer is that of a server or a refusal of the other node. Errors are an OfferError
// if it was not run, ErrBroken or that of ctx.
func (dg *Delegator) Open(ctx context.Context, rq Request) (*http.Response, error) {
	call := &messenger.Delegate{
		ID: rand.Uint64(), Method: rq.Method, Host: rq.Host, Target: rq.Target, Header: toFields(rq.Header),
		Body: rq.Body, Servers: rq.Servers, Revision: rq.Revision, Caller: rq.Caller, Pool: rq.Pool,
	}
	of := dg.newOffer(rq.Pool)
	failed := &OfferError{Known: len(of.members), Declined: map[string]int{}, Unreachable: map[string]int{}}
	for mb, ok := of.next(); ok; mb, ok = of.next() {
		key := helperKey{mb.PeerAddress, rq.Pool}
		answer, sent, err := dg.offerTo(ctx, key.address, call)
		page, ok := answer.(*messenger.DelegatePage)
		switch {
		case err == nil && ok && !page.Declined:
			dg.registry.Inc("delegate", "taken")
			dg.accepted(key)
			return dg.response(ctx, key, call.ID, page), nil
		case ctx.Err() != nil:
			dg.cancel(key.address, call.ID)
			dg.release(key)
			return nil, ctx.Err()
		case err == nil && ok:
			failed.Declined[mb.Zone]++
		case !sent, messenger.Is(err, messenger.Unreachable), messenger.Is(err, messenger.Rejected), messenger.Is(err, messenger.TooLarge):
			failed.Unreachable[mb.Zone]++
		default:
			dg.registry.Inc("delegate", "lost")
			dg.cancel(key.address, call.ID)
			dg.declined(key)
			return nil, ErrBroken
		}
		dg.registry.Inc("delegate", "declined")
		dg.declined(key)
	}
	return nil, failed
}

// cancel tells the other node, without waiting, that nobody wants the answer.
func (dg *Delegator) cancel(address string, id uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_, _ = dg.caller.Call(ctx, address, &messenger.DelegateCancel{ID: id})
	}()
}

// cancelTimeout bounds the call that cancels a request.
const cancelTimeout = time.Second

// response returns the answer that begins with the page.
func (dg *Delegator) response(ctx context.Context, key helperKey, id uint64, page *messenger.DelegatePage) *http.Response {
	rs := &http.Response{
		StatusCode: page.Status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: fromFields(page.Header), ContentLength: -1, TransferEncoding: []string{"chunked"},
	}
	if length, err := strconv.ParseInt(rs.Header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		rs.ContentLength, rs.TransferEncoding = length, nil
	}
	rs.Body = &pages{dg: dg, ctx: ctx, key: key, id: id, page: page}
	return rs
}

// pages is the body of an answer that another node sends in pages.
type pages struct {
	dg     *Delegator
	ctx    context.Context
	key    helperKey
	id     uint64
	page   *messenger.DelegatePage
	closed sync.Once
}

// Read implements io.Reader.
func (pg *pages) Read(buf []byte) (int, error) {
	for len(pg.page.Data) == 0 {
		switch {
		case pg.page.Broken:
			return 0, io.ErrUnexpectedEOF
		case pg.page.Ended:
			return 0, io.EOF
		}
		answer, err := pg.dg.caller.Call(pg.ctx, pg.key.address, &messenger.DelegateNext{ID: pg.id})
		page, ok := answer.(*messenger.DelegatePage)
		if err != nil || !ok || page.Declined {
			if pg.ctx.Err() != nil {
				return 0, pg.ctx.Err()
			}
			return 0, ErrBroken
		}
		pg.page = page
	}
	count := copy(buf, pg.page.Data)
	pg.page.Data = pg.page.Data[count:]
	return count, nil
}

// Close implements io.Closer. It cancels a request whose answer was not read to its
// end.
func (pg *pages) Close() error {
	pg.closed.Do(func() {
		pg.dg.release(pg.key)
		if !pg.page.Ended {
			pg.dg.cancel(pg.key.address, pg.id)
		}
	})
	return nil
}

func toFields(hd http.Header) []messenger.HeaderField {
	fields := make([]messenger.HeaderField, 0, len(hd))
	for name, values := range hd {
		fields = append(fields, messenger.HeaderField{Name: name, Values: values})
	}
	return fields
}

func fromFields(fields []messenger.HeaderField) http.Header {
	hd := make(http.Header, len(fields))
	for _, hf := range fields {
		hd[hf.Name] = hf.Values
	}
	return hd
}
