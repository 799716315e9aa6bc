package admitter

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// quotaRetryAfter is what a caller over its quota is told to wait if no better
// time is known.
const quotaRetryAfter = time.Second

// Quota limits the requests of callers.
type Quota interface {
	// Take takes one request of the caller's quota, or says when to come back.
	Take(caller string, now time.Time) (ok bool, retryAfter time.Duration)
}

// LocalQuota divides each caller's quota evenly among the live nodes.
type LocalQuota struct {
	nodes   func() int
	divided int
	callers map[string]*callerQuota
}

type callerQuota struct {
	perSecond float64
	burst     int
	limiter   *rate.Limiter
}

// NewLocalQuota returns a quota without callers, which limits nobody.
func NewLocalQuota(nodes func() int) *LocalQuota {
	return &LocalQuota{nodes: nodes, callers: map[string]*callerQuota{}}
}

// Revise takes over the quotas of the settings. A caller whose quota did not
// change keeps what it used.
func (lq *LocalQuota) Revise(st *configurer.Settings) {
	next := map[string]*callerQuota{}
	for _, cr := range st.Callers() {
		was, ok := lq.callers[cr.Name()]
		if ok && was.perSecond == cr.Quota() && was.burst == cr.Burst() {
			next[cr.Name()] = was
			continue
		}
		next[cr.Name()] = &callerQuota{perSecond: cr.Quota(), burst: cr.Burst()}
	}
	lq.callers = next
}

// Take implements Quota.
func (lq *LocalQuota) Take(caller string, now time.Time) (ok bool, retryAfter time.Duration) {
	cq, found := lq.callers[caller]
	if !found {
		return true, 0
	}
	lq.divide(now)
	if cq.limiter == nil {
		cq.limiter = rate.NewLimiter(lq.share(cq))
	}
	if cq.limiter.AllowN(now, 1) {
		return true, 0
	}
	rv := cq.limiter.ReserveN(now, 1)
	if !rv.OK() {
		return false, quotaRetryAfter
	}
	after := rv.DelayFrom(now)
	rv.CancelAt(now)
	return false, after
}

// divide sets the limiters anew when the number of nodes changed.
func (lq *LocalQuota) divide(now time.Time) {
	if nodes := max(lq.nodes(), 1); nodes != lq.divided {
		lq.divided = nodes
		for _, cq := range lq.callers {
			if cq.limiter == nil {
				continue
			}
			limit, burst := lq.share(cq)
			cq.limiter.SetLimitAt(now, limit)
			cq.limiter.SetBurstAt(now, burst)
		}
	}
}

func (lq *LocalQuota) share(cq *callerQuota) (limit rate.Limit, burst int) {
	nodes := float64(max(lq.divided, 1))
	return rate.Limit(cq.perSecond / nodes), int(math.Ceil(float64(cq.burst) / nodes))
}
