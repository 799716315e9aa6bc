// Package estimator predicts the time to the first token of a request. An
// engine processes the prompts of its requests one after the other (prefill),
// between the tokens of the running requests. A request's first token therefore
// comes after the backlog of earlier prompts and its own prompt. Parts of a
// prompt that the engine still has cached take no time.
//
// # Usage
//
//	es := estimator.New()
//	prefill := es.PrefillTime("route-summary", tokens)
//	first := es.FirstToken("route-summary", tokens, backlog)
//	es.Observe("route-summary", tokens, backlog, observed)
//
// An Estimator reads no clock and is not safe for concurrent use.
package estimator

import (
	"math"
	"time"
)

const (
	// defaultTokensPerMs is the published prefill speed, which applies to a
	// model until its own speed has been observed.
	defaultTokensPerMs = 38.4
	// baseTime is the published time to the first token without the prefill.
	baseTime = 40 * time.Millisecond
	// observationWeight is the weight of a new observation. More for the first ones
	// would take prompts that other nodes have brought into the caches for fast models,
	// and overcommit servers.
	observationWeight = 0.05
	// maxLogRatio bounds the effect of one observation, as the logarithm of its
	// ratio to the prediction: some prompts wait for causes that can't be
	// observed.
	maxLogRatio = 0.5
	// upWeight and downWeight are the weights of an observation of the speed without
	// waiting. Waiting that the node does not know of only ever adds time, so that
	// short times tell more than long ones.
	upWeight   = 0.01
	downWeight = 0.1
	// maxUnqueuedBacklog is the backlog up to which a prompt counts as not waiting.
	maxUnqueuedBacklog = 5 * time.Millisecond
	// minPrediction is the predicted time from which an observation is used;
	// below it, other variations outweigh the prefill.
	minPrediction = 15 * time.Millisecond
	// maxFactor bounds the ratio between a model's speed and the published one,
	// in both directions.
	maxFactor = 8.0
)

// Estimator keeps the prefill speed of each model.
type Estimator struct {
	// perToken holds the observed prefill time for one token by model, in
	// nanoseconds.
	perToken map[string]float64
	// workPerToken is perToken without time spent waiting.
	workPerToken map[string]float64
	// observed counts the observations of workPerToken by model.
	observed map[string]int
}

// New returns an Estimator that uses the published speed for every model.
func New() *Estimator {
	return &Estimator{perToken: map[string]float64{}, workPerToken: map[string]float64{}, observed: map[string]int{}}
}

// PrefillTime returns the prefill time for that many uncached prompt tokens.
func (es *Estimator) PrefillTime(model string, tokens int) time.Duration {
	return time.Duration(float64(tokens) * es.tokenTime(model))
}

// WorkTime returns the time that an engine spends on that many uncached prompt tokens.
// Other than PrefillTime it contains no time spent waiting, so that the demand that is
// computed from it does not grow with the load of the engines.
func (es *Estimator) WorkTime(model string, tokens int) time.Duration {
	if perToken, ok := es.workPerToken[model]; ok {
		return time.Duration(float64(tokens) * perToken)
	}
	return time.Duration(float64(tokens) * defaultTokenTime())
}

// FirstToken returns the time to the first token of a request with that many
// uncached prompt tokens, on a server with the backlog of earlier prompts.
func (es *Estimator) FirstToken(model string, tokens int, backlog time.Duration) time.Duration {
	return baseTime + backlog + es.PrefillTime(model, tokens)
}

// Observe adjusts the model's speed to the observed time to the first token of
// a request. It also uses observations under load, so that predicted backlogs
// stay close to the observed ones.
func (es *Estimator) Observe(model string, tokens int, backlog, observed time.Duration) {
	predicted := backlog + es.PrefillTime(model, tokens)
	if predicted < minPrediction {
		return
	}
	observedPrefill := max(observed-baseTime, time.Millisecond)
	if backlog <= maxUnqueuedBacklog {
		es.observeWork(model, tokens, observedPrefill)
	}
	logRatio := math.Log(float64(observedPrefill) / float64(predicted))
	adjusted := es.tokenTime(model) * math.Exp(observationWeight*min(max(logRatio, -maxLogRatio), maxLogRatio))
	es.perToken[model] = min(max(adjusted, defaultTokenTime()/maxFactor), defaultTokenTime()*maxFactor)
}

// observeWork adjusts the model's speed without waiting to the observed prefill time of
// a prompt.
func (es *Estimator) observeWork(model string, tokens int, observed time.Duration) {
	work := es.WorkTime(model, tokens)
	if work < minPrediction {
		return
	}
	logRatio := min(max(math.Log(float64(observed)/float64(work)), -math.Log(maxFactor)), maxLogRatio)
	es.observed[model]++
	weight := upWeight
	if logRatio < 0 {
		weight = max(downWeight, 1/float64(es.observed[model]+1))
	}
	adjusted := float64(work) / float64(tokens) * math.Exp(weight*logRatio)
	es.workPerToken[model] = min(max(adjusted, defaultTokenTime()/maxFactor), defaultTokenTime()*maxFactor)
}

// tokenTime returns the prefill time for one token in nanoseconds.
func (es *Estimator) tokenTime(model string) float64 {
	if observed, ok := es.perToken[model]; ok {
		return observed
	}
	return defaultTokenTime()
}

func defaultTokenTime() float64 { return float64(time.Millisecond) / defaultTokensPerMs }
