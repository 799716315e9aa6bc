// Package logwriter writes log lines without ever holding up whoever logs.
//
// Lines are queued and written by one goroutine. Beyond a number of lines a
// second, and while the reader does not take what was written, lines are left
// out; a line says how many.
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
	// queueLines is how many lines wait for the reader.
	queueLines = 1024
	// linesPerSecond bounds the lines of one second.
	linesPerSecond = 300
	// closeTimeout is how long Close waits for the reader.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer of whole lines.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	done    chan struct{}
	omitted atomic.Int64
	now     func() time.Time

	mu     sync.Mutex
	closed bool
	second int64
	count  int
}

// Option changes a Writer that is being made.
type Option func(*Writer)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(wr *Writer) { wr.now = now } }

// New returns a writer to out and starts its goroutine.
func New(out io.Writer, opts ...Option) *Writer {
	wr := &Writer{out: out, queue: make(chan []byte, queueLines), done: make(chan struct{}), now: time.Now}
	for _, opt := range opts {
		opt(wr)
	}
	go wr.run()
	return wr
}

// Write queues a line. It never fails and never waits.
func (wr *Writer) Write(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.closed || !wr.allow() {
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

// allow reports whether the second still has a line left.
func (wr *Writer) allow() bool {
	second := wr.now().Unix()
	if second != wr.second {
		wr.second, wr.count = second, 0
	}
	wr.count++
	return wr.count <= linesPerSecond
}

// Omitted returns how many lines were left out since the last line that said so.
func (wr *Writer) Omitted() int64 { return wr.omitted.Load() }

// Close writes what waits, as far as the reader takes it in time.
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

func (wr *Writer) run() {
	defer close(wr.done)
	for line := range wr.queue {
		if count := wr.omitted.Swap(0); count > 0 {
			line = append(line, fmt.Sprintf("{\"level\":\"warn\",\"message\":\"log lines left out\",\"fields\":{\"count\":%d}}\n", count)...)
		}
		if _, err := wr.out.Write(line); err != nil {
			// Nobody reads the log any more; there is nowhere to say so.
			wr.omitted.Add(1)
		}
	}
}
