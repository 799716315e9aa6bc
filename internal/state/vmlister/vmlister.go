// Package vmlister reads the platform's VM list over HTTP. The list may be
// stale: it may contain a VM that no longer exists and lack a new one.
//
// # Usage
//
//	ls := vmlister.New("http://127.0.0.1:2379/v1/vms")
//	vms, err := ls.VMs(ctx)
package vmlister

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// callTimeout limits one read of the list.
const callTimeout = 2 * time.Second

// Kinds of VMs in the list.
const (
	KindEntry   = "entry"
	KindBackend = "backend"
)

// States of VMs in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is an entry of the list.
type VM struct {
	// Name is the VM's name. A VM that replaces it has a different name.
	Name string
	// Address is the host and port of the VM's main process.
	Address string
	// Zone is the availability zone.
	Zone string
	// Kind is KindEntry or KindBackend.
	Kind string
	// State is StateLive or StateLeaving.
	State string
}

// Lister is an HTTP client for the list.
type Lister struct {
	url  string
	http *http.Client
}

// New returns a Lister for the list at the URL.
func New(url string) *Lister {
	return &Lister{url: url, http: &http.Client{Timeout: callTimeout}}
}

// VMs reads the list and returns its entries. It fails if the answer does not
// arrive within 2 s or does not have status 200.
func (ls *Lister) VMs(ctx context.Context) ([]VM, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, ls.url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build VM list request")
	}
	rs, err := ls.http.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "read VM list")
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read VM list: status %d", rs.StatusCode)
	}
	var entries []map[string]string
	if err := json.NewDecoder(rs.Body).Decode(&entries); err != nil {
		return nil, errors.Wrap(err, "decode VM list")
	}
	vms := make([]VM, 0, len(entries))
	for _, en := range entries {
		vms = append(vms, VM{
			Name:    en["name"],
			Address: en["address"],
			Zone:    en["zone"],
			Kind:    en["kind"],
			State:   en["state"],
		})
	}
	return vms, nil
}
