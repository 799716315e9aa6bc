package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// maxUnsent bounds the servers in a row that a request can't be sent to.
	maxUnsent = 4
	// soonest is the least time after which a caller is told to come back.
	soonest = 50 * time.Millisecond
	// leastTime is the time before its deadline from which a request is not
	// sent any more: no server answers in less.
	leastTime = 5 * time.Millisecond
)

// Passage is a request whose body and answer pass through as they are.
type Passage struct {
	// Ticket is what admission decides by. Its Avoid and Resumed are set by
	// the dispatcher.
	Ticket admitter.Ticket
	// Route says how often it may be sent, and how its answer comes.
	Route *configurer.Route
	// Method, Host and Path go to the server unchanged, as do Header and Body.
	Method, Host, Path string
	// Header is what goes to every server.
	Header http.Header
	// Body is the request's body.
	Body []byte
	// LastEvent is the id of the last event that the caller has, or empty.
	LastEvent string
	// Wire is the protocol's part.
	Wire Wire
}

// Sending is one sending of a passage.
type Sending struct {
	// Server is the server's name.
	Server string
	// Remaining is the time until the answer becomes worthless.
	Remaining time.Duration
	// Priority orders requests in the engine; zero is the most urgent.
	Priority int
	// LastEvent is the id of the last event that is not wanted again, or empty.
	LastEvent string
}

// Verdict is what the head of an answer says.
type Verdict struct {
	// NotRun says that the server vouches that it did not run the request.
	NotRun bool
	// Elsewhere says that the server does not hold what the request needs.
	Elsewhere bool
	// Genuine says that the answer is one of a server's own.
	Genuine bool
}

// Wire says how a protocol carries what the dispatcher decides by.
type Wire interface {
	// Prepare adds to the header what one sending needs.
	Prepare(hd http.Header, sn Sending)
	// Owns reports whether an answer is that of the request of the id.
	Owns(id string, rs *http.Response) bool
	// Judge reads the head of an answer.
	Judge(rs *http.Response) Verdict
	// Forward copies the head of an answer for the caller.
	Forward(to http.Header, rs *http.Response)
}

// passing is one passage on its way.
type passing struct {
	*Passage
	ds       *Dispatcher
	settings *configurer.Settings
	writer   *answerWriter
	caller   context.Context
	ticket   admitter.Ticket
	began    time.Time

	server  string
	servers int
	unsent  int
	mayRun  bool
	last    *held
	resumes bool
	// admitted says that the request was given to admission before.
	admitted bool
	queued   time.Duration
}

// Pass runs the request and writes its answer to wr. It returns nil if the
// answer is whole. With a refusal nothing was written, unless begun says that
// a part of the answer was: then the connection has to be aborted.
func (ds *Dispatcher) Pass(ctx context.Context, st *configurer.Settings, ps *Passage, wr http.ResponseWriter) (rf *refuser.Refusal, begun bool) {
	up, cancel := context.WithDeadline(ctx, ps.Ticket.Deadline)
	defer cancel()
	pg := &passing{
		Passage:  ps,
		ds:       ds,
		settings: st,
		caller:   ctx,
		writer:   newAnswerWriter(wr, ps.LastEvent),
		ticket:   ps.Ticket,
		began:    time.Now(),
	}
	if ds.shared != nil {
		ds.shared.Arrived(pg.key(), pg.began)
	}
	rf = pg.run(up)
	pg.logEnd(rf)
	return rf, pg.writer.begun()
}

// key names what the retry budget protects.
func (pg *passing) key() string { return pg.ticket.Model.Pool() }

// run sends the request until its answer is whole or nothing more may be done.
func (pg *passing) run(ctx context.Context) *refuser.Refusal {
	for {
		fl := pg.attempt(ctx)
		if fl == nil {
			return nil
		}
		if !fl.unsent && !fl.refused && fl.given == nil {
			pg.mayRun = true
		}
		if again, rf := pg.giveUp(ctx, fl); !again {
			return pg.honest(rf)
		}
		pg.count("retry", string(fl.reason))
		log.WithFields(log.Fields{
			"request": pg.ticket.ID, "reason": string(fl.reason), "detail": fl.detail, "servers": pg.servers,
		}).Info("request is sent again")
	}
}

