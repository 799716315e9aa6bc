package bencher

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/waiter"
	"github.com/lagoonpass/lagoonpass/pkg/caller"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

const (
	// maxInFlight bounds the in-flight requests of a run.
	maxInFlight = 4096
	// answerGrace is the time after the last arrival for answers to come in.
	answerGrace = time.Minute
)

// Driver sends arrivals to a running system and measures the answers.
type Driver struct {
	settings   *configurer.Settings
	deployment string                     // name in the result
	seed       uint64                     // of the arrivals
	length     time.Duration              // time during which requests arrive
	perSecond  float64                    // mean number of requests a second
	keys       func(caller string) string // API key of a caller
	addresses  []string                   // base URLs of entry nodes
	progress   func(done, all int)        // requests sent and all arrivals

	mu     sync.Mutex // guards result
	result *Result
}

// DriverOption configures a Driver in NewDriver.
type DriverOption func(*Driver)

// WithSeed sets the seed of the arrivals.
func WithSeed(seed uint64) DriverOption { return func(dr *Driver) { dr.seed = seed } }

// WithLength sets the time during which requests arrive.
func WithLength(dn time.Duration) DriverOption { return func(dr *Driver) { dr.length = dn } }

// WithRate sets the mean number of requests a second.
func WithRate(perSecond float64) DriverOption { return func(dr *Driver) { dr.perSecond = perSecond } }

// WithProgress calls fn about once a second with the number of requests sent
// and of all arrivals.
func WithProgress(fn func(done, all int)) DriverOption {
	return func(dr *Driver) { dr.progress = fn }
}

// NewDriver returns a driver for a deployment. Its clients find the entry nodes
// through the addresses, which are base URLs. keys returns the API key of a
// caller. Without options the driver sends 50 requests a second for 10 s.
func NewDriver(st *configurer.Settings, deployment string, addresses []string, keys func(string) string, opts ...DriverOption) *Driver {
	dr := &Driver{
		settings:   st,
		deployment: deployment,
		addresses:  addresses,
		keys:       keys,
		seed:       1,
		length:     10 * time.Second,
		perSecond:  50,
		progress:   func(int, int) {},
	}
	for _, opt := range opts {
		opt(dr)
	}
	return dr
}

// Drive sends each arrival at its time, whether or not earlier ones have been
// answered, and returns the measurements. It fails if ctx ends before the last
// arrival.
func (dr *Driver) Drive(ctx context.Context) (*Result, error) {
	arrivals := NewArrivals(dr.settings, dr.perSecond, dr.length, dr.seed)
	dr.result = dr.newResult()
	clients := dr.newClients()
	ctx, cancel := context.WithTimeout(ctx, dr.length+answerGrace)
	defer cancel()
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxInFlight)
	start := time.Now()
	for ix, ar := range arrivals {
		if !sleepUntil(ctx, start.Add(ar.at)) {
			return nil, errors.Wrap(ctx.Err(), "send requests")
		}
		if ix%max(int(dr.perSecond), 1) == 0 {
			dr.progress(ix, len(arrivals))
		}
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			dr.send(ctx, clients[ar.caller], ar)
		})
	}
	wg.Wait()
	dr.progress(len(arrivals), len(arrivals))
	return dr.result, nil
}

func (dr *Driver) newResult() *Result {
	rs := &Result{
		deployment: dr.deployment,
		seed:       dr.seed,
		length:     dr.length,
		classes:    map[string]*ClassResult{},
		refusals:   map[string]int{},
	}
	for _, bs := range dr.settings.BackendServers() {
		rs.accelerators += bs.Accelerators()
	}
	for _, cs := range dr.settings.Classes() {
		rs.classes[cs.Name()] = newClassResult()
	}
	return rs
}

func (dr *Driver) newClients() map[string]*caller.Client {
	clients := map[string]*caller.Client{}
	for _, cr := range dr.settings.Callers() {
		clients[cr.Name()] = caller.New(dr.addresses, caller.WithKey(dr.keys(cr.Name())))
	}
	return clients
}

// sleepUntil waits until the time and reports whether ctx lasted that long.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return waiter.Sleep(ctx, time.Until(at))
}

