package messenger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Retire tells a node to send a backend server no more requests for a model
// that is about to be unloaded there.
type Retire struct {
	// Server is the backend server's name.
	Server string
	// Model is the model's name.
	Model string
	// Duration is how long the node complies, unless it learns earlier that the
	// server has unloaded the model.
	Duration time.Duration
}

// Kind implements Message.
func (*Retire) Kind() Kind { return KindRetire }

// Encode implements Message.
func (rt *Retire) Encode(en *msgpack.Encoder) error {
	return EncodeAll(en, rt.Server, rt.Model, rt.Duration.Milliseconds())
}

// Decode implements Message.
func (rt *Retire) Decode(de *msgpack.Decoder) error {
	var millis int64
	err := DecodeAll(de, &rt.Server, &rt.Model, &millis)
	rt.Duration = time.Duration(millis) * time.Millisecond
	return err
}

// Retired answers a Retire.
type Retired struct{}

// Kind implements Message.
func (*Retired) Kind() Kind { return KindRetired }

// Encode implements Message.
func (*Retired) Encode(*msgpack.Encoder) error { return nil }

// Decode implements Message.
func (*Retired) Decode(*msgpack.Decoder) error { return nil }
