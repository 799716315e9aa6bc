package messenger

import "github.com/vmihailenco/msgpack/v5"

// Release asks the holder of a resource to release it.
type Release struct {
	// Resource is the resource's name.
	Resource string
	// Epoch is the epoch in which the peer holds it.
	Epoch int64
	// Requester is the id of the node that wants the resource.
	Requester string
}

// Kind implements Message.
func (*Release) Kind() Kind { return KindRelease }

// Encode implements Message.
func (rl *Release) Encode(en *msgpack.Encoder) error {
	return EncodeAll(en, rl.Resource, rl.Epoch, rl.Requester)
}

// Decode implements Message.
func (rl *Release) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &rl.Resource, &rl.Epoch, &rl.Requester)
}

// Released answers a Release.
type Released struct {
	// Done says that the peer no longer holds the resource.
	Done bool
}

// Kind implements Message.
func (*Released) Kind() Kind { return KindReleased }

// Encode implements Message.
func (rl *Released) Encode(en *msgpack.Encoder) error { return EncodeAll(en, rl.Done) }

// Decode implements Message.
func (rl *Released) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &rl.Done) }
