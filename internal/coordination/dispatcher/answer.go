package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/protocol/eventreader"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// heldBytes is the size up to which an answer is read whole before its first
// byte goes to the caller, so that one that breaks off can be replaced.
const heldBytes = 256 << 10

// held is an answer that was read whole.
type held struct {
	head *http.Response
	body []byte
}

// answerWriter passes an answer on to the caller.
type answerWriter struct {
	to     http.ResponseWriter
	ct     *http.ResponseController
	last   string
	number int64
	sent   bool
	// first is when the first byte was passed on, and latest when the last one
	// was. pause is the longest time between two events.
	first  time.Time
	latest time.Time
	pause  time.Duration
}

// tick notes that an event is passed on now.
func (aw *answerWriter) tick(now time.Time) {
	if aw.first.IsZero() {
		aw.first = now
	} else {
		aw.pause = max(aw.pause, now.Sub(aw.latest))
	}
	aw.latest = now
}

func newAnswerWriter(to http.ResponseWriter, lastEvent string) *answerWriter {
	aw := &answerWriter{to: to, ct: http.NewResponseController(to), last: lastEvent}
	aw.number, _ = eventNumber(lastEvent)
	return aw
}

// begun reports whether a part of the answer was passed on.
func (aw *answerWriter) begun() bool { return aw.sent }

// lastEvent returns the id of the last event that the caller has.
func (aw *answerWriter) lastEvent() string { return aw.last }

// open passes the head of an answer on. A negative length is not known.
func (aw *answerWriter) open(wire Wire, head *http.Response, length int) {
	if aw.sent {
		return
	}
	wire.Forward(aw.to.Header(), head)
	if length >= 0 {
		aw.to.Header().Set("Content-Length", strconv.Itoa(length))
	}
	aw.to.WriteHeader(head.StatusCode)
	aw.sent = true
}

func (aw *answerWriter) write(data []byte) error {
	if err := aw.ct.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	_, err := aw.to.Write(data)
	return err
}

func (aw *answerWriter) flush() error {
	if err := aw.ct.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// deliver passes an answer on that was read whole.
func (aw *answerWriter) deliver(wire Wire, hl *held) error {
	aw.tick(time.Now())
	aw.open(wire, hl.head, len(hl.body))
	return aw.write(hl.body)
}

// exchange is one sending and its answer.
type exchange struct {
	*passing
	grant    *admitter.Grant
	server   string
	address  string
	sent     time.Time
	watchdog *time.Timer
	cancel   context.CancelCauseFunc
	result   admitter.Result
}

// broken classes an error of the connection.
func (ex *exchange) broken(ctx context.Context, err error, unsent bool) *failure {
	fl := &failure{reason: refuser.BackendFailed, detail: err.Error(), unsent: unsent}
	if errors.Is(err, forwarder.ErrFull) {
		// The bound on connections is the operator's: the server is not to blame.
		fl.reason = refuser.NoWorker
		return fl
	}
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		fl.reason = refuser.BackendSilent
	case ctx.Err() != nil:
		// The caller left or the deadline passed: the server is not to blame.
		fl.reason, fl.final = refuser.Cancelled, true
		return fl
	case unsent:
		fl.reason = refuser.BackendUnreachable
	case ex.writer.begun():
		fl.reason = refuser.StreamBroken
	}
	ex.ds.forwarder.DropIdle(ex.address)
	return fl
}

// receive passes the answer on, or says why it is none.
func (ex *exchange) receive(ctx context.Context, rs *http.Response) *failure {
	vd := ex.Wire.Judge(rs)
	if vd.NotRun {
		detail := "server " + ex.server + " refused: status " + strconv.Itoa(rs.StatusCode)
		_, _ = io.Copy(io.Discard, io.LimitReader(rs.Body, heldBytes))
		return &failure{reason: refuser.BackendRefused, detail: detail, refused: true}
	}
	whole := rs.StatusCode >= 200 && rs.StatusCode < 300
	if whole && !vd.Genuine {
		return &failure{reason: refuser.BackendFailed, detail: "server " + ex.server + " sent a success that is not its own"}
	}
	if whole && ex.isStream(rs) {
		return ex.receiveStream(ctx, rs)
	}
	return ex.receiveWhole(ctx, rs, whole)
}

