package messenger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// LoadUse is what one node has on one backend server.
type LoadUse struct {
	// Server is the backend server's name.
	Server string
	// Outstanding counts the node's requests there.
	Outstanding int
	// Backlog is the time in which their prompts will be read.
	Backlog time.Duration
}

func (lu *LoadUse) encode(en *msgpack.Encoder) error {
	return EncodeAll(en, lu.Server, lu.Outstanding, lu.Backlog.Milliseconds())
}

// LoadDigest tells the owner of backend servers what the sender uses of them,
// and asks for the load of these.
type LoadDigest struct {
	// Node is the sender's id.
	Node string
	// Uses are the servers that the sender used lately or is about to use.
	Uses []LoadUse
}

// Kind implements Message.
func (*LoadDigest) Kind() Kind { return KindLoadDigest }

// Encode implements Message.
func (ld *LoadDigest) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, ld.Node); err != nil {
		return err
	}
	return EncodeList(en, ld.Uses, func(en *msgpack.Encoder, lu LoadUse) error { return lu.encode(en) })
}

// Decode implements Message.
func (ld *LoadDigest) Decode(de *msgpack.Decoder) error {
	err := DecodeAll(de, &ld.Node)
	if err != nil {
		return err
	}
	ld.Uses, err = DecodeList(de, func(de *msgpack.Decoder) (LoadUse, error) {
		var lu LoadUse
		var millis int64
		err := DecodeAll(de, &lu.Server, &lu.Outstanding, &millis)
		lu.Backlog = time.Duration(millis) * time.Millisecond
		return lu, err
	})
	return err
}

// LoadState is the load of one backend server as its owner knows it.
type LoadState struct {
	// Others counts the requests of all nodes but the asking one.
	Others int
	// Users counts the nodes that use the server, the asking one included.
	Users int
	// Backlog is the time in which the others' prompts will be read.
	Backlog time.Duration
	// Leaving says that the server takes no new work.
	Leaving bool
	// Age is how old the knowledge is.
	Age time.Duration
}

// LoadView answers a LoadDigest.
type LoadView struct {
	// States are the loads of the servers that the digest named, in its order.
	States []LoadState
}

// Kind implements Message.
func (*LoadView) Kind() Kind { return KindLoadView }

// Encode implements Message.
func (lv *LoadView) Encode(en *msgpack.Encoder) error {
	return EncodeList(en, lv.States, func(en *msgpack.Encoder, ls LoadState) error {
		return EncodeAll(en, ls.Others, ls.Users, ls.Leaving, ls.Age.Milliseconds(), ls.Backlog.Milliseconds())
	})
}

// Decode implements Message.
func (lv *LoadView) Decode(de *msgpack.Decoder) (err error) {
	lv.States, err = DecodeList(de, func(de *msgpack.Decoder) (LoadState, error) {
		var ls LoadState
		var age, backlog int64
		err := DecodeAll(de, &ls.Others, &ls.Users, &ls.Leaving, &age, &backlog)
		ls.Age = time.Duration(age) * time.Millisecond
		ls.Backlog = time.Duration(backlog) * time.Millisecond
		return ls, err
	})
	return err
}
