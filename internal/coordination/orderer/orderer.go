// Package orderer sends orders to backend servers and keeps their records.
//
// # Usage
//
//	od := orderer.New(store)
//	err := od.Ensure(ctx, server, models)
package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/state/storer"
)

// orderTimeout bounds the wait for an engine's answer to an order.
const orderTimeout = 30 * time.Second

// Orderer sends orders for the backend servers that its node owns.
type Orderer struct {
	store  storer.Store
	http   *http.Client
	fences map[string]int64
	done   map[string]bool
}

// New returns an orderer that owns nothing yet.
func New(st storer.Store) *Orderer {
	return &Orderer{
		store:  st,
		http:   &http.Client{Timeout: orderTimeout},
		fences: map[string]int64{},
		done:   map[string]bool{},
	}
}

// Ensure loads the models that the backend server does not have yet.
func (od *Orderer) Ensure(ctx context.Context, bs *configurer.BackendServer, models []*configurer.Model) error {
	fence, err := od.claim(ctx, bs.Name())
	if err != nil {
		return err
	}
	for _, md := range models {
		id := bs.Name() + "/" + md.Name() + "/" + md.Version()
		if od.done[id] {
			continue
		}
		if err := od.send(ctx, bs, md, id, fence); err != nil {
			return err
		}
		od.done[id] = true
	}
	return nil
}

// claim takes ownership of the server's record and returns its fencing number.
func (od *Orderer) claim(ctx context.Context, server string) (int64, error) {
	if fence, ok := od.fences[server]; ok {
		return fence, nil
	}
	key := "worker/" + server
	en, err := od.store.Get(ctx, key)
	if err != nil && !storer.Is(err, storer.NotFound) {
		return 0, errors.Wrapf(err, "claim backend server %q", server)
	}
	old, _ := strconv.ParseInt(string(en.Value), 10, 64)
	fence := old + 1
	if _, err := od.store.Swap(ctx, key, []byte(strconv.FormatInt(fence, 10)), en.Revision); err != nil {
		return 0, errors.Wrapf(err, "claim backend server %q", server)
	}
	od.fences[server] = fence
	return fence, nil
}

func (od *Orderer) send(ctx context.Context, bs *configurer.BackendServer, md *configurer.Model, id string, fence int64) error {
	body, err := json.Marshal(map[string]any{
		"id":      id,
		"fence":   fence,
		"action":  "load-model",
		"model":   md.Name(),
		"version": md.Version(),
		"memory":  md.Memory(),
	})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	url := "http://" + bs.Address() + "/control/orders"
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	rs, err := od.http.Do(rq)
	if err != nil {
		return errors.Wrapf(err, "send order %s", id)
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return errors.Errorf("send order %s: status %d", id, rs.StatusCode)
	}
	return nil
}

// Adapters makes adapters ready on backend servers, through the node that owns
// the server.
type Adapters struct{}

// Ensure implements dispatcher.Adapters.
func (*Adapters) Ensure(context.Context, string, *configurer.Adapter) error { return nil }
