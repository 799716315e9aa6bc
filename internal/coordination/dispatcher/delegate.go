package dispatcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/delegator"
	"github.com/lagoonpass/lagoonpass/internal/protocol/headchecker"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// quietTime is how long an attempt gets no byte from a server that the node does not
// reach before it is given up.
const quietTime = 300 * time.Millisecond

// errDetached ends attempts at servers that the node does not reach.
var errDetached = errors.New("this node does not reach the server")

// Delegate has other nodes run requests while this node does not reach the servers.
type Delegate interface {
	// CutOff reports whether other nodes are to run this node's requests for the pool.
	CutOff(pool string) bool
	// Misses reports whether this node lately failed to reach the server, or hears
	// nothing of any server like it.
	Misses(server string) bool
	// Open has another node run the request and returns its answer. The error is
	// delegator.ErrNoNode if the request was not run.
	Open(ctx context.Context, rq delegator.Request) (*http.Response, error)
}

// noDelegate is the default Delegate: the node always reaches the servers.
type noDelegate struct{}

func (noDelegate) CutOff(string) bool { return false }

func (noDelegate) Misses(string) bool { return false }

func (noDelegate) Open(context.Context, delegator.Request) (*http.Response, error) {
	return nil, delegator.ErrNoNode
}

// WithDelegate sets what has other nodes run requests.
func WithDelegate(dl Delegate) Option { return func(ds *Dispatcher) { ds.delegate = dl } }

// delegatable reports whether another node is to make the next attempt.
func (pe *proxyExecution) delegatable() bool {
	return !pe.Delegated && pe.ds.delegate.CutOff(pe.key())
}

