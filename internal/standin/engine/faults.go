package engine

import (
	"net/http"
	"strings"
)

// FaultKind is a kind of failure of one request.
type FaultKind uint8

// The kinds of faults.
const (
	// FaultNone answers the request without a fault.
	FaultNone FaultKind = iota
	// FaultAbort aborts the connection after a number of tokens.
	FaultAbort
	// FaultEnd ends the answer early, without an error or finish reason, after a
	// number of tokens.
	FaultEnd
	// FaultSilence stalls after a number of tokens: the connection stays open.
	FaultSilence
	// FaultSkip omits one token of a stream.
	FaultSkip
	// FaultRepeat sends one token of a stream twice.
	FaultRepeat
	// FaultForeign uses the id of another request from a token on.
	FaultForeign
	// FaultLate sends a token after the end marker of the stream.
	FaultLate
	// FaultRefuse answers with status 503 without running the request.
	FaultRefuse
	// FaultUnfinished ends the stream without a finish reason.
	FaultUnfinished
	// FaultShort omits the last token of an answer that is not a stream, but
	// keeps its finish reason and token count.
	FaultShort
	// FaultRunAndRefuse runs the request and then answers with status 503.
	FaultRunAndRefuse
)

// Fault is the failure of one request.
type Fault struct {
	// Kind is the kind of failure.
	Kind FaultKind
	// At is the index of the token, from zero, at which the failure starts.
	At int
}

// faults holds the pending faults and counts their effects.
type faults struct {
	requestFaults []Fault // one for each of the next requests
	crashMarker   string  // requests whose body contains it are aborted; "" for none
	crashes       int     // requests that contained crashMarker
	cancelled     int     // requests cancelled by their sender
}

// InjectRequestFaults queues faults for the next requests, one each.
func (eg *Engine) InjectRequestFaults(fts ...Fault) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.requestFaults = append(eg.requestFaults, fts...)
}

// CrashOn aborts the connection of every request whose body contains the marker,
// as a crash of the engine does.
func (eg *Engine) CrashOn(marker string) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.crashMarker = marker
}

// Crashes returns how many requests contained the marker of CrashOn.
func (eg *Engine) Crashes() int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.crashes
}

// Cancelled returns how many requests their sender cancelled during a pause for
// the prefill or a token.
func (eg *Engine) Cancelled() int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.cancelled
}

func (eg *Engine) nextFault() Fault {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if len(eg.requestFaults) == 0 {
		return Fault{}
	}
	next := eg.requestFaults[0]
	eg.requestFaults = eg.requestFaults[1:]
	return next
}

func (eg *Engine) crashIfMarked(body string) {
	eg.mu.Lock()
	marked := eg.crashMarker != "" && strings.Contains(body, eg.crashMarker)
	if marked {
		eg.crashes++
	}
	eg.mu.Unlock()
	if marked {
		panic(http.ErrAbortHandler)
	}
}

func (eg *Engine) countCancelled() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.cancelled++
}

// apply causes the failure, if any, before token ix and reports whether the
// answer continues.
func (ft Fault) apply(rq *http.Request, ix int) bool {
	if ix < ft.At {
		return true
	}
	switch ft.Kind {
	case FaultAbort:
		panic(http.ErrAbortHandler)
	case FaultEnd:
		return false
	case FaultSilence:
		<-rq.Context().Done()
		return false
	default:
		return true
	}
}

// ClearRequestFaults removes the faults that no request has taken yet.
func (eg *Engine) ClearRequestFaults() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.requestFaults = nil
}
