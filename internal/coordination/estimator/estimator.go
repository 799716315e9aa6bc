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

import (
	"math"
	"time"
)

const (
	// startTokensPerMs is the published speed of reading, which counts until
	// a model's own is learnt.
	startTokensPerMs = 38.4
	// baseTime is the published time to a first token besides the reading.
	baseTime = 40 * time.Millisecond
	// learnWeight is the weight of a new observation.
	learnWeight = 0.05
	// maxSurprise bounds what one observation counts for, as the logarithm of
	// its ratio to the prediction: some prompts wait for what does not show.
	maxSurprise = 0.5
	// leastReading is the predicted time of reading from which it outweighs
	// what else varies.
	leastReading = 15 * time.Millisecond
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

// Learn takes in the time to the first token of a request. Observations under
// load count as well, so that what the backlog says stays near what happens.
func (es *Estimator) Learn(model string, tokens int, backlog, observed time.Duration) {
	predicted := backlog + es.Reading(model, tokens)
	if predicted < leastReading {
		return
	}
	seen := max(observed-baseTime, time.Millisecond)
	surprise := math.Log(float64(seen) / float64(predicted))
	known := es.tokenTime(model) * math.Exp(learnWeight*min(max(surprise, -maxSurprise), maxSurprise))
	es.perToken[model] = min(max(known, startTime()/maxFactor), startTime()*maxFactor)
}

// tokenTime is the time for one token, in units of time.Duration.
func (es *Estimator) tokenTime(model string) float64 {
	if learnt, ok := es.perToken[model]; ok {
		return learnt
	}
	return startTime()
}

func startTime() float64 { return float64(time.Millisecond) / startTokensPerMs }