// runElsewhere has another node run the request. It returns false if no other node takes
// it; the request was then not run.
func (pe *proxyExecution) runElsewhere(ctx context.Context) (*failure, bool) {
	remaining := time.Until(pe.ticket.Deadline)
	if remaining < minTimeToSend {
		return &failure{reason: refuser.DeadlinePassed, detail: "no time is left to send it", unsent: true, final: true}, true
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	hd := pe.Header.Clone()
	pe.Wire.PrepareDelegated(hd, DelegateInfo{Remaining: remaining, LastEvent: pe.writer.lastEvent(), Resumes: pe.resumedID()})
	rs, err := pe.ds.delegate.Open(ctx, delegator.Request{
		Method: pe.Method, Host: pe.Host, Target: pe.Path, Header: hd, Body: pe.Body, Servers: pe.servers, Revision: pe.Revision,
		Caller: callerName(pe.ticket.Caller), Pool: pe.key(),
	})
	if errors.Is(err, delegator.ErrNoNode) {
		log.WithError(err).WithField("request", pe.ticket.ID).Warn("no other node takes the request; this node sends it itself")
		return nil, false
	}
	pe.retrySent()
	pe.elsewhere = true
	pe.servers++
	pa := &proxyAttempt{proxyExecution: pe, server: "another node", sent: time.Now(), cancel: cancel}
	if err != nil {
		return pa.classifyError(ctx, err, false), true
	}
	defer func() { _ = rs.Body.Close() }()
	// A node of an older build passes malformed heads of servers on.
	if err := headchecker.Check(rs); err != nil {
		return pa.classifyError(ctx, err, false), true
	}
	log.WithFields(log.Fields{"request": pe.ticket.ID, "status": rs.StatusCode}).Info("request runs at another node")
	return pa.receiveElsewhere(ctx, rs), true
}

// resumedID returns the id of the request that brought the first event of the stream
// that the request goes on with within its answer, or "".
func (pe *proxyExecution) resumedID() string {
	if pe.writer.begun() {
		return pe.ticket.ID
	}
	return ""
}

// receiveElsewhere forwards the answer of another node. That node has made all attempts
// that the route allows, so that only the loss of the node or of its path leads to another
// one.
func (pa *proxyAttempt) receiveElsewhere(ctx context.Context, rs *http.Response) *failure {
	success := rs.StatusCode >= 200 && rs.StatusCode < 300
	if success && pa.isStream(rs) {
		return pa.receiveStream(ctx, rs)
	}
	br := &boundedReader{Reader: rs.Body, total: &pa.ds.buffered}
	defer br.release()
	body, err := io.ReadAll(io.LimitReader(br, maxBufferedBytes))
	if errors.Is(err, errNodeBuffer) {
		return callerFailure(err)
	}
	if err != nil {
		return pa.classifyError(ctx, err, false)
	}
	if len(body) == maxBufferedBytes && !pa.writer.begun() {
		return pa.receiveLarge(ctx, rs, body)
	}
	rf := refusalIn(rs.StatusCode, body)
	if rf != nil && rf.Reason() == refuser.PathLost {
		notRun := rf.Outcome() == refuser.NotRun
		if notRun {
			pa.servers--
		}
		return &failure{reason: refuser.BackendUnreachable, detail: "another node lost its path as well", unsent: notRun, detached: true}
	}
	pa.notRun = pa.Wire.Classify(rs).NotRun || rf != nil && rf.Outcome() == refuser.NotRun
	if pa.writer.begun() {
		return &failure{reason: refuser.StreamBroken, detail: "another node did not continue the stream", final: true}
	}
	if err := pa.writer.deliver(pa.Wire, &bufferedAnswer{head: rs, body: body}); err != nil {
		return callerFailure(err)
	}
	return nil
}

// refusalIn returns the refusal that the answer of another node is, or nil.
func refusalIn(status int, body []byte) *refuser.Refusal {
	if status < http.StatusBadRequest {
		return nil
	}
	rf, err := refuser.Decode(body)
	if err != nil {
		return nil
	}
	return rf
}

// track adds the attempt to those that end when the node does not reach their servers,
// and returns a function that removes it.
func (ds *Dispatcher) track(pa *proxyAttempt) (remove func()) {
	ds.attemptsMu.Lock()
	defer ds.attemptsMu.Unlock()
	ds.attempts[pa] = true
	return func() {
		ds.attemptsMu.Lock()
		defer ds.attemptsMu.Unlock()
		delete(ds.attempts, pa)
	}
}

// GiveUpSilent ends the attempts at servers that the node does not reach, so that they
// go on elsewhere: those that were not sent, and those that may be repeated and have got
// nothing for a while.
func (ds *Dispatcher) GiveUpSilent() {
	ds.attemptsMu.Lock()
	defer ds.attemptsMu.Unlock()
	for pa := range ds.attempts {
		switch {
		case !ds.delegate.CutOff(pa.key()):
		case pa.stage.CompareAndSwap(stageUnsent, stageGivenUp):
			pa.cancel(errDetached)
		case pa.repeatable() && pa.silentFor() >= quietTime && ds.delegate.Misses(pa.server):
			pa.cancel(errDetached)
		}
	}
}

// The stages of an attempt.
const (
	stageUnsent int32 = iota
	stageSent
	stageGivenUp
)

// begin marks the attempt as sent. It returns false if the attempt was given up.
func (pa *proxyAttempt) begin() bool {
	pa.heardAt.Store(int64(time.Since(pa.began)))
	if !pa.stage.CompareAndSwap(stageUnsent, stageSent) {
		return false
	}
	pa.retrySent()
	return true
}

// hear records that the server sent something.
func (pa *proxyAttempt) hear() {
	pa.heardAt.Store(int64(time.Since(pa.began)))
	if pa.answer != nil {
		pa.answer.Heard()
	}
}

// silentFor returns how long the server has sent nothing.
func (pa *proxyAttempt) silentFor() time.Duration {
	return time.Since(pa.began) - time.Duration(pa.heardAt.Load())
}

// repeatable reports whether the request may go on at another server.
func (pa *proxyAttempt) repeatable() bool {
	return pa.Route.Repeatable() && !pa.trial && (!pa.answering.Load() || pa.Route.Resumable())
}
