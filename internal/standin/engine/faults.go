package engine

import (
	"net/http"
	"strings"
)

// FaultKind is a way in which one request goes wrong.
type FaultKind uint8

// The kinds of faults.
const (
	// FaultNone lets the request through.
	FaultNone FaultKind = iota
	// FaultAbort loses the connection after a number of tokens.
	FaultAbort
	// FaultEnd ends the answer cleanly after a number of tokens.
	FaultEnd
	// FaultSilence sends nothing more after a number of tokens.
	FaultSilence
	// FaultSkip leaves out the token of that number.
	FaultSkip
	// FaultRepeat sends the token of that number twice.
	FaultRepeat
	// FaultForeign answers with the id of another request from that token on.
	FaultForeign
	// FaultLate sends a token after the end of the stream.
	FaultLate
	// FaultRefuse answers with status 503.
	FaultRefuse
	// FaultUnfinished ends the stream without a finish reason.
	FaultUnfinished
	// FaultShort leaves the last token out of an answer that is no stream and
	// says that it is whole.
	FaultShort
	// FaultRunAndRefuse runs the request and then answers with status 503.
	FaultRunAndRefuse
)

// Fault is what goes wrong with one request.
type Fault struct {
	// Kind is the way in which it goes wrong.
	Kind FaultKind
	// At is the number of the token from which on it does.
	At int
}

// faults is the list of faults to come.
type faults struct {
	planned     []Fault
	crashMarker string
	crashes     int
	cancelled   int
}

// Inject plans faults: each request takes the first one that is left.
func (eg *Engine) Inject(fts ...Fault) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.planned = append(eg.planned, fts...)
}

// CrashOn makes every request whose prompt contains the marker lose its
// connection.
func (eg *Engine) CrashOn(marker string) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.crashMarker = marker
}

// Crashes returns how often the marker was met.
func (eg *Engine) Crashes() int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.crashes
}

// Cancelled returns how many requests were given up by their sender.
func (eg *Engine) Cancelled() int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.cancelled
}

func (eg *Engine) nextFault() Fault {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	if len(eg.planned) == 0 {
		return Fault{}
	}
	next := eg.planned[0]
	eg.planned = eg.planned[1:]
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

// apply causes what happens before token ix, and reports whether the answer
// goes on.
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

// ClearInjected forgets the faults that no request has taken yet.
func (eg *Engine) ClearInjected() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.planned = nil
}
