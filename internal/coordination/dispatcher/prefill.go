package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// HeaderCacheHandle tells an engine which exported KV cache to import.
	HeaderCacheHandle = "Lagoonpass-Cache-Handle"
	// exportPath is where an engine reads a prompt and exports its KV cache.
	exportPath = "/control/export"
	// maxHandleBytes bounds the answer to an export.
	maxHandleBytes = 4096
)

// prefill lets the grant's prefill server read the prompt, if there is one and
// both engines transfer KV cache. Without a handle the decode server reads the
// prompt itself.
func (sn *sending) prefill(ctx context.Context, gr *admitter.Grant) *failure {
	server, address, ok := gr.Prefill()
	if !ok || sn.progress.begun() || !sn.transfers(server) || !sn.transfers(sn.server) {
		return nil
	}
	defer gr.PrefillDone()
	ctx, cancel := context.WithTimeout(ctx, sn.firstBound())
	defer cancel()
	rq := sn.backendRequest()
	rq.Address, rq.Path = address, exportPath
	rs, err := sn.ds.forwarder.Send(ctx, rq)
	if err != nil {
		return sn.prefillLost(ctx, address, err)
	}
	defer func() { _ = rs.Body.Close() }()
	var answer struct {
		Handle string `json:"handle"`
	}
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxHandleBytes))
	if err != nil || rs.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Handle == "" {
		sn.ds.registry.Inc("prefill", "failed")
		return nil
	}
	sn.ds.registry.Inc("prefill", "exported")
	sn.handle = answer.Handle
	return nil
}

// prefillLost counts a prefill server whose connection died with the request
// on it: a request that kills engines may not go on to the next one for ever.
func (sn *sending) prefillLost(ctx context.Context, address string, err error) *failure {
	sn.ds.registry.Inc("prefill", "failed")
	sn.ds.forwarder.DropIdle(address)
	if forwarder.NotSent(err) || ctx.Err() != nil {
		return nil
	}
	sn.note(&failure{unsent: true, died: true})
	if sn.deaths < retrier.MaxDeaths {
		return nil
	}
	return &failure{reason: refuser.BackendFailed, detail: err.Error(), unsent: true, final: true}
}

// transfers reports whether the server's engine exports and imports KV cache.
func (ex *execution) transfers(server string) bool {
	bs, ok := ex.settings.BackendServer(server)
	if !ok {
		return false
	}
	ek, ok := ex.settings.EngineKind(bs.Kind())
	return ok && ek.TransfersCache()
}
