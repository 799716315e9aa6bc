package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is the host that clients name.
const host = "kiosk.example"

// connectTime is how long clients allow for a new connection and for a directory.
const connectTime = time.Second

// resolve asks up to three directories for the addresses near the zone and returns the
// nodes that the first answer names.
func (lb *lab) resolve(zone string) []*node {
	client := &http.Client{Timeout: connectTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, ix := range rand.Perm(len(lb.nodes))[:min(3, len(lb.nodes))] {
		rs, err := client.Get("http://" + lb.nodes[ix].directory + "/resolve?name=" + host + "&region=pnw-west&zone=" + zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(rs.Body).Decode(&answer)
		_ = rs.Body.Close()
		if err != nil {
			continue
		}
		var named []*node
		for _, nd := range lb.nodes {
			if slices.Contains(answer.Addrs, nd.front) {
				named = append(named, nd)
			}
		}
		if len(named) > 0 {
			return named
		}
	}
	return nil
}

// lookUp returns a node that the directory names and that is not excluded, or nil.
func (lb *lab) lookUp(excluded []string) *node {
	named := slices.DeleteFunc(lb.resolve(zones[rand.IntN(len(zones))]), func(nd *node) bool { return slices.Contains(excluded, nd.front) })
	if len(named) == 0 {
		return nil
	}
	return named[rand.IntN(len(named))]
}

// try is one attempt of a client to begin or to take up a stream.
type try struct {
	id      string
	node    *node
	sent    time.Time
	inTouch bool
	// takesUp says that the client had events already.
	takesUp bool
	status  int
	// events is the number of events that it brought.
	events int
}

// stream is a stream as its client sees it, over all its tries.
type stream struct {
	tries []try
	// origin is the id of the try that brought the first event.
	origin   string
	last     int
	versions []string
	complete bool
	// fault says how the events were out of order.
	fault string
}

// streamPlan says which streams clients ask for.
type streamPlan struct {
	path, model string
	deadline    time.Duration
	// events is the number of events of a stream.
	events int
	// retries is how often a client tries again.
	retries int
	// pause is the time before another try if the node named none.
	pause time.Duration
}

// identifier returns a new Attempt-Id.
func identifier() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// runStream begins a stream and takes it up after it broke off.
func (lb *lab) runStream(sp streamPlan) *stream {
	st := &stream{}
	deadline := time.Now().Add(sp.deadline)
	var excluded []string
	for count := 0; count <= sp.retries && time.Until(deadline) > 0 && !st.complete && st.fault == ""; count++ {
		if count > 0 {
			time.Sleep(min(sp.pause, time.Until(deadline)/3))
		}
		nd := lb.lookUp(excluded)
		if nd == nil {
			excluded = nil
			continue
		}
		after, reached := lb.tryStream(st, sp, nd, deadline)
		if !reached {
			excluded = append(excluded, nd.front)
		}
		if wait := min(after, time.Until(deadline)/3); wait > 0 {
			time.Sleep(wait)
		}
	}
	return st
}

// tryStream makes one try. It returns the time after which the node told the client to
// come back, and whether the node answered.
func (lb *lab) tryStream(st *stream, sp streamPlan, nd *node, deadline time.Time) (after time.Duration, reached bool) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+nd.front+sp.path, bytes.NewReader([]byte(`{"q":"letter"}`)))
	if err != nil {
		return 0, false
	}
	ty := try{id: identifier(), node: nd, sent: time.Now(), takesUp: st.last > 0}
	ty.inTouch = nd.inTouch(ty.sent)
	rq.Host = host
	rq.Header.Set("Attempt-Id", ty.id)
	rq.Header.Set("Model", sp.model)
	rq.Header.Set("Token-Count", "715,280")
	rq.Header.Set("Prompt-Prefix", "5c1e07a2:500,"+ty.id[:8]+":300")
	rq.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if st.last > 0 {
		rq.Header.Set("Last-Event-Id", strconv.Itoa(st.last))
		rq.Header.Set("Resumes", st.origin)
	}
	defer func() {
		st.tries = append(st.tries, ty)
		lb.note("client: %s at %s takes-up=%v after=%s in-touch=%v status %d, %d events, last %d", ty.id, nd.name, ty.takesUp, rq.Header.Get("Last-Event-Id"), ty.inTouch, ty.status, ty.events, st.last)
	}()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	rs, err := client.Do(rq)
	if err != nil {
		return 0, false
	}
	defer func() { _ = rs.Body.Close() }()
	ty.status = rs.StatusCode
	if rs.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, rs.Body)
		seconds, _ := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second)), true
	}
	st.read(rs.Body, &ty, sp.events)
	return 0, true
}

// read takes the events of an answer.
func (st *stream) read(body io.Reader, ty *try, events int) {
	number := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(text)
		}
		_, version, ok := strings.Cut(line, " of ")
		if !ok || !strings.HasPrefix(line, "data: ") {
			continue
		}
		if number != st.last+1 {
			st.fault = fmt.Sprintf("event %d after %d", number, st.last)
			return
		}
		if st.last == 0 {
			st.origin = ty.id
		}
		st.last = number
		ty.events++
		if !slices.Contains(st.versions, version) {
			st.versions = append(st.versions, version)
		}
	}
	st.complete = st.last == events
}

// streams are the streams of a case.
type streams struct {
	mu  sync.Mutex
	all []*stream
}

// send begins streams at the rate until done, and waits for their ends.
func (lb *lab) send(sp streamPlan, perSecond int, length time.Duration) []*stream {
	var ss streams
	var open sync.WaitGroup
	tk := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tk.Stop()
	for until := time.Now().Add(length); time.Now().Before(until); <-tk.C {
		open.Go(func() {
			st := lb.runStream(sp)
			ss.mu.Lock()
			defer ss.mu.Unlock()
			ss.all = append(ss.all, st)
		})
	}
	open.Wait()
	return ss.all
}
