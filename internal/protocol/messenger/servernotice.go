package messenger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// ServerMarkBytes is an estimate of the size of an encoded ServerMark.
const ServerMarkBytes = 32

// ServerMark is what a node has found out about one run of a backend server.
type ServerMark struct {
	// Server is the backend server's name.
	Server string
	// Boot identifies the run.
	Boot uint32
	// Reached says that the server accepted a connection; otherwise its address refused
	// one.
	Reached bool
	// Origin is the number of the node that found it out.
	Origin uint32
	// Age is the time since then.
	Age time.Duration
}

// ServerNotice tells a node which backend servers refuse connections, or do so no more.
type ServerNotice struct {
	// Marks are what the sender, or a node that told it, has found out.
	Marks []ServerMark
}

// Kind implements Message.
func (*ServerNotice) Kind() Kind { return KindServerNotice }

// Encode implements Message.
func (sn *ServerNotice) Encode(en *msgpack.Encoder) error {
	return EncodeList(en, sn.Marks, func(en *msgpack.Encoder, sm ServerMark) error {
		return EncodeAll(en, sm.Server, sm.Boot, sm.Reached, sm.Origin, sm.Age.Milliseconds())
	})
}

// Decode implements Message.
func (sn *ServerNotice) Decode(de *msgpack.Decoder) (err error) {
	sn.Marks, err = DecodeList(de, func(de *msgpack.Decoder) (ServerMark, error) {
		var sm ServerMark
		if err := DecodeAll(de, &sm.Server, &sm.Boot, &sm.Reached, &sm.Origin); err != nil {
			return sm, err
		}
		age, err := decodeMillis(de)
		sm.Age = age
		return sm, err
	})
	return err
}

// ServerNoted answers a ServerNotice.
type ServerNoted struct{}

// Kind implements Message.
func (*ServerNoted) Kind() Kind { return KindServerNoted }

// Encode implements Message.
func (*ServerNoted) Encode(*msgpack.Encoder) error { return nil }

// Decode implements Message.
func (*ServerNoted) Decode(*msgpack.Decoder) error { return nil }
