package eventreader

import (
	"bytes"
	"io"
)

// RawEvent is one server-sent event as it was sent.
type RawEvent struct {
	// Bytes is the whole event with the empty line that ends it. It is valid
	// until the next call.
	Bytes []byte
	// ID is the field id, or empty.
	ID string
}

// NextRaw returns the next event byte for byte. It returns io.EOF only at the
// end of a stream that ends between two events.
func (rd *Reader) NextRaw() (RawEvent, error) {
	ev := RawEvent{}
	rd.data = rd.data[:0]
	for {
		line, err := rd.readLine()
		if err == io.EOF && len(rd.data) > 0 {
			return RawEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return RawEvent{}, err
		}
		rd.data = append(rd.data, rd.line...)
		if len(rd.data) > MaxEventBytes {
			return RawEvent{}, ErrTooLarge
		}
		if len(line) == 0 {
			ev.Bytes = rd.data
			return ev, nil
		}
		if name, value, _ := bytes.Cut(line, []byte(":")); string(name) == "id" {
			ev.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// Buffered returns the number of bytes that can be read without waiting.
func (rd *Reader) Buffered() int { return rd.in.Buffered() }
