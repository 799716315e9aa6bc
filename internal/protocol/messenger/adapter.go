package messenger

import "github.com/vmihailenco/msgpack/v5"

// AdapterLoad asks the owner of a backend server to load an adapter there and
// to keep it for the duration of a lease.
type AdapterLoad struct {
	// From is the sender's node id.
	From string
	// Server is the backend server's name.
	Server string
	// Adapter is the adapter's name.
	Adapter string
}

// Kind implements Message.
func (*AdapterLoad) Kind() Kind { return KindAdapterLoad }

// Encode implements Message.
func (al *AdapterLoad) Encode(en *msgpack.Encoder) error {
	return EncodeAll(en, al.From, al.Server, al.Adapter)
}

// Decode implements Message.
func (al *AdapterLoad) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &al.From, &al.Server, &al.Adapter)
}

// AdapterState answers an AdapterLoad.
type AdapterState struct {
	// Ready says that the adapter is loaded and stays so during a lease.
	Ready bool
	// Reason says why the adapter is not ready.
	Reason string
}

// Kind implements Message.
func (*AdapterState) Kind() Kind { return KindAdapterState }

// Encode implements Message.
func (as *AdapterState) Encode(en *msgpack.Encoder) error { return EncodeAll(en, as.Ready, as.Reason) }

// Decode implements Message.
func (as *AdapterState) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &as.Ready, &as.Reason)
}
