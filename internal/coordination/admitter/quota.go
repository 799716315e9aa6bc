package admitter

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// quotaRetryAfter is the wait that a caller over its quota is told if the
// limiter gives none.
const quotaRetryAfter = time.Second

// Quota limits the request rate of callers.
type Quota interface {
	// Take consumes one request of the caller's quota. If the quota is used up,
	// it returns false and the time after which to retry.
	Take(caller string, now time.Time) (ok bool, retryAfter time.Duration)
}

// LocalQuota gives this node an equal share of each caller's quota.
type LocalQuota struct {
	liveNodes func() int
	// divisor is the number of nodes that the limiters are set for.
	divisor int
	// callers holds the quotas by caller name.
	callers map[string]*callerQuota
}

// callerQuota is the quota of one caller over all nodes.
type callerQuota struct {
	perSecond float64
	burst     int
	// limiter limits this node's share; nil before the first request.
	limiter *rate.Limiter
}

// NewLocalQuota returns a LocalQuota that limits no caller before
// ApplySettings. liveNodes returns the number of live nodes.
func NewLocalQuota(liveNodes func() int) *LocalQuota {
	return &LocalQuota{liveNodes: liveNodes, callers: map[string]*callerQuota{}}
}

// ApplySettings applies the quotas of the settings. The usage of a caller whose
// quota did not change is kept.
func (lq *LocalQuota) ApplySettings(st *configurer.Settings) {
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
	if !found || cq.perSecond <= 0 {
		return true, 0
	}
	lq.updateLimiters(now)
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

// updateLimiters adapts the limiters if the number of live nodes has changed.
func (lq *LocalQuota) updateLimiters(now time.Time) {
	if liveNodes := max(lq.liveNodes(), 1); liveNodes != lq.divisor {
		lq.divisor = liveNodes
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
	nodes := float64(max(lq.divisor, 1))
	return rate.Limit(cq.perSecond / nodes), int(math.Ceil(float64(cq.burst) / nodes))
}
