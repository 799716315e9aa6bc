package dispatcher

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// maxStreamBuffer bounds what one caller leaves unread.
	maxStreamBuffer = 256 << 10
	// maxNodeBuffer bounds what all callers of a node leave unread.
	maxNodeBuffer = 64 << 20
	// writeBytes is the most that is written under one deadline.
	writeBytes = 4 << 10
	// writeTimeout is the time in which a caller has to take writeBytes.
	writeTimeout = 30 * time.Second
)

var (
	errStreamBuffer = errors.New("caller reads too slowly: its buffer is full")
	errCallerGone   = errors.New("caller takes no more")
	errNodeBuffer   = errors.New("callers read too slowly: the node's buffer is full")
)

// relay stands between the answer of a backend server, read at full speed, and
// its caller, who may read slowly. It keeps its own account of what it passes
// on and asserts that the answer is whole and the caller's own.
type relay struct {
	id    string
	total *atomic.Int64
	wake  chan struct{}

	mu          sync.Mutex
	pending     []byte
	spare       []byte
	writing     int
	closed      bool
	contentType string
	length      int
	ended       bool
	refusal     *refuser.Refusal

	next     int
	finished bool
	whole    bool
}

func newRelay(total *atomic.Int64, id string, from int) *relay {
	return &relay{id: id, total: total, wake: make(chan struct{}, 1), next: from, length: -1}
}

// pushChunk passes one chunk of a stream on.
func (rl *relay) pushChunk(ck *chunk, data []byte) error {
	rl.assertOwn(ck.ID)
	if ck.hasContent() {
		inOrder := ck.TokenIndex == nil || *ck.TokenIndex == rl.next
		checker.Assert(checker.WholeAnswer, inOrder, "request %s: token %v was passed on in place of %d", rl.id, ck.TokenIndex, rl.next)
		rl.next++
	}
	rl.finished = rl.finished || ck.hasFinish()
	return rl.push(contentTypeEvents, data)
}

// finishStream passes the end of a stream on.
func (rl *relay) finishStream() error {
	checker.Assert(checker.WholeAnswer, rl.finished, "request %s: stream ended without a finish reason", rl.id)
	rl.whole = true
	return rl.push(contentTypeEvents, []byte(endOfStream))
}

// pushAnswer passes an answer on that is no stream.
func (rl *relay) pushAnswer(ck *chunk, body []byte) error {
	rl.assertOwn(ck.ID)
	checker.Assert(checker.WholeAnswer, ck.hasFinish(), "request %s: answer has no finish reason", rl.id)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if err := rl.reserve(len(body)); err != nil {
		return err
	}
	rl.contentType, rl.length, rl.pending = contentTypeJSON, len(body), body
	rl.whole = true
	return nil
}

func (rl *relay) assertOwn(id string) {
	checker.Assert(checker.OwnAnswer, id == rl.id, "request %s was passed an answer of %s", rl.id, id)
}

func (rl *relay) push(contentType string, data []byte) error {
	if bytes.ContainsAny(data, "\r\n") {
		data = oneLine(data)
	}
	size := len(data) + len("data: \n\n")
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if len(rl.pending)+rl.writing+size > maxStreamBuffer {
		return errStreamBuffer
	}
	if err := rl.reserve(size); err != nil {
		return err
	}
	rl.contentType = contentType
	rl.pending = appendEvent(rl.pending, "", data)
	rl.signal()
	return nil
}

// reserve adds to the account of the node's unread bytes.
func (rl *relay) reserve(size int) error {
	if rl.closed {
		return errCallerGone
	}
	if rl.total.Add(int64(size)) > maxNodeBuffer {
		rl.total.Add(-int64(size))
		return errNodeBuffer
	}
	return nil
}

// end says that nothing more will be pushed.
func (rl *relay) end(rf *refuser.Refusal) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	checker.Assert(checker.WholeAnswer, rf != nil || rl.whole, "request %s ended as whole and is not", rl.id)
	rl.ended, rl.refusal = true, rf
	rl.signal()
}

func (rl *relay) signal() {
	select {
	case rl.wake <- struct{}{}:
	default:
	}
}

// deliver writes what is pushed until the end. It returns the refusal with
// which the request ended, or an error if the caller takes no more.
func (rl *relay) deliver(wr http.ResponseWriter) (*refuser.Refusal, error) {
	ct := http.NewResponseController(wr)
	started := false
	defer rl.release()
	for range rl.wake {
		batch, ended := rl.take()
		if len(batch) > 0 && !started {
			rl.writeHead(wr)
			started = true
		}
		if err := writeAll(wr, ct, batch); err != nil {
			return nil, err
		}
		if !ended {
			continue
		}
		if started && rl.refusal != nil {
			_ = writeAll(wr, ct, appendEvent(nil, "error", refuser.Encode(rl.refusal)))
		}
		if started {
			_ = ct.SetWriteDeadline(time.Time{})
		}
		return rl.refusal, nil
	}
	return nil, nil
}

// take returns what is pending. The batch is valid until the next call.
func (rl *relay) take() ([]byte, bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	batch := rl.pending
	rl.total.Add(-int64(rl.writing))
	rl.writing = len(batch)
	rl.pending, rl.spare = rl.spare[:0], batch
	return batch, rl.ended
}

// release gives back the account of what was never written.
func (rl *relay) release() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.total.Add(-int64(rl.writing + len(rl.pending)))
	rl.pending, rl.writing, rl.closed = nil, 0, true
}

func (rl *relay) writeHead(wr http.ResponseWriter) {
	rl.mu.Lock()
	contentType, length := rl.contentType, rl.length
	rl.mu.Unlock()
	wr.Header().Set("Content-Type", contentType)
	if length >= 0 {
		wr.Header().Set("Content-Length", strconv.Itoa(length))
	} else {
		wr.Header().Set("Cache-Control", "no-cache")
	}
	wr.WriteHeader(http.StatusOK)
}

// writeAll writes in pieces, so that each piece has its own deadline.
func writeAll(wr http.ResponseWriter, ct *http.ResponseController, data []byte) error {
	for len(data) > 0 {
		piece := data[:min(writeBytes, len(data))]
		data = data[len(piece):]
		_ = ct.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := wr.Write(piece); err != nil {
			return err
		}
		if err := ct.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return err
		}
	}
	return nil
}

// oneLine takes the line breaks out of a JSON text: they would end the field.
func oneLine(data []byte) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, data); err != nil {
		return nil
	}
	return out.Bytes()
}

func appendEvent(out []byte, name string, data []byte) []byte {
	if name != "" {
		out = append(append(append(out, "event: "...), name...), '\n')
	}
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, '\n', '\n')
}
