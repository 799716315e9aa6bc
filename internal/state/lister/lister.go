// Package lister reads the platform's list of VMs. The list lags: a VM that
// is gone may still stand in it, and a new one may be missing.
//
// # Usage
//
//	ls := lister.New("http://127.0.0.1:2379/v1/vms")
//	vms, err := ls.VMs(ctx)
package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// callTimeout bounds one reading of the list.
const callTimeout = 2 * time.Second

// The kinds of VMs.
const (
	KindEntry   = "entry"
	KindBackend = "backend"
)

// The states of VMs.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one line of the list.
type VM struct {
	// Name is the VM's name; a replacement has another one.
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

// Lister reads the list over HTTP.
type Lister struct {
	url  string
	http *http.Client
}

// New returns a reader of the list at the URL.
func New(url string) *Lister {
	return &Lister{url: url, http: &http.Client{Timeout: callTimeout}}
}

// VMs returns the lines of the list.
func (ls *Lister) VMs(ctx context.Context) ([]VM, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, ls.url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build VM list call")
	}
	rs, err := ls.http.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "read VM list")
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read VM list: status %d", rs.StatusCode)
	}
	var lines []map[string]string
	if err := json.NewDecoder(rs.Body).Decode(&lines); err != nil {
		return nil, errors.Wrap(err, "decode VM list")
	}
	vms := make([]VM, 0, len(lines))
	for _, ln := range lines {
		vms = append(vms, VM{
			Name:    ln["name"],
			Address: ln["address"],
			Zone:    ln["zone"],
			Kind:    ln["kind"],
			State:   ln["state"],
		})
	}
	return vms, nil
}
