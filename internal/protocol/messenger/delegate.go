package messenger

import "github.com/vmihailenco/msgpack/v5"

// HeaderField is a header of a request or an answer.
type HeaderField struct {
	Name   string
	Values []string
}

func encodeHeader(en *msgpack.Encoder, fields []HeaderField) error {
	return EncodeList(en, fields, func(en *msgpack.Encoder, hf HeaderField) error {
		if err := EncodeAll(en, hf.Name); err != nil {
			return err
		}
		return EncodeList(en, hf.Values, func(en *msgpack.Encoder, value string) error { return EncodeAll(en, value) })
	})
}

func decodeHeader(de *msgpack.Decoder) ([]HeaderField, error) {
	return DecodeList(de, func(de *msgpack.Decoder) (HeaderField, error) {
		var hf HeaderField
		if err := DecodeAll(de, &hf.Name); err != nil {
			return hf, err
		}
		var err error
		hf.Values, err = DecodeList(de, func(de *msgpack.Decoder) (value string, err error) { return value, DecodeAll(de, &value) })
		return hf, err
	})
}

// Delegate asks a node to run a caller's request in place of the sender, which does not
// reach the backend servers. Its answer is the first DelegatePage of the request's
// answer.
type Delegate struct {
	// ID names the request between the two nodes.
	ID uint64
	// Method, Host and Target are those of the caller's request.
	Method, Host, Target string
	// Header is the header of the caller's request, with the time that is left.
	Header []HeaderField
	// Body is the body of the caller's request.
	Body []byte
	// Servers is the number of backend servers to which the request was sent before.
	Servers int
	// Revision is that of the configuration under which the sender took the request.
	Revision int64
	// Caller is the name of the caller that the sender found by the request's key. It
	// is empty in messages of builds before the field, which authenticate nobody.
	Caller string
	// Pool is the pool whose servers the sender does not reach. It is empty in messages of
	// builds before the field.
	Pool string
}

// Kind implements Message.
func (*Delegate) Kind() Kind { return KindDelegate }

// Encode implements Message.
func (dg *Delegate) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, dg.ID, dg.Method, dg.Host, dg.Target, dg.Body, dg.Servers, dg.Revision); err != nil {
		return err
	}
	if err := encodeHeader(en, dg.Header); err != nil {
		return err
	}
	return EncodeAll(en, dg.Caller, dg.Pool)
}

// Decode implements Message.
func (dg *Delegate) Decode(de *msgpack.Decoder) (err error) {
	if err = DecodeAll(de, &dg.ID, &dg.Method, &dg.Host, &dg.Target, &dg.Body, &dg.Servers, &dg.Revision); err != nil {
		return err
	}
	if dg.Header, err = decodeHeader(de); err != nil {
		return err
	}
	return decodeTrailing(de, &dg.Caller, &dg.Pool)
}

// DelegatePart brings a piece of the body of a request that is to be delegated and whose body
// does not fit into one message. Pieces come in order; a DelegateLast brings the last one. Its
// answer is a DelegatePage without content.
type DelegatePart struct {
	// ID names the request between the two nodes.
	ID uint64
	// Revision and Pool are those of the Delegate that follows.
	Revision int64
	Pool     string
	// Length is the length of the whole body, and Offset is where Data begins in it.
	Length, Offset int64
	// Data is the piece.
	Data []byte
}

// Kind implements Message.
func (*DelegatePart) Kind() Kind { return KindDelegatePart }

// Encode implements Message.
func (dp *DelegatePart) Encode(en *msgpack.Encoder) error {
	return EncodeAll(en, dp.ID, dp.Revision, dp.Pool, dp.Length, dp.Offset, dp.Data)
}

// Decode implements Message.
func (dp *DelegatePart) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &dp.ID, &dp.Revision, &dp.Pool, &dp.Length, &dp.Offset, &dp.Data)
}

// DelegateLast is a Delegate whose Body is the last piece of the request's body. Its kind
// differs, since a node of an earlier build would take that piece for the whole.
type DelegateLast struct{ Delegate }

// Kind implements Message.
func (*DelegateLast) Kind() Kind { return KindDelegateLast }

// DelegateNext asks for the next page of the answer to a delegated request. Its answer
// is a DelegatePage.
type DelegateNext struct{ ID uint64 }

// Kind implements Message.
func (*DelegateNext) Kind() Kind { return KindDelegateNext }

// Encode implements Message.
func (dn *DelegateNext) Encode(en *msgpack.Encoder) error { return EncodeAll(en, dn.ID) }

// Decode implements Message.
func (dn *DelegateNext) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &dn.ID) }

// DelegateCancel says that nobody wants the answer to a delegated request any more. Its
// answer is a DelegatePage without content.
type DelegateCancel struct{ ID uint64 }

// Kind implements Message.
func (*DelegateCancel) Kind() Kind { return KindDelegateCancel }

// Encode implements Message.
func (dc *DelegateCancel) Encode(en *msgpack.Encoder) error { return EncodeAll(en, dc.ID) }

// Decode implements Message.
func (dc *DelegateCancel) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &dc.ID) }

// DelegatePage is a piece of the answer to a delegated request.
type DelegatePage struct {
	// Declined says that the node did not run the request and never will.
	Declined bool
	// Status and Header are those of the answer. Only the first page has them.
	Status int
	Header []HeaderField
	// Data is the next part of the body.
	Data []byte
	// Ended says that the answer ends after Data, and Broken that it is incomplete.
	Ended, Broken bool
}

// Kind implements Message.
func (*DelegatePage) Kind() Kind { return KindDelegatePage }

// Encode implements Message.
func (dp *DelegatePage) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, dp.Declined, dp.Status, dp.Data, dp.Ended, dp.Broken); err != nil {
		return err
	}
	return encodeHeader(en, dp.Header)
}

// Decode implements Message.
func (dp *DelegatePage) Decode(de *msgpack.Decoder) (err error) {
	if err = DecodeAll(de, &dp.Declined, &dp.Status, &dp.Data, &dp.Ended, &dp.Broken); err != nil {
		return err
	}
	dp.Header, err = decodeHeader(de)
	return err
}

// PathQuery asks a node whether it reaches most of some backend servers. Its answer is
// a PathAnswer.
type PathQuery struct {
	// Servers are the names of servers that the sender does not reach.
	Servers []string
}

// Kind implements Message.
func (*PathQuery) Kind() Kind { return KindPathQuery }

// Encode implements Message.
func (pq *PathQuery) Encode(en *msgpack.Encoder) error {
	return EncodeList(en, pq.Servers, func(en *msgpack.Encoder, name string) error { return EncodeAll(en, name) })
}

// Decode implements Message.
func (pq *PathQuery) Decode(de *msgpack.Decoder) (err error) {
	pq.Servers, err = DecodeList(de, func(de *msgpack.Decoder) (name string, err error) { return name, DecodeAll(de, &name) })
	return err
}

// PathAnswer answers a PathQuery.
type PathAnswer struct {
	// Reaches says that most of the servers answered the node.
	Reaches bool
}

// Kind implements Message.
func (*PathAnswer) Kind() Kind { return KindPathAnswer }

// Encode implements Message.
func (pa *PathAnswer) Encode(en *msgpack.Encoder) error { return EncodeAll(en, pa.Reaches) }

// Decode implements Message.
func (pa *PathAnswer) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &pa.Reaches) }
