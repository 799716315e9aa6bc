package dispatcher

import (
	"bytes"
	"encoding/json"
	"io"
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
	// maxStreamBuffer is the maximum number of unread bytes of one caller.
	maxStreamBuffer = 256 << 10
	// maxNodeBuffer is the maximum number of unread bytes of all callers of a
	// node, and of answers that servers have not finished.
	maxNodeBuffer = 64 << 20
	// writeBytes is the maximum number of bytes written under one deadline.
	writeBytes = 4 << 10
	// writeTimeout is the time in which a caller must read writeBytes.
	writeTimeout = 30 * time.Second
)

var (
	errStreamBuffer = errors.New("caller reads too slowly: its buffer is full")
	errCallerGone   = errors.New("caller takes no more")
	errNodeBuffer   = errors.New("the node's buffer of answers is full")
)

// relay buffers an answer between the backend server, which is read at full
// speed, and the caller, who may read slowly. Independently of progress, it
// asserts that the answer is complete and belongs to the caller's request.
type relay struct {
	id string
	// total is the number of unread bytes of all relays of the node.
	total *atomic.Int64
	// wake signals deliver that pending or ended changed.
	wake chan struct{}

	mu sync.Mutex
	// pending are the bytes that deliver has not taken yet.
	pending []byte
	// spare is the previous batch, whose memory the next pending reuses.
	spare []byte
	// writing is the size in bytes of the batch that is being written.
	writing int
	// closed says that the caller takes no more bytes.
	closed      bool
	contentType string
	// length is the length of the answer in bytes, or negative if unknown.
	length int
	// ended says that nothing more will be pushed.
	ended   bool
	refusal *refuser.Refusal

	// next is the index of the next expected token.
	next int
	// finished says that a chunk had a finish reason.
	finished bool
	// complete says that the end of the answer was pushed.
	complete bool
}

func newRelay(total *atomic.Int64, id string, from int) *relay {
	return &relay{id: id, total: total, wake: make(chan struct{}, 1), next: from, length: -1}
}

// pushChunk adds one chunk of a stream.
func (rl *relay) pushChunk(ck *chunk, data []byte) error {
	rl.assertOwn(ck.ID)
	if ck.hasContent() {
		inOrder := ck.TokenIndex == nil || *ck.TokenIndex == rl.next
		checker.Assert(checker.CompleteAnswer, inOrder, "request %s: token %v was passed on in place of %d", rl.id, ck.TokenIndex, rl.next)
		rl.next++
	}
	rl.finished = rl.finished || ck.hasFinish()
	return rl.push(contentTypeEvents, data)
}

// finishStream adds the end of a stream.
func (rl *relay) finishStream() error {
	checker.Assert(checker.CompleteAnswer, rl.finished, "request %s: stream ended without a finish reason", rl.id)
	rl.complete = true
	return rl.push(contentTypeEvents, []byte(endOfStream))
}

// pushAnswer adds an answer that is not a stream.
func (rl *relay) pushAnswer(ck *chunk, body []byte) error {
	rl.assertOwn(ck.ID)
	checker.Assert(checker.CompleteAnswer, ck.hasFinish(), "request %s: answer has no finish reason", rl.id)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if err := rl.reserve(len(body)); err != nil {
		return err
	}
	rl.contentType, rl.length, rl.pending = contentTypeJSON, len(body), body
	rl.complete = true
	return nil
}

func (rl *relay) assertOwn(id string) {
	checker.Assert(checker.OwnAnswer, id == rl.id, "request %s was passed an answer of %s", rl.id, id)
}

func (rl *relay) push(contentType string, data []byte) error {
	if bytes.ContainsAny(data, "\r\n") {
		data = removeLineBreaks(data)
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

// reserve adds size to the node's unread bytes. It returns errCallerGone after
// release, or errNodeBuffer if the node's buffer is full.
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

// end marks the answer as ended. rf is nil if the answer is complete.
func (rl *relay) end(rf *refuser.Refusal) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	checker.Assert(checker.CompleteAnswer, rf != nil || rl.complete, "request %s ended as whole and is not", rl.id)
	rl.ended, rl.refusal = true, rf
	rl.signal()
}

func (rl *relay) signal() {
	select {
	case rl.wake <- struct{}{}:
	default:
	}
}

// deliver writes the pushed bytes until the end. It returns the refusal with
// which the request ended, or an error if writing to the caller failed.
func (rl *relay) deliver(wr http.ResponseWriter) (*refuser.Refusal, error) {
	ct := http.NewResponseController(wr)
	started := false
	defer rl.release()
	for range rl.wake {
		batch, ended := rl.takePending()
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

// takePending returns the pending bytes and whether the answer has ended. The
// batch is valid until the next call.
func (rl *relay) takePending() ([]byte, bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	batch := rl.pending
	rl.total.Add(-int64(rl.writing))
	rl.writing = len(batch)
	rl.pending, rl.spare = rl.spare[:0], batch
	return batch, rl.ended
}

// release subtracts the unwritten bytes from the node's unread bytes and closes
// the relay.
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

// writeAll writes data in pieces of writeBytes, each with its own deadline.
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

// removeLineBreaks compacts a JSON text, since a line break would end the field
// of the event.
func removeLineBreaks(data []byte) []byte {
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

// maxReadBytes bounds one read, and with it by how much the node's buffer is exceeded.
const maxReadBytes = 32 << 10

// boundedReader reads an answer into memory and counts its bytes among those that the
// node holds for callers, so that slow servers do not fill its memory. release must be
// called once the answer is no longer held.
type boundedReader struct {
	io.Reader
	total *atomic.Int64
	taken int64
}

// Read implements io.Reader. It returns errNodeBuffer if the node's buffer is full.
func (br *boundedReader) Read(buf []byte) (int, error) {
	count, err := br.Reader.Read(buf[:min(len(buf), maxReadBytes)])
	br.taken += int64(count)
	if br.total.Add(int64(count)) > maxNodeBuffer {
		return count, errNodeBuffer
	}
	return count, err
}

func (br *boundedReader) release() {
	br.total.Add(-br.taken)
	br.taken = 0
}
