package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// addressTimeout bounds the wait for an address answer.
	addressTimeout = 2 * time.Second
	// avoidTime is how long an entry node that failed is tried last.
	avoidTime = 10 * time.Second
)

// addressBook is the last address answer.
type addressBook struct {
	addresses []string
	until     time.Time
	failed    map[string]time.Time
}

// choose returns the base URL of the entry node to use, other than those that
// this request has tried, if there is one.
func (cl *Client) choose(ctx context.Context, tried []string) (string, error) {
	addresses, fresh := cl.known()
	if !fresh {
		if err := cl.refresh(ctx); err != nil && len(addresses) == 0 {
			return "", err
		}
		addresses, _ = cl.known()
	}
	for _, address := range addresses {
		if !slices.Contains(tried, address) {
			return address, nil
		}
	}
	return addresses[len(tried)%len(addresses)], nil
}

// known returns the addresses of the last answer, those that failed lately at
// the end, and whether the answer's lifetime goes on.
func (cl *Client) known() ([]string, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := time.Now()
	var good, bad []string
	for _, address := range cl.book.addresses {
		if now.Sub(cl.book.failed[address]) < avoidTime {
			bad = append(bad, address)
		} else {
			good = append(good, address)
		}
	}
	return append(good, bad...), now.Before(cl.book.until) && len(good) > 0
}

// refresh asks known entry nodes, then the seeds, for addresses.
func (cl *Client) refresh(ctx context.Context) error {
	known, _ := cl.known()
	err := errors.New("no entry address is known")
	for _, base := range append(known, cl.shuffledSeeds()...) {
		var found []string
		var lifetime time.Duration
		asked := time.Now()
		if found, lifetime, err = cl.ask(ctx, base); err == nil {
			cl.keep(found, asked.Add(lifetime))
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return errors.Wrap(err, "ask for entry addresses")
}

func (cl *Client) shuffledSeeds() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	seeds := slices.Clone(cl.seeds)
	cl.random.Shuffle(len(seeds), func(ix, jx int) { seeds[ix], seeds[jx] = seeds[jx], seeds[ix] })
	return seeds
}

func (cl *Client) ask(ctx context.Context, base string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	target := base + "/v1/addresses"
	if cl.zone != "" {
		target += "?zone=" + url.QueryEscape(cl.zone)
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, 0, errors.Wrap(err, "build address request")
	}
	cl.authorize(rq)
	rs, err := cl.http.Do(rq)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read addresses")
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return nil, 0, refusalOf(rs)
	}
	var wire struct {
		Addresses []string `json:"addresses"`
		Lifetime  int64    `json:"lifetime-ms"`
	}
	if err := json.NewDecoder(rs.Body).Decode(&wire); err != nil {
		return nil, 0, errors.Wrap(err, "decode addresses")
	}
	if len(wire.Addresses) == 0 {
		return nil, 0, errors.New("the address answer is empty")
	}
	return withScheme(base, wire.Addresses), time.Duration(wire.Lifetime) * time.Millisecond, nil
}

// withScheme gives addresses the scheme of the base URL that named them.
func withScheme(base string, addresses []string) []string {
	scheme, _, found := strings.Cut(base, "://")
	if !found {
		scheme = "http"
	}
	out := make([]string, 0, len(addresses))
	for _, address := range addresses {
		out = append(out, scheme+"://"+address)
	}
	return out
}

// keep replaces the answer. Its lifetime counts from the question, so that it
// never ends after the system takes it for ended.
func (cl *Client) keep(addresses []string, until time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	failed := cl.book.failed
	if failed == nil {
		failed = map[string]time.Time{}
	}
	cl.book = addressBook{addresses: addresses, until: until, failed: failed}
}

// markFailed makes an entry node the last to be tried for a while.
func (cl *Client) markFailed(base string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.book.failed != nil {
		cl.book.failed[base] = time.Now()
	}
}
