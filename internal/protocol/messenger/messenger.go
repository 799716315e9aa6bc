// Package messenger exchanges typed calls and answers between entry nodes. A
// message is one frame in msgpack; a TCP connection carries many calls at once.
//
// # Usage
//
// A node serves its peers with one handler and calls them through a pool:
//
//	srv := messenger.NewServer(handler)
//	go srv.Serve(listener)
//
//	silence := 1500 * time.Millisecond
//	pl := messenger.NewPool(messenger.WithSilenceTimeout(silence))
//	answer, err := pl.Call(ctx, "127.0.0.1:7001", &messenger.Ping{})
//
// A connection with a pending call carries heartbeats. If no frame arrives for
// the silence timeout, the connection is closed, its pending calls fail as
// Lost, and the next call opens a new connection. A message that does not fit into a
// frame fails alone: the call as TooLarge, and an answer as Rejected.
package messenger

import (
	"bytes"
	"fmt"
	"math"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/transport/framer"
)

// Kind is the number of a message type on the wire.
type Kind uint8

// Message is a message that encodes and decodes itself.
type Message interface {
	// Kind returns the number of the message type.
	Kind() Kind
	// Encode writes the fields in wire order.
	Encode(en *msgpack.Encoder) error
	// Decode reads the fields in the same order.
	Decode(de *msgpack.Decoder) error
}

// Failure is the way in which a call failed.
type Failure int

// The failures of a call.
const (
	// Unreachable means that the call was never sent.
	Unreachable Failure = iota + 1
	// Lost means that the call may have been sent, but no answer arrived.
	Lost
	// Rejected means that the peer answered with an error.
	Rejected
	// TooLarge means that the message does not fit into a frame. It was not sent.
	TooLarge
)

// String returns the failure in kebab case.
func (fl Failure) String() string {
	names := map[Failure]string{Unreachable: "unreachable", Lost: "lost", Rejected: "rejected", TooLarge: "too-large"}
	return names[fl]
}

// Error is a failed call.
type Error struct {
	// Failure is the way in which the call failed.
	Failure Failure
	// Address is the peer's address.
	Address string
	// Text is the peer's error text if it rejected the call.
	Text string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error returns the address, the failure and its cause or text.
func (er *Error) Error() string {
	if er.Cause != nil {
		return fmt.Sprintf("call %s: %s: %v", er.Address, er.Failure, er.Cause)
	}
	return fmt.Sprintf("call %s: %s: %s", er.Address, er.Failure, er.Text)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Cause }

// Is reports whether err is an *Error with the failure.
func Is(err error, fl Failure) bool {
	var ce *Error
	return errors.As(err, &ce) && ce.Failure == fl
}

// frameType distinguishes the frames of a connection.
type frameType uint8

const (
	frameCall frameType = iota + 1
	frameAnswer
	frameReject
	frameHeartbeat
)

// envelope is the decoded payload of one frame.
type envelope struct {
	// id is the number of the call on its connection; zero in a heartbeat.
	id        uint64
	frameType frameType
	// text is the error text of a rejection.
	text string
	// message is the content of a call or an answer.
	message Message
}

func (ev *envelope) encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	en.UseCompactInts(true)
	err := EncodeAll(en, ev.id, uint8(ev.frameType))
	if err != nil {
		return nil, err
	}
	switch ev.frameType {
	case frameReject:
		err = en.EncodeString(ev.text)
	case frameCall, frameAnswer:
		if err = en.EncodeUint8(uint8(ev.message.Kind())); err == nil {
			err = ev.message.Encode(en)
		}
	case frameHeartbeat:
	}
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return buf.Bytes(), nil
}

// FrameBytes returns the size in bytes of the frame that carries a message, or
// 0 if the message can't be encoded.
func FrameBytes(ms Message) int {
	payload, err := (&envelope{id: math.MaxUint16, frameType: frameCall, message: ms}).encode()
	if err != nil {
		return 0
	}
	return framer.HeaderBytes + len(payload)
}

// unknownKindError means that a message is of a kind that this build does not know. The
// envelope is returned with it.
type unknownKindError struct{ kind Kind }

// Error implements error.
func (uk *unknownKindError) Error() string {
	return fmt.Sprintf("decode message: unknown kind %d", uk.kind)
}

func decodeEnvelope(payload []byte) (*envelope, error) {
	de := msgpack.NewDecoder(bytes.NewReader(payload))
	ev := &envelope{}
	var ft, kd uint8
	if err := DecodeAll(de, &ev.id, &ft); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	ev.frameType = frameType(ft)
	switch ev.frameType {
	case frameReject:
		return ev, DecodeAll(de, &ev.text)
	case frameHeartbeat:
		return ev, nil
	case frameCall, frameAnswer:
	default:
		return nil, errors.Errorf("decode message: unknown frame type %d", ft)
	}
	if err := DecodeAll(de, &kd); err != nil {
		return nil, errors.Wrap(err, "decode message kind")
	}
	build, ok := builders[Kind(kd)]
	if !ok {
		return ev, &unknownKindError{Kind(kd)}
	}
	ev.message = build()
	if err := ev.message.Decode(de); err != nil {
		return nil, errors.Wrapf(err, "decode message of kind %d", kd)
	}
	return ev, nil
}
