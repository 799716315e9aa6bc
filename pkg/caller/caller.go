// Package caller is the client library of lagoonpass. It asks the entry nodes
// for the addresses to use, caches them for the lifetime that the nodes state,
// and retries a request only if a second execution can't happen or does no
// harm.
//
// # Usage
//
//	cl := caller.New([]string{"http://127.0.0.1:8080"}, caller.WithKey("secret"))
//	answer, err := cl.Complete(ctx, caller.Completion{
//		Model:    "route-summary",
//		Messages: []caller.Message{{Role: "user", Content: "Which way to Sohar?"}},
//	})
//
//	booking := caller.ServiceCall{
//		Service: "dispatch", Method: "POST", Path: "/book",
//		Body: body, Key: caller.NewKey(),
//	}
//	result, err := cl.CallService(ctx, booking)
//
// If the system refuses a request, the error wraps a *refuser.Refusal whose
// outcome says whether the request may have run. A call with a key may be
// repeated with the same key at any time and runs at most once.
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonpass/lagoonpass/internal/transport/resetdetector"
)

// Defaults of a Client.
const (
	defaultAttemptLimit   = 4
	defaultReconnectDelay = 250 * time.Millisecond
	dialTimeout           = time.Second
	idleTimeout           = 15 * time.Second
	idlePerHost           = 64
	// fixedLifetime is the lifetime of addresses set by WithAddresses.
	fixedLifetime = 100 * 365 * 24 * time.Hour
)

// Client calls lagoonpass. It is safe for concurrent use.
type Client struct {
	seeds             []string      // base URLs of entry nodes
	key               string        // API key
	zone              string        // preferred availability zone, or empty
	class             string        // default priority class, or empty
	attemptLimit      int           // attempts for each request, the first included
	maxReconnectDelay time.Duration // bound of the random wait before another entry node is tried
	http              *http.Client

	mu       sync.Mutex
	random   *rand.Rand
	cache    addressCache
	revision int64 // highest configuration revision seen in an answer
}

// Option configures a Client in New.
type Option func(*Client)

// WithKey sets the caller's API key.
func WithKey(key string) Option { return func(cl *Client) { cl.key = key } }

// WithAddresses makes the client use these base URLs instead of requesting
// addresses from the entry nodes.
func WithAddresses(addresses ...string) Option {
	return func(cl *Client) {
		cl.cache = addressCache{addresses: addresses, expires: time.Now().Add(fixedLifetime), failedAt: map[string]time.Time{}}
	}
}

// WithZone sets the availability zone whose entry nodes are preferred.
func WithZone(zone string) Option { return func(cl *Client) { cl.zone = zone } }

// WithClass sets the priority class of requests that name none.
func WithClass(class string) Option { return func(cl *Client) { cl.class = class } }

// WithAttempts sets the attempt limit of a request, the first attempt included.
func WithAttempts(count int) Option { return func(cl *Client) { cl.attemptLimit = count } }

// WithSpread sets the upper bound of the random wait before a client whose
// entry node failed connects to another one. The wait keeps the callers of a
// failed node from reconnecting all at once.
func WithSpread(dn time.Duration) Option { return func(cl *Client) { cl.maxReconnectDelay = dn } }

// WithHTTPClient sets the HTTP client. It must neither follow redirects nor
// retry requests.
func WithHTTPClient(hc *http.Client) Option { return func(cl *Client) { cl.http = hc } }

// WithRandom sets the source of randomness.
func WithRandom(random *rand.Rand) Option { return func(cl *Client) { cl.random = random } }

// New returns a client that requests the entry addresses from the nodes at the
// base URLs in seeds.
func New(seeds []string, opts ...Option) *Client {
	cl := &Client{
		seeds:             seeds,
		attemptLimit:      defaultAttemptLimit,
		maxReconnectDelay: defaultReconnectDelay,
		http:              &http.Client{Transport: newTransport()},
		random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

func newTransport() *http.Transport {
	dl := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dl.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return resetdetector.New(raw), nil
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

// NewKey returns a new idempotency key. It is a UUID of version 7, because the
// system reads the creation time from the key.
func NewKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// randomBelow returns a random duration in [0, bound), or 0 if bound is not
// positive.
func (cl *Client) randomBelow(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return time.Duration(cl.random.Int64N(int64(bound)))
}
