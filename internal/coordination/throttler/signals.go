package throttler

import "time"

// Signals is what a backend server says about itself in an answer. The zero
// value is a server that takes whatever it gets.
type Signals struct {
	// Leaving says that the server takes no new requests.
	Leaving bool
	// Pause is for how long the server wants nothing from this node; 0 if it does
	// not pause.
	Pause time.Duration
	// Limit is the number of requests a second that the server takes from all
	// nodes together; 0 if it names none.
	Limit float64
	// Brittle is the number of requests a second that the server can turn away for want
	// of room without falling over; 0 if it names none.
	Brittle float64
}
