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
	// Others are the other servers that the request may go to. Earlier builds do not
	// send them.
	Others []string
}

// Kind implements Message.
func (*AdapterLoad) Kind() Kind { return KindAdapterLoad }

// Encode implements Message.
func (al *AdapterLoad) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, al.From, al.Server, al.Adapter); err != nil {
		return err
	}
	return EncodeList(en, al.Others, (*msgpack.Encoder).EncodeString)
}

// Decode implements Message.
func (al *AdapterLoad) Decode(de *msgpack.Decoder) error {
	if err := DecodeAll(de, &al.From, &al.Server, &al.Adapter); err != nil || atEnd(de) {
		return err
	}
	others, err := DecodeList(de, (*msgpack.Decoder).DecodeString)
	al.Others = others
	return err
}

// AdapterStanding says whether an adapter can be used on a server.
type AdapterStanding uint8

// The standings of an adapter on a server.
const (
	// StandingUnknown means that the owner does not know.
	StandingUnknown AdapterStanding = iota
	// StandingLoaded means that the adapter is loaded.
	StandingLoaded
	// StandingRoom means that there is room for it.
	StandingRoom
	// StandingFull means that other adapters in use take up the room.
	StandingFull
	// StandingStuck means that the server does not answer orders.
	StandingStuck
)

// AdapterState answers an AdapterLoad.
type AdapterState struct {
	// Ready says that the adapter is loaded and stays so during a lease.
	Ready bool
	// Reason says why the adapter is not ready.
	Reason string
	// Others are the standings on the other servers of the AdapterLoad, in their order,
	// unless the adapter is ready. Earlier builds do not send them.
	Others []AdapterStanding
}

// Kind implements Message.
func (*AdapterState) Kind() Kind { return KindAdapterState }

// Encode implements Message.
func (as *AdapterState) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, as.Ready, as.Reason); err != nil {
		return err
	}
	return EncodeList(en, as.Others, func(en *msgpack.Encoder, sd AdapterStanding) error { return en.EncodeUint(uint64(sd)) })
}

// Decode implements Message.
func (as *AdapterState) Decode(de *msgpack.Decoder) error {
	if err := DecodeAll(de, &as.Ready, &as.Reason); err != nil || atEnd(de) {
		return err
	}
	others, err := DecodeList(de, func(de *msgpack.Decoder) (AdapterStanding, error) {
		number, err := de.DecodeUint8()
		return AdapterStanding(number), err
	})
	as.Others = others
	return err
}
