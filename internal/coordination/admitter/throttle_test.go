package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/router"
	"github.com/lagoonpass/lagoonpass/internal/coordination/throttler"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// throttledSim is a prefillSim whose server w0 said something about itself.
func throttledSim(t *testing.T, servers int, sg throttler.Signals) *prefillSim {
	ps := newPrefillSim(t, func(random *rand.Rand) router.Policy { return router.NewQuickest(random) }, servers)
	ps.sc.Observe(ps.now, "w0", ps.now, sg)
	return ps
}

// offer submits a short prompt every 50 ms. It returns how many were sent to w0 and
// elsewhere; the others were refused.
func (ps *prefillSim) offer(count int) (limited, elsewhere int) {
	for id := range count {
		en, rf := ps.sc.Submit(ps.now, ps.ticket(id, 600))
		switch {
		case rf != nil:
			require.Positive(ps.t, rf.RetryAfter())
		case en.Granted():
			ps.startPrefill(en)
		default:
			ps.waiting = append(ps.waiting, en)
		}
		for range 5 {
			ps.step()
		}
	}
	for en := range ps.sentAt {
		if en.Target().Name == "w0" {
			limited++
		}
	}
	return limited, len(ps.sentAt) - limited
}

// Guards against a server that names a limit and gets what routing would give it.
func TestServerWithLimitGetsNoMoreThanThat(t *testing.T) {
	limited, elsewhere := throttledSim(t, 2, throttler.Signals{Limit: 2}).offer(200)
	require.LessOrEqual(t, limited, 2*10+1)
	require.Positive(t, limited, "the limit is used")
	require.Equal(t, 200-limited, elsewhere, "the other server takes the rest")
}

// Guards against requests that wait until their deadline for a server that takes
// few: those that cannot be served are refused at once and told when to return.
func TestExcessOverTheOnlyLimitIsRefusedAtOnce(t *testing.T) {
	ps := throttledSim(t, 1, throttler.Signals{Limit: 2})
	limited, _ := ps.offer(200)
	require.LessOrEqual(t, limited, 2*10+2)
	require.Greater(t, limited, 15, "what the server takes is used")
	require.Greater(t, 200-limited-ps.sc.Waiting(), 150, "the rest is refused")
}

// Guards against requests that are queued for servers that all pause for longer
// than callers wait.
func TestRequestsAreRefusedAtOnceWhileAllServersPause(t *testing.T) {
	ps := throttledSim(t, 1, throttler.Signals{Pause: 8 * time.Second})
	en, rf := ps.sc.Submit(ps.now, ps.ticket(1, 600))
	require.Nil(t, en)
	require.Equal(t, refuser.DeadlineUnreachable, rf.Reason())
	require.GreaterOrEqual(t, rf.RetryAfter(), 8*time.Second, "the caller returns when the server takes requests again")
	require.LessOrEqual(t, rf.RetryAfter(), 10*time.Second)

	ps.now = ps.now.Add(9 * time.Second)
	en, rf = ps.sc.Submit(ps.now, ps.ticket(2, 600))
	require.Nil(t, rf)
	require.True(t, en.Granted())
}
