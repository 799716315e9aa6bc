package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	status int
	body   string
	// err is set if the connection ended before the answer was complete.
	err  error
	took time.Duration
}

// served reports whether the answer is a complete success.
func (an answer) served() bool { return an.err == nil && an.status == http.StatusOK }

func (an answer) String() string {
	if an.err != nil && an.status != 0 {
		return fmt.Sprintf("%d, broken off after %d bytes: %v", an.status, len(an.body), an.err)
	}
	if an.err != nil {
		return an.err.Error()
	}
	text := an.body
	if an.status != http.StatusOK {
		text = strings.TrimSpace(text)
		return fmt.Sprintf("%d %s", an.status, text[:min(len(text), 200)])
	}
	return fmt.Sprintf("%d, %d bytes", an.status, len(an.body))
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// send sends one request to a node and waits for its end.
func (lb *lab) send(cl *http.Client, nd *node, method, path, id string, body []byte, limit time.Duration, hd map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit+time.Second)
	defer cancel()
	began := time.Now()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+nd.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	rq.Host = "h.example"
	rq.Header.Set("Attempt-Id", id)
	rq.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for name, value := range hd {
		rq.Header.Set(name, value)
	}
	lb.note("%s is sent to %s: %s %s, a body of %d bytes", id, nd.name, method, path, len(body))
	an := answer{}
	rs, err := cl.Do(rq)
	if err != nil {
		an.err = err
	} else {
		defer func() { _ = rs.Body.Close() }()
		text, err := io.ReadAll(rs.Body)
		an = answer{status: rs.StatusCode, body: string(text), err: err}
	}
	an.took = time.Since(began)
	lb.note("%s is answered after %d ms: %v", id, an.took.Milliseconds(), an)
	return an
}

// every calls a function in its own goroutine at each interval.
func every(until time.Time, interval time.Duration, open *sync.WaitGroup, fn func(number int)) {
	for number := 0; time.Now().Before(until); number++ {
		open.Go(func() { fn(number) })
		time.Sleep(interval)
	}
}

// resolve asks the node's directory for addresses, and returns for how long they hold.
func (nd *node) resolve() (addresses []string, lifetime time.Duration, err error) {
	cl := http.Client{Timeout: time.Second}
	rs, err := cl.Get("http://" + nd.directory + "/resolve?name=h.example&region=r1&zone=z1")
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = rs.Body.Close() }()
	var answer struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	err = json.NewDecoder(rs.Body).Decode(&answer)
	return answer.Addrs, time.Duration(answer.TTL * float64(time.Second)), err
}
