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
	// addressTimeout is the timeout of an address request.
	addressTimeout = 2 * time.Second
	// failedNodeDelay is how long a failed entry node is tried only after all
	// others.
	failedNodeDelay = 10 * time.Second
)

// addressCache holds the last address answer and the recent failures.
type addressCache struct {
	addresses []string             // base URLs in the order of preference
	expires   time.Time            // end of the answer's lifetime
	failedAt  map[string]time.Time // last failure by base URL
}

// chooseAddress returns the base URL of the entry node for the next attempt. It
// returns a tried one only if there is no other.
func (cl *Client) chooseAddress(ctx context.Context, tried []string) (string, error) {
	addresses, fresh := cl.cachedAddresses()
	if !fresh {
		if err := cl.refresh(ctx); err != nil && len(addresses) == 0 {
			return "", err
		}
		addresses, _ = cl.cachedAddresses()
	}
	for _, address := range addresses {
		if !slices.Contains(tried, address) {
			return address, nil
		}
	}
	return addresses[len(tried)%len(addresses)], nil
}

// cachedAddresses returns the addresses of the last answer, with the recently
// failed ones last. It reports false if the answer has expired or all of its
// addresses failed recently.
func (cl *Client) cachedAddresses() ([]string, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := time.Now()
	var healthy, failing []string
	for _, address := range cl.cache.addresses {
		if now.Sub(cl.cache.failedAt[address]) < failedNodeDelay {
			failing = append(failing, address)
		} else {
			healthy = append(healthy, address)
		}
	}
	return append(healthy, failing...), now.Before(cl.cache.expires) && len(healthy) > 0
}

// refresh requests the addresses from the cached entry nodes in turn, then from
// the seeds in random order, and stores the first answer.
func (cl *Client) refresh(ctx context.Context) error {
	cachedAddresses, _ := cl.cachedAddresses()
	err := errors.New("no seed address of an entry node is set")
	for _, base := range append(cachedAddresses, cl.shuffledSeeds()...) {
		var found []string
		var lifetime time.Duration
		requestedAt := time.Now()
		if found, lifetime, err = cl.fetchAddresses(ctx, base); err == nil {
			cl.storeAddresses(found, requestedAt.Add(lifetime))
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return errors.Wrap(err, "request addresses from entry nodes")
}

func (cl *Client) shuffledSeeds() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	seeds := slices.Clone(cl.seeds)
	cl.random.Shuffle(len(seeds), func(ix, jx int) { seeds[ix], seeds[jx] = seeds[jx], seeds[ix] })
	return seeds
}

func (cl *Client) fetchAddresses(ctx context.Context, base string) ([]string, time.Duration, error) {
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
		return nil, 0, errors.Wrap(err, "send address request")
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return nil, 0, readRefusal(rs)
	}
	var wire struct {
		Addresses []string `json:"addresses"`
		Lifetime  int64    `json:"lifetime-ms"`
	}
	if err := json.NewDecoder(rs.Body).Decode(&wire); err != nil {
		return nil, 0, errors.Wrap(err, "decode address answer")
	}
	if len(wire.Addresses) == 0 {
		return nil, 0, errors.New("address answer of entry node is empty")
	}
	return withScheme(base, wire.Addresses), time.Duration(wire.Lifetime) * time.Millisecond, nil
}

// withScheme returns base URLs of the addresses, with the scheme of the base
// URL that they were requested from, or http.
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

// storeAddresses replaces the cached answer. The lifetime counts from the
// sending of the request, so that the answer never expires later here than on
// the system's side.
func (cl *Client) storeAddresses(addresses []string, expires time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	failedAt := cl.cache.failedAt
	if failedAt == nil {
		failedAt = map[string]time.Time{}
	}
	cl.cache = addressCache{addresses: addresses, expires: expires, failedAt: failedAt}
}

// markFailed makes an entry node the last choice for failedNodeDelay.
func (cl *Client) markFailed(base string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.cache.failedAt != nil {
		cl.cache.failedAt[base] = time.Now()
	}
}
