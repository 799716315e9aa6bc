package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/protocol/headchecker"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// HeaderCacheHandle is the request header that names the exported KV cache
	// to import.
	HeaderCacheHandle = "Lagoonpass-Cache-Handle"
	// exportPath is the path where an engine prefills a prompt and exports its
	// KV cache.
	exportPath = "/control/export"
	// maxHandleBytes is the maximum size of the answer to an export.
	maxHandleBytes = 4096
)

// prefill runs the prompt on the grant's prefill server if there is one and
// both engines transfer KV cache. If this gives no handle, the decode server
// prefills the prompt itself.
func (at *attempt) prefill(ctx context.Context, gr *admitter.Grant) *failure {
	server, address, ok := gr.Prefill()
	if !ok || at.progress.begun() || !at.transfersCache(server) || !at.transfersCache(at.server) {
		return nil
	}
	defer gr.PrefillDone()
	ctx, cancel := context.WithTimeout(ctx, at.firstEventTimeout())
	defer cancel()
	rq := at.backendRequest()
	rq.Address, rq.Path = address, exportPath
	rs, err := at.ds.forwarder.Send(ctx, rq)
	if err != nil {
		return at.recordPrefillFailure(ctx, address, err)
	}
	defer func() { _ = rs.Body.Close() }()
	var answer struct {
		Handle string `json:"handle"`
	}
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxHandleBytes))
	if err != nil || rs.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Handle == "" {
		at.ds.registry.Inc("prefill", "failed")
		return nil
	}
	at.ds.registry.Inc("prefill", "exported")
	at.handle = answer.Handle
	return nil
}

// recordPrefillFailure counts a lost connection to a prefill server as a crash,
// so that a request that crashes engines is stopped after retrier.MaxCrashes.
func (at *attempt) recordPrefillFailure(ctx context.Context, address string, err error) *failure {
	at.ds.registry.Inc("prefill", "failed")
	at.ds.forwarder.DropIdle(address)
	if forwarder.NotSent(err) || ctx.Err() != nil || errors.Is(err, headchecker.ErrMalformed) {
		return nil
	}
	at.recordFailure(&failure{unsent: true, crashed: true})
	if at.crashes < retrier.MaxCrashes {
		return nil
	}
	return &failure{reason: refuser.BackendFailed, detail: err.Error(), unsent: true, final: true}
}

// transfersCache reports whether the server's engine transfers KV cache.
func (ex *execution) transfersCache(server string) bool {
	bs, ok := ex.settings.BackendServer(server)
	if !ok {
		return false
	}
	ek, ok := ex.settings.EngineKind(bs.Kind())
	return ok && ek.TransfersCache()
}
