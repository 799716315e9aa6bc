// Package messenger carries typed messages between entry nodes: calls and
// their answers, as msgpack in frames, many at once on one TCP connection.
//
// # Usage
//
// A node serves its peers with one handler and calls them through a pool:
//
//	srv := messenger.NewServer(handler)
//	go srv.Serve(listener)
//
//	pl := messenger.NewPool(messenger.WithSilence(1500 * time.Millisecond))
//	answer, err := pl.Call(ctx, "127.0.0.1:7001", &messenger.Ping{})
//
// A connection on which an answer is awaited carries heartbeats. If nothing
// arrives on it for the silence time, it is closed for good, its calls fail as
// Lost, and the next call opens a new one.
package messenger

import (
	"bytes"
	"fmt"
	"math"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/transport/framer"
)

// Kind tells message types apart on the wire.
type Kind uint8

// Message is a typed message with its codec.
type Message interface {
	// Kind returns the type's number on the wire.
	Kind() Kind
	// Encode writes the fields in order.
	Encode(en *msgpack.Encoder) error
	// Decode reads the fields in the same order.
	Decode(de *msgpack.Decoder) error
}

// Failure tells the errors of this layer apart.
type Failure int

// The failures of a call.
const (
	// Unreachable means that the call was never sent.
	Unreachable Failure = iota + 1
	// Lost means that the call was sent and no answer came.
	Lost
	// Rejected means that the peer answered with an error.
	Rejected
)

// String returns the failure in kebab case.
func (fl Failure) String() string {
	names := map[Failure]string{Unreachable: "unreachable", Lost: "lost", Rejected: "rejected"}
	return names[fl]
}

// Error is a failed call.
type Error struct {
	// Failure is what happened.
	Failure Failure
	// Address is the peer's address.
	Address string
	// Text is the peer's own error text if it rejected the call.
	Text string
	// Cause is the error from below, or nil.
	Cause error
}

// Error implements error.
func (er *Error) Error() string {
	if er.Cause != nil {
		return fmt.Sprintf("call %s: %s: %v", er.Address, er.Failure, er.Cause)
	}
	return fmt.Sprintf("call %s: %s: %s", er.Address, er.Failure, er.Text)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Cause }

// Is reports whether err is a failed call of that kind.
func Is(err error, fl Failure) bool {
	var ce *Error
	return errors.As(err, &ce) && ce.Failure == fl
}

// phase says what a frame is.
type phase uint8

const (
	phaseCall phase = iota + 1
	phaseAnswer
	phaseReject
	phaseHeartbeat
)

// envelope is what one frame carries.
type envelope struct {
	id      uint64
	phase   phase
	text    string
	message Message
}

func (ev *envelope) encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	en.UseCompactInts(true)
	err := EncodeAll(en, ev.id, uint8(ev.phase))
	if err != nil {
		return nil, err
	}
	switch ev.phase {
	case phaseReject:
		err = en.EncodeString(ev.text)
	case phaseCall, phaseAnswer:
		if err = en.EncodeUint8(uint8(ev.message.Kind())); err == nil {
			err = ev.message.Encode(en)
		}
	case phaseHeartbeat:
	}
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return buf.Bytes(), nil
}

// FrameBytes returns the size of the frame that carries a message.
func FrameBytes(ms Message) int {
	payload, err := (&envelope{id: math.MaxUint16, phase: phaseCall, message: ms}).encode()
	if err != nil {
		return 0
	}
	return framer.HeaderBytes + len(payload)
}

func decodeEnvelope(payload []byte) (*envelope, error) {
	de := msgpack.NewDecoder(bytes.NewReader(payload))
	ev := &envelope{}
	var ph, kd uint8
	if err := DecodeAll(de, &ev.id, &ph); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	ev.phase = phase(ph)
	switch ev.phase {
	case phaseReject:
		return ev, DecodeAll(de, &ev.text)
	case phaseHeartbeat:
		return ev, nil
	case phaseCall, phaseAnswer:
	default:
		return nil, errors.Errorf("decode message: unknown phase %d", ph)
	}
	if err := DecodeAll(de, &kd); err != nil {
		return nil, errors.Wrap(err, "decode message kind")
	}
	build, ok := builders[Kind(kd)]
	if !ok {
		return nil, errors.Errorf("decode message: unknown kind %d", kd)
	}
	ev.message = build()
	if err := ev.message.Decode(de); err != nil {
		return nil, errors.Wrapf(err, "decode message of kind %d", kd)
	}
	return ev, nil
}