// send sends one request and records its answer.
func (dr *Driver) send(ctx context.Context, cl *caller.Client, ar Arrival) {
	cs, _ := dr.settings.Class(ar.class)
	ctx, cancel := context.WithTimeout(ctx, cs.Deadline())
	defer cancel()
	start := time.Now()
	var ms measurement
	var err error
	switch ar.kind {
	case Completion:
		ms, err = dr.complete(ctx, cl, ar)
	case Booking:
		ms, err = dr.book(ctx, cl, ar)
	case Lookup:
		_, err = cl.CallService(ctx, caller.ServiceCall{Service: ar.service, Method: "GET", Path: "/status", Repeatable: true})
		ms.first = time.Since(start)
	}
	dr.recordAnswer(cs, ms, err)
}

// measurement holds the measurements of one answer.
type measurement struct {
	// first is the time to the first token, or to the answer of a service.
	first time.Duration
	// gaps are the times between one token and the next.
	gaps []time.Duration
	// broken describes the invariant that the answer violates; empty for none.
	broken string
}

func (dr *Driver) complete(ctx context.Context, cl *caller.Client, ar Arrival) (measurement, error) {
	start := time.Now()
	sm, err := cl.Stream(ctx, caller.Completion{
		Model:     ar.model,
		MaxTokens: ar.tokens,
		Class:     ar.class,
		Messages: []caller.Message{
			{Role: "system", Content: sharedPromptText(ar.model, ar.sharedPrompt)},
			{Role: "user", Content: fmt.Sprintf("question %d", ar.number)},
		},
	})
	if err != nil {
		return measurement{}, err
	}
	defer func() { _ = sm.Close() }()
	var ms measurement
	last := start
	for {
		_, err := sm.Next()
		now := time.Now()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return ms, err
		}
		if ms.first == 0 {
			ms.first = now.Sub(start)
		} else {
			ms.gaps = append(ms.gaps, now.Sub(last))
		}
		last = now
	}
	if sm.Tokens() != ar.tokens {
		ms.broken = fmt.Sprintf("whole-answer: request %d got %d tokens of %d as a whole answer", ar.number, sm.Tokens(), ar.tokens)
	}
	return ms, nil
}

// sharedPromptBytes is the approximate length of a shared prompt.
const sharedPromptBytes = 2048

func sharedPromptText(model string, number int) string {
	line := fmt.Sprintf("handbook %d of %s. ", number, model)
	return strings.Repeat(line, sharedPromptBytes/len(line)+1)
}

func (dr *Driver) book(ctx context.Context, cl *caller.Client, ar Arrival) (measurement, error) {
	start := time.Now()
	body, err := cl.CallService(ctx, caller.ServiceCall{
		Service: ar.service, Method: "POST", Path: "/book",
		Body: []byte(ar.bookingBody()), ContentType: "text/plain", Key: caller.NewKey(),
	})
	ms := measurement{first: time.Since(start)}
	if err == nil && !strings.Contains(string(body), ar.bookingBody()) {
		ms.broken = fmt.Sprintf("own-answer: booking %d got %q", ar.number, body)
	}
	return ms, err
}

// recordAnswer adds one answer to the result.
func (dr *Driver) recordAnswer(cs *configurer.Class, ms measurement, err error) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	cr := dr.result.classes[cs.Name()]
	cr.offered++
	if ms.broken != "" {
		dr.result.broken = append(dr.result.broken, ms.broken)
	}
	if err != nil {
		dr.recordFailure(err)
		return
	}
	cr.completed++
	cr.tokens += len(ms.gaps) + 1
	_ = cr.firstToken.RecordValue(ms.first.Microseconds())
	gap := recordGaps(cr, ms.gaps)
	if ms.first <= cs.FirstToken() && gap <= cs.TokenGap() {
		cr.attained++
	}
}

// gapQuantile is the fraction of an answer's token gaps that must be within the
// target of the class.
const gapQuantile = 0.95

// recordGaps adds an answer's token gaps to the histogram and returns their
// quantile gapQuantile.
func recordGaps(cr *ClassResult, gaps []time.Duration) time.Duration {
	var sorted []time.Duration
	for _, gap := range gaps {
		_ = cr.tokenGap.RecordValue(gap.Microseconds())
		sorted = append(sorted, gap)
	}
	if len(sorted) == 0 {
		return 0
	}
	sortDurations(sorted)
	return sorted[int(gapQuantile*float64(len(sorted)-1))]
}

func (dr *Driver) recordFailure(err error) {
	var rf *refuser.Refusal
	if errors.As(err, &rf) {
		dr.result.refusals[string(rf.Reason())]++
		if rf.Outcome() == refuser.Unknown {
			dr.result.unknown++
		}
		return
	}
	dr.result.unknown++
	dr.result.refusals["no-answer"]++
}
