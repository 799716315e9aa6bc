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
	// maxAnswerBytes is the largest answer that is no stream.
	maxAnswerBytes = 8 << 20
	// endOfStream is the data of a stream's last event.
	endOfStream = "[DONE]"
)

// receiveStream passes the events of a stream on until its end.
func (sn *sending) receiveStream(ctx context.Context, rs *http.Response) *failure {
	rd := eventreader.New(rs.Body)
	resumed := sn.progress.begun()
	for {
		ev, err := rd.Next()
		if err != nil {
			return sn.streamBroken(ctx, err)
		}
		sn.watchdog.Reset(sn.silence())
		if string(ev.Data) == endOfStream {
			return sn.endStream()
		}
		if fl := sn.passOn(ev, resumed); fl != nil {
			return fl
		}
	}
}

func (sn *sending) endStream() *failure {
	if !sn.progress.finished() {
		return &failure{reason: refuser.StreamBroken, detail: "stream ended without a finish reason"}
	}
	if err := sn.relay.finishStream(); err != nil {
		return slowCaller(err)
	}
	return nil
}

func (sn *sending) passOn(ev eventreader.Event, resumed bool) *failure {
	var ck chunk
	if err := json.Unmarshal(ev.Data, &ck); err != nil {
		return &failure{reason: refuser.StreamBroken, detail: "event does not decode: " + err.Error()}
	}
	keep, err := sn.progress.accept(&ck, resumed)
	if err != nil {
		return sn.badChunk(err)
	}
	if !keep {
		return nil
	}
	sn.countToken(&ck)
	if err := sn.relay.pushChunk(&ck, ev.Data); err != nil {
		return slowCaller(err)
	}
	return nil
}

// countToken notes the tokens of this sending and the time of its first one.
func (sn *sending) countToken(ck *chunk) {
	if !ck.hasContent() {
		return
	}
	if sn.result.Tokens == 0 {
		sn.result.FirstToken = time.Since(sn.began)
	}
	sn.result.Tokens++
}

func (sn *sending) badChunk(err error) *failure {
	fl := &failure{reason: refuser.BackendFailed, detail: err.Error()}
	if sn.progress.begun() {
		fl.reason = refuser.StreamBroken
	}
	return fl
}

// streamBroken classes the end of a stream that is not whole. Only a
// connection that was cut off counts as a death: a clean end is none.
func (sn *sending) streamBroken(ctx context.Context, err error) *failure {
	if err == io.EOF || errors.Is(err, eventreader.ErrTooLarge) {
		return &failure{reason: refuser.StreamBroken, detail: "stream ended early: " + err.Error()}
	}
	return sn.broken(ctx, err, false)
}

// receiveAnswer reads an answer that is no stream, and passes it on if it is
// whole.
func (sn *sending) receiveAnswer(ctx context.Context, rs *http.Response) *failure {
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes+1))
	if err != nil {
		return sn.broken(ctx, err, false)
	}
	if len(body) > maxAnswerBytes {
		return &failure{reason: refuser.BackendFailed, detail: "answer is too large", final: true}
	}
	var ck chunk
	if err := json.Unmarshal(body, &ck); err != nil {
		return &failure{reason: refuser.BackendFailed, detail: "answer does not decode: " + err.Error()}
	}
	if ck.ID != sn.request.ID {
		return &failure{reason: refuser.BackendFailed, detail: errForeign.Error()}
	}
	if len(ck.Error) > 0 || !ck.hasFinish() {
		return &failure{reason: refuser.BackendFailed, detail: "answer has no finish reason"}
	}
	tokens, _ := ck.Usage.CompletionTokens.Int64()
	sn.result.Tokens = int(tokens)
	if err := sn.relay.pushAnswer(&ck, body); err != nil {
		return slowCaller(err)
	}
	return nil
}

func slowCaller(err error) *failure {
	return &failure{reason: refuser.StreamBroken, detail: err.Error(), final: true}
}
