package router

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a new answer.
	slownessWeight = 0.2
	// slownessLifetime is how long a node's slowness counts after an answer.
	slownessLifetime = 20 * time.Second
	// minSlowdown is the factor from which a server counts as slower than its
	// peers; smaller differences come from the requests that it runs.
	minSlowdown = 1.4
	// maxSlowdown bounds the factor: a slow server still gets some requests, by
	// which its recovery is noticed.
	maxSlowdown = 6.0
	// minExpected is the expected prefill time from which an answer is used.
	minExpected = 15 * time.Millisecond
	// maxLogRatio bounds the effect of one answer.
	maxLogRatio = 1.5
)

// slowness learns the ratio of a server's times to the first token to the
// expected ones. Since these are shared by all servers of a model, a ratio is
// compared with that of all servers.
type slowness struct {
	logRatio float64
	at       time.Time
}

func (sl *slowness) add(now time.Time, logRatio float64) {
	if sl.at.IsZero() {
		sl.logRatio = 0
	}
	sl.logRatio += (logRatio - sl.logRatio) * slownessWeight
	sl.at = now
}

// recent returns the ratio, or zero if there was no answer lately.
func (sl *slowness) recent(now time.Time) float64 {
	if sl.at.IsZero() || now.Sub(sl.at) > slownessLifetime {
		return 0
	}
	return math.Exp(sl.logRatio)
}

// Peers holds the mean ratio of all servers that a node uses.
type Peers struct{ mean slowness }

// Observe records the time to the first token of an answer of the server.
func (pe *Peers) Observe(now time.Time, ld *Load, observed, expected time.Duration) {
	if expected < minExpected {
		return
	}
	logRatio := math.Log(float64(max(observed, time.Millisecond)) / float64(expected))
	logRatio = min(max(logRatio, -maxLogRatio), maxLogRatio)
	pe.mean.add(now, logRatio)
	ld.slowness.add(now, logRatio-pe.mean.logRatio)
}

// Slowdown returns the factor by which the server is slower than its peers, at
// least 1, as this node and the others learned it.
func (ld *Load) Slowdown() float64 {
	factor := 1.0
	switch own := math.Exp(ld.slowness.logRatio); {
	case ld.othersSlowness == 0:
		factor = own
	case ld.slowness.at.IsZero():
		factor = ld.othersSlowness
	default:
		factor = math.Sqrt(own * ld.othersSlowness)
	}
	if factor < minSlowdown {
		return 1
	}
	return min(factor, maxSlowdown)
}

// ForgetSlowness forgets how slow the server was, because another process has
// its name.
func (ld *Load) ForgetSlowness() { ld.slowness, ld.othersSlowness = slowness{}, 0 }
