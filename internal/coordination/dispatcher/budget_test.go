package dispatcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
	"github.com/lagoonpass/lagoonpass/internal/coordination/dispatcher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/retrier"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
	"github.com/lagoonpass/lagoonpass/internal/transport/forwarder"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// queue is an Admission that grants one server, repeats only once open is closed.
type queue struct {
	address string
	open    chan struct{}
}

func (qu *queue) Admit(ctx context.Context, _ *configurer.Settings, tk *admitter.Ticket) (*admitter.Grant, *refuser.Refusal) {
	if tk.Repeated {
		select {
		case <-qu.open:
		case <-ctx.Done():
			return nil, refuser.New(refuser.DeadlinePassed, "deadline passed in the queue")
		}
	}
	return admitter.NewGrant("s", qu.address, func(admitter.Result) {}), nil
}

// Repeats that waited for a place counted in the window in which they were decided, so
// that those of several windows arrived in one.
func TestRepeatsThatWaitedCountWhenTheyAreSent(t *testing.T) {
	const window, slack, batch = 300 * time.Millisecond, 10, 20
	var mu sync.Mutex
	var repeats []time.Time
	seen := map[string]bool{}
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := rq.Header.Get("X-Request-Id")
		if seen[id] {
			repeats = append(repeats, time.Now())
		}
		seen[id] = true
		wr.Header().Set("Id", id)
		wr.WriteHeader(http.StatusInternalServerError)
	}))
	defer sv.Close()
	cl := newClient(t, "")
	fw := forwarder.New()
	defer fw.Close()
	qu := &queue{address: sv.Listener.Addr().String(), open: make(chan struct{})}
	cl.ds = dispatcher.New(qu, fw, nil, dispatcher.WithSharedBudget(retrier.NewSharedBudget(retrier.Bound{Window: window, Slack: slack}, time.Now())))
	var open sync.WaitGroup
	for _, name := range []string{"a", "b", "c"} {
		for ix := range batch {
			open.Go(func() { _, _ = cl.proxy("safe", name+string(rune('a'+ix)), httptest.NewRecorder()) })
		}
		time.Sleep(4 * window / 3)
	}
	close(qu.open)
	open.Wait()
	require.NotEmpty(t, repeats)
	for _, from := range repeats {
		count := 0
		for _, at := range repeats {
			if !at.Before(from) && at.Before(from.Add(window)) {
				count++
			}
		}
		require.LessOrEqual(t, count, slack)
	}
}
