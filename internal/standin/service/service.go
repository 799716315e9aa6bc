// Package service is a stand-in for a plain service: an order book that counts
// how often each booking was run.
//
// # Usage
//
//	sv := service.New()
//	srv := httptest.NewServer(sv.Handler())
//	...
//	if sv.Runs(key) > 1 { t.Error("booking was doubled") }
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is one stand-in service. It may have several instances that share
// its book.
type Service struct {
	mu         sync.Mutex
	runs       map[string]int
	results    map[string][]byte
	honoursKey bool
	loseAnswer int
	latency    time.Duration
	twice      bool
	foreign    bool
}

// Option changes a Service that is being made.
type Option func(*Service)

// WithHonoursKey makes the service run an idempotency key once by itself.
func WithHonoursKey() Option { return func(sv *Service) { sv.honoursKey = true } }

// WithLatency sets the time that a call takes.
func WithLatency(dn time.Duration) Option { return func(sv *Service) { sv.latency = dn } }

// New returns a service with an empty book.
func New(opts ...Option) *Service {
	sv := &Service{runs: map[string]int{}, results: map[string][]byte{}}
	for _, opt := range opts {
		opt(sv)
	}
	return sv
}

// LoseAnswers makes the next count calls run and lose their connection.
func (sv *Service) LoseAnswers(count int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.loseAnswer = count
}

// RunTwice makes the service break its own promise: it runs each booking twice.
func (sv *Service) RunTwice() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.twice = true
}

// AnswerForeign makes the service answer each booking with another one's text.
func (sv *Service) AnswerForeign() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.foreign = true
}

// Runs returns how often the booking with that body was run.
func (sv *Service) Runs(body string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.runs[body]
}

// Doubles returns the number of bookings that were run more than once.
func (sv *Service) Doubles() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	doubles := 0
	for _, count := range sv.runs {
		if count > 1 {
			doubles++
		}
	}
	return doubles
}

// Handler serves POST /book, which books the body, and GET /status.
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
	if sv.loseAnswer > 0 {
		sv.loseAnswer--
		return nil, true
	}
	return result, false
}
