// Package logwriter writes log lines without blocking the goroutines that log.
//
// One goroutine writes the queued lines. Lines are dropped above 300 a second,
// and while the queue is full because the output blocks. A line in the log
// gives the number of dropped lines.
//
// # Usage
//
//	lw := logwriter.New(os.Stdout)
//	log.SetHandler(json.New(lw))
//	defer lw.Close()
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the length of the queue.
	queueLines = 1024
	// linesPerSecond limits the lines that are queued within one second.
	linesPerSecond = 300
	// closeTimeout is how long Close waits for the queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer; each call of Write must pass one whole line. It is
// safe for concurrent use.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	done    chan struct{} // closed when all queued lines are written
	omitted atomic.Int64  // lines dropped since the last line that reports them
	now     func() time.Time

	mu     sync.Mutex
	closed bool
	second int64 // Unix time of the last line, in seconds
	lines  int   // lines in that second
}

// Option configures a Writer in New.
type Option func(*Writer)

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(wr *Writer) { wr.now = now } }

// New returns a writer to out and starts its goroutine, which Close stops.
func New(out io.Writer, opts ...Option) *Writer {
	wr := &Writer{out: out, queue: make(chan []byte, queueLines), done: make(chan struct{}), now: time.Now}
	for _, opt := range opts {
		opt(wr)
	}
	go wr.run()
	return wr
}

// Write queues a copy of the line, or drops it. It never fails and never blocks
// on the output.
func (wr *Writer) Write(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.closed || !wr.withinLimit() {
		wr.omitted.Add(1)
		return len(line), nil
	}
	select {
	case wr.queue <- append([]byte(nil), line...):
	default:
		wr.omitted.Add(1)
	}
	return len(line), nil
}

// withinLimit counts a line and reports whether it is within linesPerSecond.
func (wr *Writer) withinLimit() bool {
	second := wr.now().Unix()
	if second != wr.second {
		wr.second, wr.lines = second, 0
	}
	wr.lines++
	return wr.lines <= linesPerSecond
}

// Omitted returns the number of lines dropped since the last line that reports
// them.
func (wr *Writer) Omitted() int64 { return wr.omitted.Load() }

// Close waits until the queued lines are written, for 200 ms at most. Lines
// written later are dropped.
func (wr *Writer) Close() {
	wr.mu.Lock()
	if !wr.closed {
		wr.closed = true
		close(wr.queue)
	}
	wr.mu.Unlock()
	select {
	case <-wr.done:
	case <-time.After(closeTimeout):
	}
}

// run writes the queued lines until the queue is closed and empty.
func (wr *Writer) run() {
	defer close(wr.done)
	for line := range wr.queue {
		if count := wr.omitted.Swap(0); count > 0 {
			line = append(line, fmt.Sprintf("{\"level\":\"warn\",\"message\":\"log lines left out\",\"fields\":{\"count\":%d}}\n", count)...)
		}
		if _, err := wr.out.Write(line); err != nil {
			// The output failed, so that the error can't be logged either.
			wr.omitted.Add(1)
		}
	}
}
