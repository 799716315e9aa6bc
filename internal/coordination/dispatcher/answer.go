package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/crashdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/truncationdetector"
	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
	"github.com/lagoonpass/lagoonpass/internal/protocol/eventreader"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// maxBufferedBytes is the size up to which an answer is read completely before
// its first byte goes to the caller, so that a retry can replace a broken one.
const maxBufferedBytes = 256 << 10

// maxHeldBytes bounds the blank lines and comments between two events.
const maxHeldBytes = 64 << 10

const (
	// silencesPerStall times engine-silence, and pausesPerStall times the target for the
	// pauses of the stream, are the least time without an event after which a stream has
	// stalled. A loaded engine may set a request aside for seconds, and going on
	// elsewhere costs a prefill.
	silencesPerStall = 2
	pausesPerStall   = 8
	// lastStallFactor times that time ends a stream that can't go on elsewhere. An
	// answer with a long pause is late, and still worth more than none.
	lastStallFactor = 3
	// slowCallerTime is how long a write to a caller blocks before a server that
	// breaks off is not blamed for it.
	slowCallerTime = time.Second
	// lateWriteTime is how long after the deadline of the request the caller may read.
	// Without a bound it held a server for the time of a write after that.
	lateWriteTime = 500 * time.Millisecond
	// pieceBytes is the number of bytes that a caller must read within writeTimeout.
	// Pieces of 4 KiB took 30 s for 4 MB to a caller with a receive buffer of 16 KiB;
	// larger ones than that buffer take 0.25 s for 16 MB.
	pieceBytes = 64 << 10
)

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	// head has the status and headers; its body is read.
	head *http.Response
	body []byte
}

// answerWriter writes an answer to the caller.
type answerWriter struct {
	to http.ResponseWriter
	ct *http.ResponseController
	// last is the id of the last event that the caller has, and number its
	// numeric value. numbered says that it has one.
	last     string
	number   int64
	numbered bool
	// headWritten says that the status and headers were written.
	headWritten bool
	// first and latest are when the first and the latest event were written. A
	// buffered answer counts as one event. pause is the longest time between
	// two events.
	first  time.Time
	latest time.Time
	pause  time.Duration
	// end is when the answer is given up if the caller has not read it.
	end time.Time
	// blocked is the longest time that a write to the caller took in this attempt.
	blocked time.Duration
}

// recordEvent updates first, latest and pause for an event written at now.
func (aw *answerWriter) recordEvent(now time.Time) {
	if aw.first.IsZero() {
		aw.first = now
	} else {
		aw.pause = max(aw.pause, now.Sub(aw.latest))
	}
	aw.latest = now
}

func newAnswerWriter(to http.ResponseWriter, lastEvent string, deadline time.Time) *answerWriter {
	aw := &answerWriter{to: to, ct: http.NewResponseController(to), last: lastEvent, end: deadline.Add(lateWriteTime)}
	aw.number, aw.numbered = eventNumber(lastEvent)
	return aw
}

// begun reports whether a part of the answer was written.
func (aw *answerWriter) begun() bool { return aw.headWritten }

// lastEvent returns the id of the last event that the caller has.
func (aw *answerWriter) lastEvent() string { return aw.last }

// open writes the status and headers once. A negative length means unknown.
func (aw *answerWriter) open(wire Wire, head *http.Response, length int) {
	if aw.headWritten {
		return
	}
	wire.Forward(aw.to.Header(), head)
	if length >= 0 {
		aw.to.Header().Set("Content-Length", strconv.Itoa(length))
	}
	aw.to.WriteHeader(head.StatusCode)
	aw.headWritten = true
}

// write writes data in pieces of pieceBytes, each with its own deadline.
func (aw *answerWriter) write(data []byte) error {
	defer aw.measure(time.Now())
	for {
		piece := data[:min(pieceBytes, len(data))]
		data = data[len(piece):]
		by := time.Now().Add(writeTimeout)
		if by.After(aw.end) {
			by = aw.end
		}
		if err := aw.ct.SetWriteDeadline(by); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return err
		}
		if _, err := aw.to.Write(piece); err != nil || len(data) == 0 {
			return err
		}
	}
}

// measure records how long a write that began at the time has blocked.
func (aw *answerWriter) measure(began time.Time) { aw.blocked = max(aw.blocked, time.Since(began)) }

