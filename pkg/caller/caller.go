// Package caller is the client for callers of lagoonpass. It asks the system
// which addresses to use, keeps the answer for its lifetime, connects there,
// and sends again only what may be sent again.
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
// An error is a *refuser.Refusal if the system refused; its outcome says
// whether the request can have run. A call with a key may be made again with
// the same key, now or later, and runs at most once.
package caller

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Defaults of a Client.
const (
	defaultAttempts = 4
	defaultSpread   = 250 * time.Millisecond
	dialTimeout     = time.Second
	idleTimeout     = 15 * time.Second
	idlePerHost     = 64
	// fixedLifetime is the lifetime of addresses that were given.
	fixedLifetime = 100 * 365 * 24 * time.Hour
)

// Client calls lagoonpass. It may be used by several goroutines.
type Client struct {
	seeds    []string
	key      string
	zone     string
	class    string
	attempts int
	spread   time.Duration
	http     *http.Client

	mu       sync.Mutex
	random   *rand.Rand
	book     addressBook
	revision int64
}

// Option changes a Client that is being made.
type Option func(*Client)

// WithKey sets the caller's API key.
func WithKey(key string) Option { return func(cl *Client) { cl.key = key } }

// WithAddresses makes the client use these base URLs and ask for no others.
func WithAddresses(addresses ...string) Option {
	return func(cl *Client) {
		cl.book = addressBook{addresses: addresses, until: time.Now().Add(fixedLifetime), failed: map[string]time.Time{}}
	}
}

// WithZone sets the availability zone whose entry nodes come first.
func WithZone(zone string) Option { return func(cl *Client) { cl.zone = zone } }

// WithClass sets the priority class of requests that name none.
func WithClass(class string) Option { return func(cl *Client) { cl.class = class } }

// WithAttempts sets how often one request is sent at most.
func WithAttempts(count int) Option { return func(cl *Client) { cl.attempts = count } }

// WithSpread sets the longest random wait before a client whose entry node
// failed connects to another, so that the callers of a lost node do not all
// arrive at once.
func WithSpread(dn time.Duration) Option { return func(cl *Client) { cl.spread = dn } }

// WithHTTPClient sets the client that carries the requests. It must not follow
// redirects or repeat requests by itself.
func WithHTTPClient(hc *http.Client) Option { return func(cl *Client) { cl.http = hc } }

// WithRandom sets the source of randomness.
func WithRandom(random *rand.Rand) Option { return func(cl *Client) { cl.random = random } }

// New returns a client that first asks the entry nodes at the base URLs.
func New(seeds []string, opts ...Option) *Client {
	cl := &Client{
		seeds:    seeds,
		attempts: defaultAttempts,
		spread:   defaultSpread,
		http:     &http.Client{Transport: newTransport()},
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

func newTransport() *http.Transport {
	dl := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dl.DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

// NewKey returns a new idempotency key that carries the present time, as the
// system wants it.
func NewKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// upTo returns a random duration below the bound.
func (cl *Client) upTo(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return time.Duration(cl.random.Int64N(int64(bound)))
}
