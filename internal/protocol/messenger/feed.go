package messenger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// FeedPosition is how far a copy of the keys under a prefix goes.
type FeedPosition struct {
	// Era is the era of the store, or zero.
	Era int64
	// Revision is the revision of the last change or list of all keys; zero means
	// that there is no copy.
	Revision int64
	// Seen is the highest revision of a key in the copy. It is lower than that of a
	// list if other keys changed last.
	Seen int64
}

// FeedPoll asks a node for the changes of the store's keys that the sender does
// not have.
type FeedPoll struct {
	// Positions say how far the sender's copies go, one a prefix.
	Positions []FeedPosition
	// Wait is how long the receiver waits for a change before it answers.
	Wait time.Duration
	// Inline asks for large values as well, because the sender does not reach the
	// store.
	Inline bool
	// Lacks is one more than the number of the configuration in force at the sender;
	// zero in messages of builds before the field, which take none.
	Lacks int64
}

// Kind implements Message.
func (*FeedPoll) Kind() Kind { return KindFeedPoll }

// Encode implements Message.
func (fp *FeedPoll) Encode(en *msgpack.Encoder) error {
	err := EncodeList(en, fp.Positions, func(en *msgpack.Encoder, ps FeedPosition) error {
		return EncodeAll(en, ps.Era, ps.Revision, ps.Seen)
	})
	if err != nil {
		return err
	}
	return EncodeAll(en, fp.Wait.Milliseconds(), fp.Inline, fp.Lacks)
}

// Decode implements Message.
func (fp *FeedPoll) Decode(de *msgpack.Decoder) (err error) {
	fp.Positions, err = DecodeList(de, func(de *msgpack.Decoder) (ps FeedPosition, err error) {
		err = DecodeAll(de, &ps.Era, &ps.Revision, &ps.Seen)
		return ps, err
	})
	if err != nil {
		return err
	}
	if fp.Wait, err = decodeMillis(de); err != nil {
		return err
	}
	if err = DecodeAll(de, &fp.Inline); err != nil {
		return err
	}
	return decodeTrailing(de, &fp.Lacks)
}

// FeedChange is a key that was written or removed.
type FeedChange struct {
	// Key is the full key.
	Key string
	// Value is the value; it is empty if the key was removed.
	Value []byte
	// Revision is the revision of the change.
	Revision int64
	// Lease is the id of the key's lease, or zero.
	Lease int64
	// Deleted says that the key was removed.
	Deleted bool
	// Omitted says that the value is large and has to be read from the store.
	Omitted bool
}

func (fc FeedChange) encode(en *msgpack.Encoder) error {
	return EncodeAll(en, fc.Key, fc.Value, fc.Revision, fc.Lease, fc.Deleted, fc.Omitted)
}

func decodeFeedChange(de *msgpack.Decoder) (fc FeedChange, err error) {
	err = DecodeAll(de, &fc.Key, &fc.Value, &fc.Revision, &fc.Lease, &fc.Deleted, &fc.Omitted)
	return fc, err
}

// FeedPart has the changes under one prefix.
type FeedPart struct {
	// Whole says that Changes are all keys under the prefix.
	Whole bool
	// Changes are in the order of their revisions, unless Whole is set.
	Changes []FeedChange
	// Era is the era of the store to which the revisions belong, or zero.
	Era int64
	// Revision is the revision of the store up to which no change is missing.
	Revision int64
	// Down says that the store does not answer the node that reads it.
	Down bool
	// Back is how long ago the store's last outage ended, or zero if that is
	// long ago.
	Back time.Duration
}

func (fp FeedPart) encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, fp.Whole); err != nil {
		return err
	}
	if err := EncodeList(en, fp.Changes, func(en *msgpack.Encoder, fc FeedChange) error { return fc.encode(en) }); err != nil {
		return err
	}
	return EncodeAll(en, fp.Era, fp.Revision, fp.Down, fp.Back.Milliseconds())
}

func decodeFeedPart(de *msgpack.Decoder) (fp FeedPart, err error) {
	if err = DecodeAll(de, &fp.Whole); err != nil {
		return fp, err
	}
	if fp.Changes, err = DecodeList(de, decodeFeedChange); err != nil {
		return fp, err
	}
	if err = DecodeAll(de, &fp.Era, &fp.Revision, &fp.Down); err != nil {
		return fp, err
	}
	fp.Back, err = decodeMillis(de)
	return fp, err
}

// FeedPage answers a FeedPoll.
type FeedPage struct {
	// Age is how long ago the store is known to have answered the node from
	// which the answer comes in the end.
	Age time.Duration
	// Parts are in the order of the poll's positions.
	Parts []FeedPart
	// Configuration is the configuration in force at the node, if the sender of the
	// poll lacks it and the store does not have it any more; empty otherwise, and in
	// messages of builds before the field.
	Configuration []byte
}

// Kind implements Message.
func (*FeedPage) Kind() Kind { return KindFeedPage }

// Encode implements Message.
func (fp *FeedPage) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, fp.Age.Milliseconds()); err != nil {
		return err
	}
	err := EncodeList(en, fp.Parts, func(en *msgpack.Encoder, pt FeedPart) error { return pt.encode(en) })
	if err != nil {
		return err
	}
	return EncodeAll(en, fp.Configuration)
}

// Decode implements Message.
func (fp *FeedPage) Decode(de *msgpack.Decoder) (err error) {
	if fp.Age, err = decodeMillis(de); err != nil {
		return err
	}
	if fp.Parts, err = DecodeList(de, decodeFeedPart); err != nil {
		return err
	}
	return decodeTrailing(de, &fp.Configuration)
}

// Check asks the process at an address for its id.
type Check struct{}

// Kind implements Message.
func (*Check) Kind() Kind { return KindCheck }

// Encode implements Message.
func (*Check) Encode(*msgpack.Encoder) error { return nil }

// Decode implements Message.
func (*Check) Decode(*msgpack.Decoder) error { return nil }

// Checked answers a Check.
type Checked struct {
	// Node is the id of the answering process.
	Node string
	// Build is one of the Build numbers; zero from earlier builds, which do not send it.
	Build int
}

// The numbers of builds that can be told apart. A build closes the connection if it gets
// a message of a kind that it does not know.
const (
	// BuildServerNotice is the first build that knows ServerNotice.
	BuildServerNotice = 1
	// BuildLatest is the number of this build.
	BuildLatest = BuildServerNotice
)

// Kind implements Message.
func (*Checked) Kind() Kind { return KindChecked }

// Encode implements Message.
func (ck *Checked) Encode(en *msgpack.Encoder) error { return EncodeAll(en, ck.Node, ck.Build) }

// Decode implements Message.
func (ck *Checked) Decode(de *msgpack.Decoder) error {
	if err := DecodeAll(de, &ck.Node); err != nil {
		return err
	}
	return decodeTrailing(de, &ck.Build)
}

// decodeMillis decodes a duration in milliseconds.
func decodeMillis(de *msgpack.Decoder) (time.Duration, error) {
	millis, err := de.DecodeInt64()
	return time.Duration(millis) * time.Millisecond, err
}