func (ex *exchange) isStream(rs *http.Response) bool {
	return ex.Route.Streams() && strings.HasPrefix(rs.Header.Get("Content-Type"), contentTypeEvents)
}

// receiveWhole reads an answer that is no stream and passes it on. A failure
// of the server is held back while the request may be sent again.
func (ex *exchange) receiveWhole(ctx context.Context, rs *http.Response, success bool) *failure {
	if ex.writer.begun() {
		return &failure{reason: refuser.StreamBroken, detail: "server " + ex.server + " did not continue the stream: status " + strconv.Itoa(rs.StatusCode)}
	}
	body, err := io.ReadAll(io.LimitReader(rs.Body, heldBytes))
	if err != nil {
		return ex.broken(ctx, err, false)
	}
	if len(body) == heldBytes {
		return ex.receiveLong(ctx, rs, body)
	}
	ex.result.Duration = time.Since(ex.sent)
	hl := &held{head: rs, body: body}
	if !success && rs.StatusCode >= http.StatusInternalServerError {
		ex.last = hl
		return &failure{reason: refuser.BackendFailed, detail: "server " + ex.server + " failed: status " + strconv.Itoa(rs.StatusCode)}
	}
	if err := ex.writer.deliver(ex.Wire, hl); err != nil {
		return slowCaller(err)
	}
	return nil
}

// receiveLong passes an answer on that is too long to be held.
func (ex *exchange) receiveLong(ctx context.Context, rs *http.Response, start []byte) *failure {
	ex.writer.open(ex.Wire, rs, int(rs.ContentLength))
	if err := ex.writer.write(start); err != nil {
		return slowCaller(err)
	}
	buf := make([]byte, heldBytes/8)
	for {
		count, err := rs.Body.Read(buf)
		if count > 0 {
			if err := ex.writer.write(buf[:count]); err != nil {
				return slowCaller(err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			fl := ex.broken(ctx, err, false)
			fl.final = true
			return fl
		}
	}
}

// receiveStream passes whole events on as they arrive.
func (ex *exchange) receiveStream(ctx context.Context, rs *http.Response) *failure {
	rd := eventreader.New(rs.Body)
	for {
		ev, err := rd.NextRaw()
		if err == io.EOF {
			ex.result.Duration = time.Since(ex.sent)
			return ex.endStream(rs)
		}
		if err != nil {
			return ex.broken(ctx, err, false)
		}
		if fl := ex.passOn(rs, ev); fl != nil {
			return fl
		}
		if rd.Buffered() > 0 {
			continue
		}
		if err := ex.writer.flush(); err != nil {
			return slowCaller(err)
		}
	}
}

// endStream ends a stream whose server ended it.
func (ex *exchange) endStream(rs *http.Response) *failure {
	ex.writer.open(ex.Wire, rs, -1)
	if err := ex.writer.flush(); err != nil {
		return slowCaller(err)
	}
	return nil
}

// passOn checks that an event follows on the last one and passes it on.
func (ex *exchange) passOn(rs *http.Response, ev eventreader.RawEvent) *failure {
	if ex.watchdog != nil {
		ex.watchdog.Stop()
	}
	number, numbered := eventNumber(ev.ID)
	if numbered && ex.writer.last != "" {
		switch {
		case number <= ex.writer.number:
			return nil
		case number > ex.writer.number+1:
			return &failure{reason: refuser.StreamBroken, detail: "server " + ex.server + " left out events after " + ex.writer.last}
		}
	}
	if ex.result.Tokens == 0 {
		ex.result.FirstToken = time.Since(ex.sent)
		ex.grant.Begun()
	}
	ex.result.Tokens++
	ex.writer.tick(time.Now())
	ex.writer.open(ex.Wire, rs, -1)
	if err := ex.writer.write(ev.Bytes); err != nil {
		return slowCaller(err)
	}
	if numbered {
		ex.writer.last, ex.writer.number = ev.ID, number
	}
	return nil
}

// eventNumber reads the id of an event.
func eventNumber(id string) (int64, bool) {
	number, err := strconv.ParseInt(strings.TrimSpace(id), 10, 64)
	return number, err == nil
}
