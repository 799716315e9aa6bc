// Package framer splits a byte stream into frames: a version byte, a payload
// length of four bytes in network byte order, and the payload.
//
// # Usage
//
//	err := framer.Write(conn, payload)
//	payload, err := framer.Read(conn)
//
// After a frame with another version or an excessive length, the stream can no
// longer be used.
package framer

import (
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
)

// Version is the version of the frame format.
const Version byte = 1

// MaxPayloadBytes is the size of the longest payload of a frame.
const MaxPayloadBytes = 4 << 20

// HeaderBytes is the size of a frame's header.
const HeaderBytes = 5

// Errors of Read and Write.
var (
	// ErrVersion means that a frame has another version.
	ErrVersion = errors.New("frame of an unknown version")
	// ErrLength means that a payload is longer than MaxPayloadBytes.
	ErrLength = errors.New("frame exceeds the greatest length")
)

// Write writes one frame with a single call of wr.Write. It returns ErrLength
// if the payload is too long.
func Write(wr io.Writer, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return ErrLength
	}
	frame := make([]byte, HeaderBytes, HeaderBytes+len(payload))
	frame[0] = Version
	binary.BigEndian.PutUint32(frame[1:], uint32(len(payload)))
	if _, err := wr.Write(append(frame, payload...)); err != nil {
		return errors.Wrap(err, "write frame")
	}
	return nil
}

// Read reads one frame and returns its payload. It returns io.EOF if the stream
// ends between two frames, ErrVersion, ErrLength, or an error of rd.
func Read(rd io.Reader) ([]byte, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(rd, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, errors.Wrap(err, "read frame header")
	}
	if header[0] != Version {
		return nil, ErrVersion
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > MaxPayloadBytes {
		return nil, ErrLength
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(rd, payload); err != nil {
		return nil, errors.Wrap(err, "read frame payload")
	}
	return payload, nil
}
