// Package eventreader reads server-sent events from a stream.
//
// # Usage
//
//	rd := eventreader.New(response.Body)
//	for {
//		ev, err := rd.Next()
//		if err == io.EOF {
//			break // the stream ended between two events
//		}
//		use(ev.Name, ev.Data)
//	}
//
// Next skips comments and the fields id and retry. A stream that ends within an
// event returns io.ErrUnexpectedEOF, so that a truncated event is never taken
// for a complete one.
package eventreader

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

const (
	// bufferBytes is the size of the read buffer.
	bufferBytes = 4 << 10
	// MaxEventBytes is the maximum size of an event in bytes.
	MaxEventBytes = 1 << 20
)

// ErrTooLarge is returned for an event larger than MaxEventBytes.
var ErrTooLarge = errors.New("event is too large")

// Event is one server-sent event.
type Event struct {
	// Name is the value of the field event, or empty.
	Name string
	// Data are the values of the fields data, joined by line feeds. It is valid
	// until the next call of Next or NextRaw.
	Data []byte
}

// Reader reads server-sent events from a stream.
type Reader struct {
	in *bufio.Reader
	// line is the latest line with its line ending.
	line []byte
	// data is the data of the current event or, in NextRaw, all of its bytes.
	data []byte
}

// New returns a reader of the events from in.
func New(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, bufferBytes)} }

// Next returns the next event that has data. It returns io.EOF if the stream
// ends between two events, io.ErrUnexpectedEOF if it ends within one, and
// ErrTooLarge if an event exceeds MaxEventBytes.
func (rd *Reader) Next() (Event, error) {
	ev := Event{}
	rd.data = rd.data[:0]
	started, hasData := false, false
	for {
		line, err := rd.readLine()
		if err == io.EOF && started {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				ev.Data = rd.data
				return ev, nil
			}
			ev, started = Event{}, false
			continue
		}
		started = true
		field, value := split(line)
		switch field {
		case "event":
			ev.Name = string(value)
		case "data":
			if hasData {
				rd.data = append(rd.data, '\n')
			}
			hasData = true
			rd.data = append(rd.data, value...)
			if len(rd.data) > MaxEventBytes {
				return Event{}, ErrTooLarge
			}
		}
	}
}

// readLine returns the next line without its line ending. It returns
// io.ErrUnexpectedEOF if the stream ends within the line.
func (rd *Reader) readLine() ([]byte, error) {
	rd.line = rd.line[:0]
	for {
		part, err := rd.in.ReadSlice('\n')
		rd.line = append(rd.line, part...)
		if len(rd.line) > MaxEventBytes {
			return nil, ErrTooLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(rd.line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		line := rd.line[:len(rd.line)-1]
		return bytes.TrimSuffix(line, []byte("\r")), nil
	}
}

// split returns the field and the value of a line. A comment has an empty
// field.
func split(line []byte) (field string, value []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	return string(name), bytes.TrimPrefix(value, []byte(" "))
}
