package messenger

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// CrashMark is what a crash says about a content of requests.
type CrashMark struct {
	// Part is the id of the content.
	Content uint64
	// Answering says that all requests with the content had a piece of their answer.
	Answering bool
	// InFlight is how long before the crash the latest of them was sent.
	InFlight time.Duration
	// Request is the content of that request as a whole.
	Request uint64
}

// CrashReport tells a node what was in flight on a backend server that crashed.
// Its answer is a Vouched.
type CrashReport struct {
	// Server is the backend server's name.
	Server string
	// Age is the time since the crash.
	Age time.Duration
	// Marks are the contents in flight.
	Marks []CrashMark
}

// Kind implements Message.
func (*CrashReport) Kind() Kind { return KindCrashReport }

// Encode implements Message.
func (cr *CrashReport) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, cr.Server, cr.Age); err != nil {
		return err
	}
	return EncodeList(en, cr.Marks, func(en *msgpack.Encoder, cm CrashMark) error {
		return EncodeAll(en, cm.Content, cm.Answering, cm.InFlight, cm.Request)
	})
}

// Decode implements Message.
func (cr *CrashReport) Decode(de *msgpack.Decoder) (err error) {
	if err = DecodeAll(de, &cr.Server, &cr.Age); err != nil {
		return err
	}
	cr.Marks, err = DecodeList(de, func(de *msgpack.Decoder) (CrashMark, error) {
		var cm CrashMark
		err := DecodeAll(de, &cm.Content, &cm.Answering, &cm.InFlight, &cm.Request)
		return cm, err
	})
	return err
}

// Exclude tells a node that a content is kept from backend servers. Its
// answer is a Vouched.
type Exclude struct {
	// Part is the id of the content.
	Content uint64
	// Failures is the number of failed trials.
	Failures int
	// Age is the time since the exclusion began, or since the last trial failed.
	Age time.Duration
}

// Kind implements Message.
func (*Exclude) Kind() Kind { return KindExclude }

// Encode implements Message.
func (ex *Exclude) Encode(en *msgpack.Encoder) error {
	return EncodeAll(en, ex.Content, ex.Failures, ex.Age)
}

// Decode implements Message.
func (ex *Exclude) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &ex.Content, &ex.Failures, &ex.Age)
}

// Voucher says that an answer to a request with a content was completed.
type Voucher struct {
	// Part is the id of the content.
	Content uint64
	// Age is the time since the answer ended.
	Age time.Duration
}

func encodeVouchers(en *msgpack.Encoder, vouchers []Voucher) error {
	return EncodeList(en, vouchers, func(en *msgpack.Encoder, vc Voucher) error { return EncodeAll(en, vc.Content, vc.Age) })
}

func decodeVouchers(de *msgpack.Decoder) ([]Voucher, error) {
	return DecodeList(de, func(de *msgpack.Decoder) (Voucher, error) {
		var vc Voucher
		err := DecodeAll(de, &vc.Content, &vc.Age)
		return vc, err
	})
}

// Vouch tells a node which contents did not crash a backend server. Its
// answer is a Vouched without vouchers.
type Vouch struct{ Vouchers []Voucher }

// Kind implements Message.
func (*Vouch) Kind() Kind { return KindVouch }

// Encode implements Message.
func (vh *Vouch) Encode(en *msgpack.Encoder) error { return encodeVouchers(en, vh.Vouchers) }

// Decode implements Message.
func (vh *Vouch) Decode(de *msgpack.Decoder) (err error) {
	vh.Vouchers, err = decodeVouchers(de)
	return err
}

// Vouched answers a CrashReport, an Exclude or a Vouch with what the node
// completed of the contents in it.
type Vouched struct{ Vouchers []Voucher }

// Kind implements Message.
func (*Vouched) Kind() Kind { return KindVouched }

// Encode implements Message.
func (vd *Vouched) Encode(en *msgpack.Encoder) error { return encodeVouchers(en, vd.Vouchers) }

// Decode implements Message.
func (vd *Vouched) Decode(de *msgpack.Decoder) (err error) {
	vd.Vouchers, err = decodeVouchers(de)
	return err
}

// Trial asks the leader whether a request with an excluded content may be sent.
type Trial struct{ Content uint64 }

// Kind implements Message.
func (*Trial) Kind() Kind { return KindTrial }

// Encode implements Message.
func (tl *Trial) Encode(en *msgpack.Encoder) error { return EncodeAll(en, tl.Content) }

// Decode implements Message.
func (tl *Trial) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &tl.Content) }

// TrialAnswer answers a Trial.
type TrialAnswer struct{ Granted bool }

// Kind implements Message.
func (*TrialAnswer) Kind() Kind { return KindTrialAnswer }

// Encode implements Message.
func (ta *TrialAnswer) Encode(en *msgpack.Encoder) error { return EncodeAll(en, ta.Granted) }

// Decode implements Message.
func (ta *TrialAnswer) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &ta.Granted) }