func (aw *answerWriter) flush() error {
	defer aw.measure(time.Now())
	if err := aw.ct.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// deliver writes a buffered answer.
func (aw *answerWriter) deliver(wire Wire, ba *bufferedAnswer) error {
	aw.recordEvent(time.Now())
	aw.open(wire, ba.head, len(ba.body))
	return aw.write(ba.body)
}

// proxyAttempt is one attempt of a proxied request.
type proxyAttempt struct {
	*proxyExecution
	grant    *admitter.Grant // nil if another node makes the attempt
	server   string
	address  string
	process  versionkeeper.Process      // of the server, when the request was sent
	link     *forwarder.Link            // to the server
	answer   *truncationdetector.Answer // nil if another node makes the attempt
	sent     time.Time
	watchdog *time.Timer
	stall    stallTimer
	cancel   context.CancelCauseFunc
	result   admitter.Result
	// stage is one of the stages of an attempt, and heardAt when the server last sent
	// something, in nanoseconds since the request began.
	stage   atomic.Int32
	heardAt atomic.Int64
	// continued says that the server sent an event of the stream.
	continued bool
	// held are blank lines and comments since the last event.
	held []byte
}

// stallTimer ends a stream that makes no progress.
type stallTimer struct {
	timer   *time.Timer // nil before the first start
	running bool
}

// start starts the timer unless it runs.
func (st *stallTimer) start(bound time.Duration, end func()) {
	switch {
	case st.running:
		return
	case st.timer == nil:
		st.timer = time.AfterFunc(bound, end)
	default:
		st.timer.Reset(bound)
	}
	st.running = true
}

func (st *stallTimer) stop() {
	if st.timer != nil {
		st.timer.Stop()
	}
	st.running = false
}

// stallTimeout returns how long a stream may go on without an event. Another node that
// runs the request finds a stalled stream first.
func (pa *proxyAttempt) stallTimeout() time.Duration {
	bound := max(silencesPerStall*pa.settings.Timeouts().EngineSilence(), pausesPerStall*pa.Route.PauseTarget())
	if !pa.Route.Resumable() || !pa.Route.Repeatable() || pa.servers >= pa.Route.AttemptLimit() || pa.grant == nil {
		bound *= lastStallFactor
	}
	return bound
}

// classifyError turns a connection error into a failure. unsent says that no
// byte reached the server.
func (pa *proxyAttempt) classifyError(ctx context.Context, err error, unsent bool) *failure {
	fl := &failure{reason: refuser.BackendFailed, detail: err.Error(), unsent: unsent}
	if errors.Is(err, forwarder.ErrConnectionLimit) {
		// The configured connection limit is reached; the server did not fail.
		fl.reason = refuser.NoWorker
		return fl
	}
	switch {
	case errors.Is(context.Cause(ctx), errDetached):
		fl.reason, fl.detached = refuser.BackendUnreachable, true
	case errors.Is(context.Cause(ctx), errNoProgress):
		fl.reason = refuser.BackendSilent
	case ctx.Err() != nil:
		// The caller left or the deadline passed; the server did not fail.
		fl.reason, fl.final = refuser.Cancelled, true
		return fl
	case unsent:
		fl.reason = refuser.BackendUnreachable
	case pa.writer.begun():
		fl.reason = refuser.StreamBroken
	}
	if pa.grant == nil {
		return fl
	}
	if fl.unread = pa.writer.blocked >= slowCallerTime; fl.unread {
		return fl
	}
	pa.ds.forwarder.DropIdle(pa.address)
	switch {
	case unsent && forwarder.Refused(err):
		fl.refusedConnection = true
		pa.ds.outages.Refused(pa.grant.Process())
	case unsent && !fl.detached:
		pa.ds.outages.Lost(pa.server)
	}
	if !unsent && connectionLost(err) {
		pa.answer.BreakOff()
		pa.ds.outages.Lost(pa.server)
		fl.decided = pa.ds.crashes.Lost(pa.server, pa.address, pa.loss())
	}
	return fl
}

// loss describes the request to the detector of crashes.
func (pa *proxyAttempt) loss() crashdetector.Loss {
	return crashdetector.Loss{ID: pa.ticket.ID, Request: pa.request, Contents: pa.contents, Sent: pa.sent, Answering: pa.result.Tokens > 0}
}

// connectionLost reports whether the error is the end of a connection, as opposed
// to an answer that cannot be read.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// receive forwards the answer, or returns why the attempt failed.
func (pa *proxyAttempt) receive(ctx context.Context, rs *http.Response) *failure {
	cl := pa.Wire.Classify(rs)
	if (cl.Genuine || cl.NotRun) && !cl.Misdirected {
		pa.ds.onSignals(pa.server, pa.sent, cl.Signals)
	}
	if cl.NotRun {
		detail := "server " + pa.server + " refused: status " + strconv.Itoa(rs.StatusCode)
		ended := pa.discard(rs.Body)
		return &failure{reason: refuser.BackendRefused, detail: detail, refused: true, faulty: !ended, full: !cl.Misdirected && rs.StatusCode == http.StatusServiceUnavailable}
	}
	success := rs.StatusCode >= 200 && rs.StatusCode < 300
	if success && !cl.Genuine {
		return &failure{reason: refuser.BackendFailed, detail: "server " + pa.server + " sent a success that is not its own"}
	}
	if success && pa.isStream(rs) {
		return pa.receiveStream(ctx, rs)
	}
	return pa.receiveBuffered(ctx, rs, success)
}

func (pa *proxyAttempt) isStream(rs *http.Response) bool {
	return pa.Route.Streams() && strings.HasPrefix(rs.Header.Get("Content-Type"), contentTypeEvents)
}

// receiveBuffered forwards an answer that is not a stream. It sets
// bufferedFailure to a 5xx answer instead, since a retry may replace it.
func (pa *proxyAttempt) receiveBuffered(ctx context.Context, rs *http.Response, success bool) *failure {
	if pa.writer.begun() {
		return &failure{reason: refuser.StreamBroken, detail: "server " + pa.server + " did not continue the stream: status " + strconv.Itoa(rs.StatusCode)}
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
	if len(body) == maxBufferedBytes && success && pa.Route.Streams() {
		return &failure{reason: refuser.BackendFailed, detail: "answer of server " + pa.server + " is not a stream of events"}
	}
	if len(body) == maxBufferedBytes {
		return pa.receiveLarge(ctx, rs, body)
	}
	pa.result.Duration = time.Since(pa.sent)
	if fl := pa.brokenOff(ctx, rs); fl != nil {
		return fl
	}
	ba := &bufferedAnswer{head: rs, body: body}
	if !success && rs.StatusCode >= http.StatusInternalServerError {
		pa.bufferedFailure = ba
		return &failure{reason: refuser.BackendFailed, detail: "server " + pa.server + " failed: status " + strconv.Itoa(rs.StatusCode)}
	}
	if err := pa.writer.deliver(pa.Wire, ba); err != nil {
		return callerFailure(err)
	}
	return nil
}

// errDiscarded ends the reading of a body that nobody needs.
var errDiscarded = errors.New("rest of the answer is not needed")

// discard reads the rest of a body, so that its connection can be reused, unless it
// takes long. It returns false if the body has maxBufferedBytes or more, as one without
// end.
func (pa *proxyAttempt) discard(body io.Reader) bool {
	tm := time.AfterFunc(drainTimeout, func() { pa.cancel(errDiscarded) })
	defer tm.Stop()
	count, _ := io.Copy(io.Discard, io.LimitReader(body, maxBufferedBytes))
	return count < maxBufferedBytes
}

// receiveLarge forwards an answer that is too large to buffer. One without a length
// may have no end and is broken off at maxAnswerBytes.
func (pa *proxyAttempt) receiveLarge(ctx context.Context, rs *http.Response, start []byte) *failure {
	pa.answering.Store(true)
	if pa.watchdog != nil {
		pa.watchdog.Stop()
	}
	pa.writer.open(pa.Wire, rs, int(rs.ContentLength))
	if err := pa.writer.write(start); err != nil {
		return callerFailure(err)
	}
	buf, received := make([]byte, maxBufferedBytes/8), len(start)
	for {
		count, err := rs.Body.Read(buf)
		received += count
		pa.hear()
		if rs.ContentLength < 0 && received > maxAnswerBytes {
			return &failure{reason: refuser.StreamBroken, detail: "answer of server " + pa.server + " is too large", final: true, faulty: true}
		}
		if count > 0 {
			if err := pa.writer.write(buf[:count]); err != nil {
				return callerFailure(err)
			}
		}
		if err == io.EOF {
			return pa.brokenOff(ctx, rs).asFinal()
		}
		if err != nil {
			return pa.classifyError(ctx, err, false).asFinal()
		}
	}
}

// receiveStream forwards complete events as they arrive.
func (pa *proxyAttempt) receiveStream(ctx context.Context, rs *http.Response) *failure {
	rd := eventreader.New(rs.Body)
	defer pa.stall.stop()
	for {
		ev, err := rd.NextRaw()
		if err == io.EOF {
			pa.result.Duration = time.Since(pa.sent)
			return pa.endStream(ctx, rs)
		}
		if err != nil {
			return pa.classifyError(ctx, err, false)
		}
		if fl := pa.forwardEvent(ctx, rs, ev); fl != nil {
			return fl
		}
		if rd.HasEvent() {
			continue
		}
		if err := pa.writer.flush(); err != nil {
			return callerFailure(err)
		}
		if pa.result.Tokens > 0 {
			pa.stall.start(pa.stallTimeout(), func() { pa.cancel(errNoProgress) })
		}
	}
}

// endStream finishes the answer after the server ended its stream. A stream
// without events that ends with its connection is no answer.
func (pa *proxyAttempt) endStream(ctx context.Context, rs *http.Response) *failure {
	if fl := pa.brokenOff(ctx, rs); fl != nil {
		return fl
	}
	if unframed(rs) && !pa.continued {
		fl := &failure{reason: refuser.BackendFailed, detail: "server " + pa.server + " closed a stream without events"}
		if pa.writer.begun() {
			fl.reason = refuser.StreamBroken
		}
		return fl
	}
	pa.writer.open(pa.Wire, rs, -1)
	if err := pa.writeHeld(); err != nil {
		return callerFailure(err)
	}
	if err := pa.writer.flush(); err != nil {
		return callerFailure(err)
	}
	return nil
}

// forwardEvent writes an event to the caller. It skips an event that the caller
// has, and fails if events are missing before it.
func (pa *proxyAttempt) forwardEvent(ctx context.Context, rs *http.Response, ev eventreader.RawEvent) *failure {
	pa.hear()
	if !ev.HasFields {
		return pa.hold(ev.Bytes)
	}
	number, numbered := eventNumber(ev.ID)
	if pa.writer.numbered && !numbered {
		// It may be the text of an error, or the head of another answer.
		return &failure{reason: refuser.StreamBroken, detail: "server " + pa.server + " sent an event without an id after " + pa.writer.last}
	}
	pa.continued = true
	if pa.writer.numbered {
		switch {
		case number <= pa.writer.number:
			return nil
		case number > pa.writer.number+1:
			return &failure{reason: refuser.StreamBroken, detail: "server " + pa.server + " left out events after " + pa.writer.last}
		}
	}
	// The time in which the caller is slow to read is not the server's.
	pa.stall.stop()
	if pa.watchdog != nil {
		pa.watchdog.Stop()
	}
	if pa.result.Tokens == 0 {
		if fl := pa.beginStream(ctx); fl != nil {
			return fl
		}
		pa.answering.Store(true)
		pa.result.FirstToken = time.Since(pa.sent)
		if pa.grant != nil {
			pa.grant.FirstTokenReceived()
		}
	}
	pa.result.Tokens++
	pa.writer.recordEvent(time.Now())
	pa.writer.open(pa.Wire, rs, -1)
	if err := pa.writeHeld(); err != nil {
		return callerFailure(err)
	}
	if err := pa.writer.write(ev.Bytes); err != nil {
		return callerFailure(err)
	}
	if numbered {
		pa.writer.last, pa.writer.number, pa.writer.numbered = ev.ID, number, true
	}
	return nil
}

// unframed reports whether the answer has neither a length nor chunks and ends
// with its connection.
func unframed(rs *http.Response) bool { return rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 }

// brokenOff returns a failure if the answer has neither a length nor chunks and may have
// ended before it was complete: its server has crashed, or may have given up since the
// caller read slowly.
func (pa *proxyAttempt) brokenOff(ctx context.Context, rs *http.Response) *failure {
	if !unframed(rs) || pa.answer == nil {
		return nil
	}
	if pa.writer.blocked < slowCallerTime && !pa.answer.Truncated(ctx) {
		return nil
	}
	return pa.classifyError(ctx, io.ErrUnexpectedEOF, false)
}

// hold keeps blank lines and comments back until the next event. A server may send
// them without end.
func (pa *proxyAttempt) hold(blank []byte) *failure {
	if pa.held = append(pa.held, blank...); len(pa.held) > maxHeldBytes {
		return &failure{reason: refuser.BackendFailed, detail: "server " + pa.server + " sends no events"}
	}
	return nil
}

// writeHeld writes what was kept back.
func (pa *proxyAttempt) writeHeld() error {
	if len(pa.held) == 0 {
		return nil
	}
	held := pa.held
	pa.held = nil
	return pa.writer.write(held)
}

// eventNumber parses the id of an event as a number.
func eventNumber(id string) (int64, bool) {
	number, err := strconv.ParseInt(strings.TrimSpace(id), 10, 64)
	return number, err == nil
}
