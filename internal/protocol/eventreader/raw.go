package eventreader

import (
	"bytes"
	"io"
)

// RawEvent is one server-sent event, byte for byte as received.
type RawEvent struct {
	// Bytes is the whole event including the empty line that ends it. It is
	// valid until the next call of Next or NextRaw.
	Bytes []byte
	// ID is the value of the field id, or empty.
	ID string
	// HasFields says that the event has a field. Otherwise it is blank lines or a
	// comment, with which a server may keep a connection open.
	HasFields bool
}

// NextRaw returns the next event byte for byte, including comments and events
// without data. Its errors are those of Next.
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
		name, value, _ := bytes.Cut(line, []byte(":"))
		ev.HasFields = ev.HasFields || len(name) > 0
		if string(name) == "id" {
			ev.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// HasEvent reports whether the end of an event can be read without blocking.
func (rd *Reader) HasEvent() bool {
	ahead, _ := rd.in.Peek(rd.in.Buffered())
	return bytes.HasPrefix(ahead, []byte("\n")) || bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n"))
}
