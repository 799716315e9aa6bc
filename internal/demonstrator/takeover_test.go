package demonstrator

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/runner"
	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
	"github.com/lagoonpass/lagoonpass/pkg/caller"
)

const (
	pollInterval    = 10 * time.Millisecond
	warmUpDuration  = 3 * time.Second
	measureDuration = 12 * time.Second
)

// sockets tracks the TCP listeners and connections of one node, so that a test
// can close them all at once. No new ones open after that.
type sockets struct {
	mu     sync.Mutex
	closed bool
	open   []interface{ Close() error }
}

// track adds a socket. If the sockets are closed, it closes this one and returns
// false.
func (sk *sockets) track(open interface{ Close() error }) bool {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if sk.closed {
		_ = open.Close()
		return false
	}
	sk.open = append(sk.open, open)
	return true
}

func (sk *sockets) closeAll() {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	sk.closed = true
	for _, open := range sk.open {
		_ = open.Close()
	}
}

type trackedListener struct {
	net.Listener
	sockets *sockets
}

func (ln trackedListener) Accept() (net.Conn, error) {
	cn, err := ln.Listener.Accept()
	if err == nil && !ln.sockets.track(cn) {
		return nil, net.ErrClosed
	}
	return cn, err
}

func (sk *sockets) network() runner.Network {
	return runner.Network{
		Listen: func(address string) (net.Listener, error) {
			ln, err := net.Listen("tcp", address)
			if err == nil {
				sk.track(ln)
			}
			return trackedListener{ln, sk}, err
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			cn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
			if err == nil && !sk.track(cn) {
				return nil, net.ErrClosed
			}
			return cn, err
		},
	}
}

// longestGap repeats a call until ctx ends. It returns the longest period without
// success, of those that end after from, and the number of failed calls.
func longestGap(ctx context.Context, from time.Time, call func(context.Context) error) (longest time.Duration, failures int) {
	last := time.Now()
	for ctx.Err() == nil {
		err := call(ctx)
		if err == nil {
			if time.Now().After(from) {
				longest = max(longest, time.Since(last))
			}
			last = time.Now()
		} else if ctx.Err() == nil {
			failures++
		}
		time.Sleep(pollInterval)
	}
	return max(longest, time.Since(last)), failures
}

// BenchmarkTakeover measures, on loopback, how long callers get no answer when
// one of four nodes is killed and when it shuts down gracefully.
func BenchmarkTakeover(b *testing.B) {
	log.SetLevel(log.ErrorLevel)
	for _, planned := range []bool{false, true} {
		b.Run(map[bool]string{false: "killed", true: "stopped"}[planned], func(b *testing.B) { measureTakeover(b, planned) })
	}
}

func measureTakeover(b *testing.B, planned bool) {
	checker.Reset()
	dm, err := Start(b.Context(), "harwick-pell", WithNodes(3))
	require.NoError(b, err)
	defer dm.Stop()
	base := dm.nodes[0].identity
	id := identifier.New("victim", "zone-b", "region-1", loopback, loopback, base.Store(), base.VMList())
	var sk sockets
	nd, err := runner.New(id, runner.WithNetwork(sk.network()))
	require.NoError(b, err)
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	ended := make(chan struct{})
	go func() { defer close(ended); _ = nd.Run(ctx) }()
	dm.mu.Lock()
	dm.nodes = append(dm.nodes, &entryNode{identity: id, node: nd, stop: stop})
	dm.mu.Unlock()
	require.NoError(b, dm.AwaitReady(b.Context(), ignoreProgress))

	// The completions go to the node that ends. The bookings go through another
	// node to the owner of the record.
	measureCtx, done := context.WithTimeout(b.Context(), warmUpDuration+measureDuration)
	defer done()
	var answerGap, bookGap, unlistedAfter atomic.Int64
	var answerFailures, bookFailures int
	var running sync.WaitGroup
	measureStart := time.Now().Add(warmUpDuration)
	key := "example-key-" + dm.settings.Callers()[0].Name()
	completionClient := caller.New([]string{"http://" + nd.CallerAddress()}, caller.WithKey(key), caller.WithZone("zone-b"))
	bookingClient := caller.New([]string{"http://" + dm.Addresses()[0]}, caller.WithKey(key), caller.WithZone("zone-a"))
	running.Go(func() {
		gap, count := longestGap(measureCtx, measureStart, func(ctx context.Context) error {
			_, err := completionClient.Complete(ctx, caller.Completion{Model: dm.settings.Models()[0].Name(), MaxTokens: 2})
			return err
		})
		answerGap.Store(int64(gap))
		answerFailures = count
	})
	running.Go(func() {
		gap, count := longestGap(measureCtx, measureStart, func(ctx context.Context) error {
			number := caller.NewKey()
			_, err := bookingClient.CallService(ctx, caller.ServiceCall{Service: "orders", Method: http.MethodPost, Path: "/book", Body: []byte(number), Key: number})
			return err
		})
		bookGap.Store(int64(gap))
		bookFailures = count
	})
	time.Sleep(warmUpDuration)
	before := time.Now()
	if planned {
		stop()
	} else {
		sk.closeAll()
	}
	running.Go(func() {
		for measureCtx.Err() == nil && unlistedAfter.Load() == 0 {
			if !dm.listsAddress(measureCtx, nd.CallerAddress()) {
				unlistedAfter.Store(int64(time.Since(before)))
			}
			time.Sleep(pollInterval)
		}
	})
	running.Wait()
	stop()
	nd.Abort()
	b.ReportMetric(time.Duration(answerGap.Load()).Seconds()*1000, "answer-gap-ms")
	b.ReportMetric(time.Duration(bookGap.Load()).Seconds()*1000, "booking-gap-ms")
	b.ReportMetric(time.Duration(unlistedAfter.Load()).Seconds()*1000, "unlisted-ms")
	b.ReportMetric(float64(answerFailures), "answers-failed")
	b.ReportMetric(float64(bookFailures), "bookings-failed")
	require.Zero(b, dm.services["orders"].Duplicates())
	require.Empty(b, checker.Violations())
}

// listsAddress reports whether the first node still lists the address for
// callers. It reads the list several times, because each answer is a random
// choice of addresses.
func (dm *Demo) listsAddress(ctx context.Context, address string) bool {
	for range 4 {
		rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+dm.Addresses()[0]+"/v1/addresses?zone=zone-b", http.NoBody)
		if err != nil {
			return true
		}
		rq.Header.Set("Authorization", "Bearer example-key-"+dm.settings.Callers()[0].Name())
		rs, err := http.DefaultClient.Do(rq)
		if err != nil {
			return true
		}
		body := make([]byte, 4096)
		count, _ := rs.Body.Read(body)
		_ = rs.Body.Close()
		if strings.Contains(string(body[:count]), address) {
			return true
		}
	}
	return false
}
