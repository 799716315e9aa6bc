// Package estimator predicts how long model engines take: an engine reads the
// prompts of its requests one after the other, between the tokens of those that
// run, so that a request's first token comes once the prompts before it and its
// own are read. Parts of a prompt that the engine still keeps are not read.
//
// # Usage
//
//	es := estimator.New()
//	reading := es.Reading("route-summary", tokens)
//	first := es.FirstToken("route-summary", tokens, backlog)
//	es.Learn("route-summary", tokens, backlog, observed)
//
// The package holds no clock and no lock.
package estimator

import "time"

const (
	// startTokensPerMs is the published speed of reading, which counts until
	// a model's own is learnt.
	startTokensPerMs = 38.4
	// baseTime is the published time to a first token besides the reading.
	baseTime = 40 * time.Millisecond
	// learnWeight is the weight of a new observation.
	learnWeight = 0.1
	// quietBacklog is the backlog up to which an observation tells about the
	// model rather than about the load.
	quietBacklog = 30 * time.Millisecond
	// leastTokens is the length of a prompt from which its reading outweighs
	// what else varies.
	leastTokens = 500
	// maxFactor bounds how far a learnt speed is from the published one.
	maxFactor = 8.0
)

// Estimator knows the speed of each model.
type Estimator struct {
	// perToken holds the learnt time for one token.
	perToken map[string]float64
}

// New returns an estimator that knows the published speed alone.
func New() *Estimator { return &Estimator{perToken: map[string]float64{}} }

// Reading returns the time in which an engine reads the tokens of a prompt.
func (es *Estimator) Reading(model string, tokens int) time.Duration {
	return time.Duration(float64(tokens) * es.tokenTime(model))
}

// FirstToken returns the time to the first token of a request that finds a
// backlog of prompts to be read.
func (es *Estimator) FirstToken(model string, tokens int, backlog time.Duration) time.Duration {
	return baseTime + backlog + es.Reading(model, tokens)
}

// Learn takes in the time to the first token of a request.
func (es *Estimator) Learn(model string, tokens int, backlog, observed time.Duration) {
	if tokens < leastTokens || backlog > quietBacklog {
		return
	}
	start := startTime()
	seen := float64(observed-baseTime) / float64(tokens)
	seen = min(max(seen, start/maxFactor), start*maxFactor)
	known, ok := es.perToken[model]
	if !ok {
		known = start
	}
	es.perToken[model] = known + learnWeight*(seen-known)
}

// tokenTime is the time for one token, in units of time.Duration.
func (es *Estimator) tokenTime(model string) float64 {
	if learnt, ok := es.perToken[model]; ok {
		return learnt
	}
	return startTime()
}

func startTime() float64 { return float64(time.Millisecond) / startTokensPerMs }
