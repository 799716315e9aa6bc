package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/eventreader"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	contentTypeEvents = "text/event-stream"
	contentTypeJSON   = "application/json"
	// maxAnswerBytes is the maximum size of an answer that is not a stream.
	maxAnswerBytes = 8 << 20
	// endOfStream is the data of a stream's last event.
	endOfStream = "[DONE]"
)

// receiveStream checks and forwards the events of a stream until its end.
func (at *attempt) receiveStream(ctx context.Context, rs *http.Response) *failure {
	rd := eventreader.New(rs.Body)
	resumed := at.progress.begun()
	for {
		ev, err := rd.Next()
		if err != nil {
			return at.classifyStreamEnd(ctx, err)
		}
		at.watchdog.Reset(at.silenceTimeout())
		if string(ev.Data) == endOfStream {
			return at.endStream()
		}
		if fl := at.forwardEvent(ev, resumed); fl != nil {
			return fl
		}
	}
}

func (at *attempt) endStream() *failure {
	if !at.progress.finished() {
		return &failure{reason: refuser.StreamBroken, detail: "stream ended without a finish reason"}
	}
	if err := at.relay.finishStream(); err != nil {
		return callerFailure(err)
	}
	return nil
}

func (at *attempt) forwardEvent(ev eventreader.Event, resumed bool) *failure {
	var ck chunk
	if err := json.Unmarshal(ev.Data, &ck); err != nil {
		return &failure{reason: refuser.StreamBroken, detail: "event does not decode: " + err.Error()}
	}
	keep, err := at.progress.accept(&ck, resumed)
	if err != nil {
		return at.classifyChunkError(err)
	}
	if !keep {
		return nil
	}
	at.countToken(&ck)
	if err := at.relay.pushChunk(&ck, ev.Data); err != nil {
		return callerFailure(err)
	}
	return nil
}

// countToken counts the tokens of the attempt and records the time to its first
// token.
func (at *attempt) countToken(ck *chunk) {
	if !ck.hasContent() {
		return
	}
	if at.result.Tokens == 0 {
		at.result.FirstToken = time.Since(at.began)
	}
	at.result.Tokens++
}

func (at *attempt) classifyChunkError(err error) *failure {
	fl := &failure{reason: refuser.BackendFailed, detail: err.Error()}
	if at.progress.begun() {
		fl.reason = refuser.StreamBroken
	}
	if errors.Is(err, errVersion) {
		fl.reason = refuser.VersionGone
		at.nonResumable = append(at.nonResumable, at.server)
	}
	return fl
}

// classifyStreamEnd turns the early end of a stream into a failure. A lost
// connection may count as a crash; a clean end does not.
func (at *attempt) classifyStreamEnd(ctx context.Context, err error) *failure {
	if err == io.EOF || errors.Is(err, eventreader.ErrTooLarge) {
		return &failure{reason: refuser.StreamBroken, detail: "stream ended early: " + err.Error()}
	}
	return at.classifyError(ctx, err, false)
}

// receiveAnswer reads an answer that is not a stream and forwards it if it is
// complete.
func (at *attempt) receiveAnswer(ctx context.Context, rs *http.Response) *failure {
	br := &boundedReader{Reader: rs.Body, total: &at.ds.buffered}
	defer br.release()
	body, err := io.ReadAll(io.LimitReader(br, maxAnswerBytes+1))
	if errors.Is(err, errNodeBuffer) {
		return callerFailure(err)
	}
	if err != nil {
		return at.classifyError(ctx, err, false)
	}
	if len(body) > maxAnswerBytes {
		return &failure{reason: refuser.BackendFailed, detail: "answer is too large", final: true, faulty: true}
	}
	var ck chunk
	if err := json.Unmarshal(body, &ck); err != nil {
		return &failure{reason: refuser.BackendFailed, detail: "answer does not decode: " + err.Error()}
	}
	if ck.ID != at.request.ID {
		return &failure{reason: refuser.BackendFailed, detail: errOtherRequest.Error()}
	}
	if len(ck.Error) > 0 || !ck.hasFinish() {
		return &failure{reason: refuser.BackendFailed, detail: "answer has no finish reason"}
	}
	tokens, _ := ck.Usage.CompletionTokens.Int64()
	at.result.Tokens = int(tokens)
	br.release() // the relay counts the answer from here on
	if err := at.relay.pushAnswer(&ck, body); err != nil {
		return callerFailure(err)
	}
	return nil
}

// callerFailure returns the failure of an attempt whose answer can't be written
// to the caller.
func callerFailure(err error) *failure {
	return &failure{reason: refuser.StreamBroken, detail: err.Error(), final: true}
}
