package messenger

import "github.com/vmihailenco/msgpack/v5"

// ShareRequest asks a peer to lend a share of a limit, extends loans, and
// releases others.
type ShareRequest struct {
	// From is the borrower's node id.
	From string
	// Limit is the limit's name.
	Limit string
	// Number is the number of the requested loan, unique at the borrower.
	Number uint64
	// Wanted is the requested amount in uses per second or in concurrent
	// operations. It may be 0.
	Wanted float64
	// Extend are the numbers of loans to extend.
	Extend []uint64
	// Return are the numbers of loans to release.
	Return []uint64
}

// Kind implements Message.
func (*ShareRequest) Kind() Kind { return KindShareRequest }

// Encode implements Message.
func (sr *ShareRequest) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, sr.From, sr.Limit, sr.Number, sr.Wanted); err != nil {
		return err
	}
	if err := EncodeList(en, sr.Extend, encodeNumber); err != nil {
		return err
	}
	return EncodeList(en, sr.Return, encodeNumber)
}

// Decode implements Message.
func (sr *ShareRequest) Decode(de *msgpack.Decoder) (err error) {
	if err = DecodeAll(de, &sr.From, &sr.Limit, &sr.Number, &sr.Wanted); err != nil {
		return err
	}
	if sr.Extend, err = DecodeList(de, decodeNumber); err != nil {
		return err
	}
	sr.Return, err = DecodeList(de, decodeNumber)
	return err
}

// ShareGrant answers a ShareRequest.
type ShareGrant struct {
	// Amount is the amount lent under the request's number.
	Amount float64
	// Extended are the numbers of the loans to extend that the lender knows.
	Extended []uint64
	// Recall is the amount that the borrower should release.
	Recall float64
}

// Kind implements Message.
func (*ShareGrant) Kind() Kind { return KindShareGrant }

// Encode implements Message.
func (sg *ShareGrant) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, sg.Amount, sg.Recall); err != nil {
		return err
	}
	return EncodeList(en, sg.Extended, encodeNumber)
}

// Decode implements Message.
func (sg *ShareGrant) Decode(de *msgpack.Decoder) (err error) {
	if err = DecodeAll(de, &sg.Amount, &sg.Recall); err != nil {
		return err
	}
	sg.Extended, err = DecodeList(de, decodeNumber)
	return err
}

func encodeNumber(en *msgpack.Encoder, number uint64) error { return en.EncodeUint(number) }

func decodeNumber(de *msgpack.Decoder) (uint64, error) { return de.DecodeUint64() }
