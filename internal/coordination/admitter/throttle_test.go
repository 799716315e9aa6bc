package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/admitter"
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

// offer submits a short prompt every 50 ms and returns when each was granted w0,
// how many went elsewhere, and the refusals.
func (ps *prefillSim) offer(count int) (times []time.Duration, elsewhere int, refusals []*refuser.Refusal) {
	began := ps.now
	var all []*admitter.Entry
	granted := map[*admitter.Entry]bool{}
	for id := range count {
		en, rf := ps.sc.Submit(ps.now, ps.ticket(id, 600))
		if rf != nil {
			refusals = append(refusals, rf)
		} else {
			all = append(all, en)
			if en.Granted() {
				ps.startPrefill(en)
			} else {
				ps.waiting = append(ps.waiting, en)
			}
		}
		for range 5 {
			for _, en := range all {
				if en.Target() != nil && !granted[en] {
					granted[en] = true
					if en.Target().Name == "w0" {
						times = append(times, ps.now.Sub(began))
					} else {
						elsewhere++
					}
				}
			}
			ps.step()
		}
	}
	for _, en := range all {
		if rf := en.Refusal(); rf != nil {
			refusals = append(refusals, rf)
		}
	}
	return times, elsewhere, refusals
}

// Guards against a server that names a limit and gets what routing would give it.
func TestServerWithLimitGetsNoMoreThanThat(t *testing.T) {
	ps := throttledSim(t, 2, throttler.Signals{Limit: 2})
	times, elsewhere, refusals := ps.offer(200)
	require.Empty(t, refusals, "the other server takes them")
	require.LessOrEqual(t, len(times), 2*10+1)
	require.Positive(t, len(times), "the limit is used")
	require.Greater(t, elsewhere, 170)
}

// Guards against requests that wait until their deadline for a server that takes
// few: those that cannot be served are refused at once and told when to return.
func TestExcessOverTheOnlyLimitIsRefusedAtOnce(t *testing.T) {
	ps := throttledSim(t, 1, throttler.Signals{Limit: 2})
	times, _, refusals := ps.offer(200)
	require.LessOrEqual(t, len(times), 2*10+2)
	require.Greater(t, len(times), 15, "what the server takes is used")
	require.Greater(t, len(refusals), 150)
	for _, rf := range refusals {
		require.Positive(t, rf.RetryAfter())
	}
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
