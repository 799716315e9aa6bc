package messenger

import "github.com/vmihailenco/msgpack/v5"

// AdapterAt names an adapter on a backend server.
type AdapterAt struct {
	// Server is the backend server's name.
	Server string
	// Adapter is the adapter's name.
	Adapter string
}

// AdapterUse tells the owner of backend servers which adapters the sender's
// requests use there.
type AdapterUse struct {
	// Used are the adapters in use.
	Used []AdapterAt
}

// Kind implements Message.
func (*AdapterUse) Kind() Kind { return KindAdapterUse }

// Encode implements Message.
func (au *AdapterUse) Encode(en *msgpack.Encoder) error {
	return EncodeList(en, au.Used, func(en *msgpack.Encoder, at AdapterAt) error {
		return EncodeAll(en, at.Server, at.Adapter)
	})
}

// Decode implements Message.
func (au *AdapterUse) Decode(de *msgpack.Decoder) (err error) {
	au.Used, err = DecodeList(de, func(de *msgpack.Decoder) (AdapterAt, error) {
		var at AdapterAt
		err := DecodeAll(de, &at.Server, &at.Adapter)
		return at, err
	})
	return err
}

// AdapterUsed answers an AdapterUse.
type AdapterUsed struct{}

// Kind implements Message.
func (*AdapterUsed) Kind() Kind { return KindAdapterUsed }

// Encode implements Message.
func (*AdapterUsed) Encode(*msgpack.Encoder) error { return nil }

// Decode implements Message.
func (*AdapterUsed) Decode(*msgpack.Decoder) error { return nil }
