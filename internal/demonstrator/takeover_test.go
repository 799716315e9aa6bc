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
	pollPause   = 10 * time.Millisecond
	warmUp      = 3 * time.Second
	measureTime = 12 * time.Second
)

// sockets is the TCP of one node, which can be taken away at once.
type sockets struct {
	mu     sync.Mutex
	closed bool
	open   []interface{ Close() error }
}

func (sk *sockets) keep(open interface{ Close() error }) bool {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if sk.closed {
		_ = open.Close()
		return false
	}
	sk.open = append(sk.open, open)
	return true
}

func (sk *sockets) kill() {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	sk.closed = true
	for _, open := range sk.open {
		_ = open.Close()
	}
}

type listener struct {
	net.Listener
	sockets *sockets
}

func (ln listener) Accept() (net.Conn, error) {
	cn, err := ln.Listener.Accept()
	if err == nil && !ln.sockets.keep(cn) {
		return nil, net.ErrClosed
	}
	return cn, err
}

func (sk *sockets) network() runner.Network {
	return runner.Network{
		Listen: func(address string) (net.Listener, error) {
			ln, err := net.Listen("tcp", address)
			if err == nil {
				sk.keep(ln)
			}
			return listener{ln, sk}, err
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			cn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
			if err == nil && !sk.keep(cn) {
				return nil, net.ErrClosed
			}
			return cn, err
		},
	}
}

// gaps calls over and over and returns the longest time without success, of
// those that end after the time from, and the number of failures.
func gaps(ctx context.Context, from time.Time, call func(context.Context) error) (longest time.Duration, failures int) {
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
		time.Sleep(pollPause)
	}
	return max(longest, time.Since(last)), failures
}

// BenchmarkTakeover measures, on loopback, how long callers have no answer when
// one of four nodes is killed, and when it is stopped as planned.
func BenchmarkTakeover(b *testing.B) {
	log.SetLevel(log.ErrorLevel)
	for _, planned := range []bool{false, true} {
		b.Run(map[bool]string{false: "killed", true: "stopped"}[planned], func(b *testing.B) { takeOver(b, planned) })
	}
}

func takeOver(b *testing.B, planned bool) {
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

	// The completions go to the node that ends; the bookings go through another
	// one to whichever node keeps the record.
	work, done := context.WithTimeout(b.Context(), warmUp+measureTime)
	defer done()
	var answerGap, bookGap, deadAfter atomic.Int64
	var answerFails, bookFails int
	var running sync.WaitGroup
	from := time.Now().Add(warmUp)
	key := "example-key-" + dm.settings.Callers()[0].Name()
	users := caller.New([]string{"http://" + nd.CallerAddress()}, caller.WithKey(key), caller.WithZone("zone-b"))
	bookers := caller.New([]string{"http://" + dm.Addresses()[0]}, caller.WithKey(key), caller.WithZone("zone-a"))
	running.Go(func() {
		gap, count := gaps(work, from, func(ctx context.Context) error {
			_, err := users.Complete(ctx, caller.Completion{Model: dm.settings.Models()[0].Name(), MaxTokens: 2})
			return err
		})
		answerGap.Store(int64(gap))
		answerFails = count
	})
	running.Go(func() {
		gap, count := gaps(work, from, func(ctx context.Context) error {
			number := caller.NewKey()
			_, err := bookers.CallService(ctx, caller.ServiceCall{Service: "orders", Method: http.MethodPost, Path: "/book", Body: []byte(number), Key: number})
			return err
		})
		bookGap.Store(int64(gap))
		bookFails = count
	})
	time.Sleep(warmUp)
	before := time.Now()
	if planned {
		stop()
	} else {
		sk.kill()
	}
	running.Go(func() {
		for work.Err() == nil && deadAfter.Load() == 0 {
			if !dm.lists(work, nd.CallerAddress()) {
				deadAfter.Store(int64(time.Since(before)))
			}
			time.Sleep(pollPause)
		}
	})
	running.Wait()
	stop()
	nd.Abort()
	b.ReportMetric(time.Duration(answerGap.Load()).Seconds()*1000, "answer-gap-ms")
	b.ReportMetric(time.Duration(bookGap.Load()).Seconds()*1000, "booking-gap-ms")
	b.ReportMetric(time.Duration(deadAfter.Load()).Seconds()*1000, "unlisted-ms")
	b.ReportMetric(float64(answerFails), "answers-failed")
	b.ReportMetric(float64(bookFails), "bookings-failed")
	require.Zero(b, dm.services["orders"].Duplicates())
	require.Empty(b, checker.Violations())
}

// lists reports whether the first node still names the address to callers.
func (dm *Demo) lists(ctx context.Context, address string) bool {
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
