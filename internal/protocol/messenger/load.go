package messenger

import (
	"io"
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// LoadUse is the load that one node causes on one backend server.
type LoadUse struct {
	// Server is the backend server's name.
	Server string
	// Outstanding is the number of the node's in-flight requests there.
	Outstanding int
	// Backlog is the time until the prefill of these requests is done.
	Backlog time.Duration
	// Prefill is the fraction of its time that the server spends on the node's
	// prompts. Earlier builds don't send it; it is then zero.
	Prefill float64
	// Slowness is the time to the first token there relative to the expected
	// one; zero if it isn't known, as in earlier builds.
	Slowness float64
}

func (lu *LoadUse) encode(en *msgpack.Encoder) error {
	return EncodeAll(en, lu.Server, lu.Outstanding, lu.Backlog.Milliseconds())
}

// LoadDigest tells the owner of backend servers the load that the sender causes
// on them, and asks for their total load.
type LoadDigest struct {
	// Node is the sender's id.
	Node string
	// Uses are the servers that the sender used recently or is about to use.
	Uses []LoadUse
}

// Kind implements Message.
func (*LoadDigest) Kind() Kind { return KindLoadDigest }

// Encode implements Message.
func (ld *LoadDigest) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, ld.Node); err != nil {
		return err
	}
	if err := EncodeList(en, ld.Uses, func(en *msgpack.Encoder, lu LoadUse) error { return lu.encode(en) }); err != nil {
		return err
	}
	if err := encodeShares(en, ld.Uses, func(lu LoadUse) float64 { return lu.Prefill }); err != nil {
		return err
	}
	return encodeShares(en, ld.Uses, func(lu LoadUse) float64 { return lu.Slowness })
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
	if err != nil {
		return err
	}
	if err := decodeShares(de, len(ld.Uses), func(ix int, share float64) { ld.Uses[ix].Prefill = share }); err != nil {
		return err
	}
	return decodeShares(de, len(ld.Uses), func(ix int, share float64) { ld.Uses[ix].Slowness = share })
}

// sharesPerUnit is the resolution in which fractions are sent.
const sharesPerUnit = 100

// encodeShares appends a fraction for each element of a list. Builds that don't
// know this field ignore it.
func encodeShares[T any](en *msgpack.Encoder, list []T, share func(T) float64) error {
	return EncodeList(en, list, func(en *msgpack.Encoder, el T) error {
		return EncodeAll(en, int(math.Round(share(el)*sharesPerUnit)))
	})
}

// decodeShares reads what encodeShares wrote for count elements. A message
// without this field comes from an earlier build.
func decodeShares(de *msgpack.Decoder, count int, set func(ix int, share float64)) error {
	list, err := DecodeList(de, (*msgpack.Decoder).DecodeInt)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	for ix, share := range list[:min(len(list), count)] {
		set(ix, float64(share)/sharesPerUnit)
	}
	return nil
}

// LoadState is the load of one backend server as known to its owner.
type LoadState struct {
	// Others is the number of in-flight requests of all nodes but the sender of
	// the digest.
	Others int
	// Users is the number of nodes that use the server, including the sender of
	// the digest.
	Users int
	// Backlog is the time until the prefill of the others' requests is done.
	Backlog time.Duration
	// Prefill is the fraction of its time that the server spends on the others'
	// prompts; zero if the sender is of an earlier build.
	Prefill float64
	// Slowness is the mean of the others' times to the first token relative to
	// those expected; zero if it isn't known, as in earlier builds.
	Slowness float64
	// Leaving says that the server accepts no new requests.
	Leaving bool
	// Age is the age of this information.
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
	err := EncodeList(en, lv.States, func(en *msgpack.Encoder, ls LoadState) error {
		return EncodeAll(en, ls.Others, ls.Users, ls.Leaving, ls.Age.Milliseconds(), ls.Backlog.Milliseconds())
	})
	if err != nil {
		return err
	}
	if err := encodeShares(en, lv.States, func(ls LoadState) float64 { return ls.Prefill }); err != nil {
		return err
	}
	return encodeShares(en, lv.States, func(ls LoadState) float64 { return ls.Slowness })
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
	if err != nil {
		return err
	}
	if err := decodeShares(de, len(lv.States), func(ix int, share float64) { lv.States[ix].Prefill = share }); err != nil {
		return err
	}
	return decodeShares(de, len(lv.States), func(ix int, share float64) { lv.States[ix].Slowness = share })
}