// attempt sends the request once.
func (pg *passing) attempt(ctx context.Context) *failure {
	pg.last = nil
	tk := pg.ticket
	tk.Resumed = pg.resumes
	tk.Repeated = pg.admitted
	pg.admitted = true
	asked := time.Now()
	gr, rf := pg.ds.admission.Admit(ctx, pg.settings, &tk)
	if rf != nil {
		return &failure{reason: rf.Reason(), given: rf}
	}
	pg.queued += time.Since(asked)
	rs, fl := pg.send(ctx, gr)
	rs.Refused = fl != nil && fl.refused
	pg.ds.account(gr, rs, fl)
	if fl != nil {
		pg.ticket.Avoid = withServer(pg.ticket.Avoid, gr.Server())
	}
	return fl
}

// send sends the request under its grant.
func (pg *passing) send(ctx context.Context, gr *admitter.Grant) (admitter.Result, *failure) {
	if ad := pg.ticket.Adapter; ad != nil {
		release, err := pg.ds.adapters.Ensure(ctx, gr.Server(), ad)
		if err != nil {
			return admitter.Result{}, &failure{reason: refuser.NoWorker, detail: err.Error(), unsent: true}
		}
		defer release()
	}
	remaining := time.Until(pg.ticket.Deadline)
	if remaining < leastTime {
		return admitter.Result{}, &failure{reason: refuser.DeadlinePassed, detail: "no time is left to send it", unsent: true, final: true}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ex := &exchange{passing: pg, grant: gr, server: gr.Server(), address: gr.Address(), sent: time.Now(), cancel: cancel}
	if bound, ok := pg.patience(); ok {
		ex.watchdog = time.AfterFunc(bound, func() { cancel(errSilent) })
		defer ex.watchdog.Stop()
	}
	hd := pg.Header.Clone()
	pg.Wire.Prepare(hd, Sending{
		Server:    gr.Server(),
		Remaining: remaining,
		Priority:  gr.Priority(),
		LastEvent: pg.writer.lastEvent(),
	})
	rs, err := pg.ds.forwarder.Send(ctx, forwarder.Request{
		Address: gr.Address(),
		Host:    pg.Host,
		Method:  pg.Method,
		Path:    pg.Path,
		Header:  hd,
		Body:    pg.Body,
		Owns:    func(rs *http.Response) bool { return pg.Wire.Owns(pg.ticket.ID, rs) },
	})
	if err != nil && forwarder.NotSent(err) {
		return admitter.Result{}, ex.broken(ctx, err, true)
	}
	pg.server = gr.Server()
	pg.servers++
	pg.unsent = 0
	if err != nil {
		return admitter.Result{}, ex.broken(ctx, err, false)
	}
	defer func() { _ = rs.Body.Close() }()
	fl := ex.receive(ctx, rs)
	return ex.result, fl
}

// patience returns how long a server may show no sign of an answer before the
// request goes to another one, if it may.
func (pg *passing) patience() (time.Duration, bool) {
	rt := pg.Route
	if !rt.Repeatable() || pg.servers+1 >= rt.Attempts() {
		return 0, false
	}
	target := pg.ticket.Class.FirstToken()
	if rt.Streams() {
		target *= targetFactor
	}
	return target, true
}

// giveUp reports whether the request goes to another server. If not, it returns
// the final refusal, or nil if an answer held back was delivered.
func (pg *passing) giveUp(ctx context.Context, fl *failure) (again bool, rf *refuser.Refusal) {
	if ctx.Err() != nil {
		return false, pg.ended()
	}
	if fl.given != nil {
		return false, pg.orHeld(fl.given)
	}
	refusal := refuser.New(fl.reason, "%s", fl.detail).WithRetryAfter(pg.comeBack())
	if fl.final {
		return false, refusal
	}
	if fl.unsent {
		if pg.unsent++; pg.unsent < maxUnsent {
			return true, nil
		}
		return false, pg.orHeld(refusal)
	}
	unrepeatable := !fl.refused && !pg.Route.Repeatable() || pg.writer.begun() && !pg.Route.Resumable()
	if unrepeatable || pg.servers >= pg.Route.Attempts() {
		return false, pg.orHeld(refusal)
	}
	if !pg.ds.takeRetry(pg.key(), pg.settings.Retries()) {
		return false, pg.orHeld(refuser.New(refuser.RetryBudget, "not sent again: %s", fl.detail).WithRetryAfter(pg.comeBack()))
	}
	pg.resumes = pg.writer.begun()
	return true, nil
}

// orHeld delivers the failure of a server that was held back while another
// server might have done better, or else returns the refusal.
func (pg *passing) orHeld(rf *refuser.Refusal) *refuser.Refusal {
	if pg.last == nil || pg.writer.begun() {
		return rf
	}
	if err := pg.writer.deliver(pg.Wire, pg.last); err != nil {
		return refuser.New(refuser.Cancelled, "caller took no more of the answer: %v", err)
	}
	return nil
}

// ended is the refusal of a request whose context ended.
func (pg *passing) ended() *refuser.Refusal {
	if pg.caller.Err() != nil {
		return refuser.New(refuser.Cancelled, "caller is gone")
	}
	return refuser.New(refuser.DeadlinePassed, "no whole answer before the deadline").WithRetryAfter(pg.comeBack())
}

// comeBack is the time after which a request that was not run may come again.
func (pg *passing) comeBack() time.Duration {
	return max(pg.ticket.Class.FirstToken()/comeBackDivisor, soonest)
}

// comeBackDivisor is the part of a class's target after which a server that
// refused is likely to have room again.
const comeBackDivisor = 4

// honest gives the refusal, if there is one, the outcome that the sendings
// allow, and tells the caller of a request that was not run when to return.
func (pg *passing) honest(rf *refuser.Refusal) *refuser.Refusal {
	if rf == nil {
		return nil
	}
	if pg.mayRun {
		rf = rf.WithOutcome(refuser.Unknown)
	}
	if rf.Outcome() == refuser.NotRun && rf.RetryAfter() <= 0 {
		rf = rf.WithRetryAfter(pg.comeBack())
	}
	assertHonest(pg.ticket.ID, rf, pg.mayRun)
	return rf
}

// takeRetry asks the budget of all nodes, or else that of this node.
func (ds *Dispatcher) takeRetry(key string, rt *configurer.Retries) bool {
	if ds.shared != nil {
		return ds.shared.Take(key, time.Now())
	}
	return ds.budget.Take(rt.Budget())
}

// WithSharedBudget makes passages draw on a budget that all nodes share.
func WithSharedBudget(sh *retrier.Shared) Option { return func(ds *Dispatcher) { ds.shared = sh } }

// logAnswer writes a line of an answer that missed a target of its route.
func (pg *passing) logAnswer(line *log.Entry) {
	first := pg.writer.first.Sub(pg.began)
	result := "in-time"
	switch {
	case first > pg.ticket.Class.FirstToken():
		result = "late-first"
	case pg.Route.Streams() && pg.writer.pause > pg.Route.PauseTarget():
		result = "late-pause"
	}
	pg.count("answer", result)
	pg.ds.registry.Observe(pg.queued, "queue-wait", pg.ticket.Class.Name())
	pg.ds.registry.Observe(first, "first-token", pg.ticket.Class.Name())
	if pg.Route.Streams() {
		pg.ds.registry.Observe(pg.writer.pause, "longest-pause", pg.ticket.Class.Name())
	}
	if result != "in-time" {
		line.WithFields(log.Fields{
			"result": result, "first-ms": first.Milliseconds(), "pause-ms": pg.writer.pause.Milliseconds(), "server": pg.server,
		}).Info("request answered late")
	}
}

// count counts an outcome, among all requests and for the class of this one.
func (pg *passing) count(what, reason string) {
	pg.ds.registry.Inc(what, reason)
	pg.ds.registry.Inc("class", pg.ticket.Class.Name(), what, reason)
}

// logEnd writes the line that explains how the request ended.
func (pg *passing) logEnd(rf *refuser.Refusal) {
	line := log.WithFields(log.Fields{
		"request":   pg.ticket.ID,
		"route":     pg.Route.Name(),
		"model":     pg.ticket.Model.Name(),
		"servers":   pg.servers,
		"queued-ms": pg.queued.Milliseconds(),
		"total-ms":  time.Since(pg.began).Milliseconds(),
	})
	if rf == nil {
		pg.logAnswer(line)
		return
	}
	pg.count("refusal", string(rf.Reason()))
	line.WithFields(log.Fields{
		"reason":  string(rf.Reason()),
		"outcome": string(rf.Outcome()),
		"detail":  rf.Message(),
		"begun":   pg.writer.begun(),
		"avoid":   pg.ticket.Avoid,
	}).Warn("request not answered")
}
