// Package service is a stand-in for a plain service: it takes bookings and counts
// how often each one was run.
//
// # Usage
//
//	sv := service.New()
//	srv := httptest.NewServer(sv.Handler())
//	...
//	if sv.Runs(body) > 1 { t.Error("booking was run twice") }
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is one stand-in service. Several servers may use its Handler, as
// instances that share their bookings.
type Service struct {
	mu          sync.Mutex
	runs        map[string]int    // body of a booking to its number of runs
	results     map[string][]byte // idempotency key to the answer of the last run
	honoursKey  bool              // runs each idempotency key once
	loseAnswers int               // next calls that run and abort the connection
	latency     time.Duration     // duration of a call
	twice       bool              // runs each booking twice
	foreign     bool              // answers with the text of another booking
}

// Option configures a Service in New.
type Option func(*Service)

// WithIdempotency makes the service run each idempotency key once and answer
// repetitions with the first result.
func WithIdempotency() Option { return func(sv *Service) { sv.honoursKey = true } }

// WithLatency sets the duration of a booking call.
func WithLatency(dn time.Duration) Option { return func(sv *Service) { sv.latency = dn } }

// New returns a service without bookings.
func New(opts ...Option) *Service {
	sv := &Service{runs: map[string]int{}, results: map[string][]byte{}}
	for _, opt := range opts {
		opt(sv)
	}
	return sv
}

// LoseAnswers makes the next count bookings take effect and abort their
// connection.
func (sv *Service) LoseAnswers(count int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.loseAnswers = count
}

// RunTwice makes the service run each booking twice, also with WithIdempotency.
func (sv *Service) RunTwice() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.twice = true
}

// AnswerForeign makes the service answer each booking with the text of another.
func (sv *Service) AnswerForeign() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.foreign = true
}

// Runs returns how often the booking with the body was run.
func (sv *Service) Runs(body string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.runs[body]
}

// Duplicates returns the number of bookings that were run more than once.
func (sv *Service) Duplicates() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	duplicates := 0
	for _, count := range sv.runs {
		if count > 1 {
			duplicates++
		}
	}
	return duplicates
}

// Handler serves POST /book, which runs a booking with the body of the request,
// and GET /status.
func (sv *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /book", sv.serveBook)
	mux.HandleFunc("GET /status", func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wr, `{"status":"open"}`)
	})
	return mux
}

func (sv *Service) serveBook(wr http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(sv.latency)
	result, lost := sv.book(rq.Header.Get("Idempotency-Key"), string(body))
	if lost {
		panic(http.ErrAbortHandler)
	}
	wr.Header().Set("Content-Type", "application/json")
	_, _ = wr.Write(result)
}

// book runs a booking and returns its answer; lost is set if the answer is to be
// lost.
func (sv *Service) book(key, body string) (result []byte, lost bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	result, known := sv.results[key]
	if !sv.honoursKey || key == "" || !known {
		sv.runs[body]++
		if sv.twice {
			sv.runs[body]++
		}
		if sv.foreign {
			body = "another booking"
		}
		result, _ = json.Marshal(map[string]any{"booked": body, "number": len(sv.runs)})
		sv.results[key] = result
	}
	if sv.loseAnswers > 0 {
		sv.loseAnswers--
		return nil, true
	}
	return result, false
}
