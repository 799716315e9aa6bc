package delegator

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/transport/framer"
)

const (
	// maxWholeBytes is the size of the longest body that goes in one message, with headroom
	// for the header. A longer one goes in parts of partBytes.
	maxWholeBytes = framer.MaxPayloadBytes - 256<<10
	partBytes     = 1 << 20
	// maxUploadedBytes bounds the bodies in parts that a node holds for others at once.
	maxUploadedBytes = 64 << 20
	// partTimeout is how long a node waits for the next part of a body.
	partTimeout = 5 * time.Second
)

// upload is a body that another node sends in parts.
type upload struct {
	length int64  // of the whole body
	body   []byte // the parts that have come
	expiry *time.Timer
}

// WithUploads sets what sends bodies in parts; by default that is the Caller. With connections
// of their own, long bodies delay no other calls, and a node of a build that does not know
// the messages closes no connection with other calls on it.
func WithUploads(ca Caller) Option { return func(dg *Delegator) { dg.uploader = ca } }

// offerTo offers the request to the node at the address and returns its answer. sent says that
// the node may have begun to run it.
func (dg *Delegator) offerTo(ctx context.Context, address string, call *messenger.Delegate) (answer messenger.Message, sent bool, err error) {
	if len(call.Body) <= maxWholeBytes {
		answer, err = dg.caller.Call(ctx, address, call)
		return answer, true, err
	}
	last := messenger.DelegateLast{Delegate: *call}
	length, offset := int64(len(call.Body)), int64(0)
	for part := range slices.Chunk(call.Body, partBytes) {
		last.Body = part
		if offset+int64(len(part)) == length {
			break
		}
		answer, err = dg.uploader.Call(ctx, address, &messenger.DelegatePart{
			ID: call.ID, Revision: call.Revision, Pool: call.Pool, Length: length, Offset: offset, Data: part,
		})
		if page, ok := answer.(*messenger.DelegatePage); err != nil || !ok || page.Declined {
			return answer, false, err
		}
		offset += int64(len(part))
	}
	answer, err = dg.uploader.Call(ctx, address, &last)
	return answer, true, err
}

// receivePart keeps a part of a body. It returns false if the node does not take it.
func (dg *Delegator) receivePart(part *messenger.DelegatePart) bool {
	if dg.handler == nil || !dg.serves(part.Revision, part.Pool) {
		dg.dropUpload(part.ID)
		return false
	}
	dg.mu.Lock()
	defer dg.mu.Unlock()
	up, ok := dg.uploads[part.ID]
	if !ok {
		if part.Length <= 0 || part.Length > maxUploadedBytes-dg.uploadedBytes {
			return false
		}
		up = &upload{length: part.Length, body: make([]byte, 0, part.Length)}
		up.expiry = time.AfterFunc(partTimeout, func() { dg.dropUpload(part.ID) })
		dg.uploads[part.ID] = up
		dg.uploadedBytes += up.length
	}
	if part.Offset != int64(len(up.body)) || part.Offset+int64(len(part.Data)) >= up.length {
		dg.dropUploadLocked(part.ID)
		return false
	}
	up.expiry.Reset(partTimeout)
	up.body = append(up.body, part.Data...)
	return true
}

// takeUpload returns the body whose last part has come, or false if parts are missing. Its
// length counts until releaseUpload is called.
func (dg *Delegator) takeUpload(id uint64, last []byte) ([]byte, bool) {
	dg.mu.Lock()
	defer dg.mu.Unlock()
	up, ok := dg.uploads[id]
	if !ok {
		return nil, false
	}
	if int64(len(up.body)+len(last)) != up.length {
		dg.dropUploadLocked(id)
		return nil, false
	}
	up.expiry.Stop()
	delete(dg.uploads, id)
	return append(up.body, last...), true
}

// releaseUpload records that a body that takeUpload returned is no longer held.
func (dg *Delegator) releaseUpload(length int) {
	dg.mu.Lock()
	defer dg.mu.Unlock()
	dg.uploadedBytes -= int64(length)
}

// dropUpload forgets a body that is not complete.
func (dg *Delegator) dropUpload(id uint64) {
	dg.mu.Lock()
	defer dg.mu.Unlock()
	dg.dropUploadLocked(id)
}

func (dg *Delegator) dropUploadLocked(id uint64) {
	up, ok := dg.uploads[id]
	if !ok {
		return
	}
	up.expiry.Stop()
	delete(dg.uploads, id)
	dg.uploadedBytes -= up.length
}
