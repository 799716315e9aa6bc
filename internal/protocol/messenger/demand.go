package messenger

import "github.com/vmihailenco/msgpack/v5"

// ModelDemand is the demand for one model.
type ModelDemand struct {
	// Model is the model's name.
	Model string
	// Load is the number of requests that would run at once with enough
	// capacity.
	Load float64
}

// DemandReport tells the holder of the plan the demand of one node's callers.
type DemandReport struct {
	// Node is the sender's id.
	Node string
	// Models are the models with demand.
	Models []ModelDemand
}

// Kind implements Message.
func (*DemandReport) Kind() Kind { return KindDemandReport }

// Encode implements Message.
func (dr *DemandReport) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, dr.Node); err != nil {
		return err
	}
	return EncodeList(en, dr.Models, func(en *msgpack.Encoder, md ModelDemand) error {
		return EncodeAll(en, md.Model, md.Load)
	})
}

// Decode implements Message.
func (dr *DemandReport) Decode(de *msgpack.Decoder) (err error) {
	if err = DecodeAll(de, &dr.Node); err != nil {
		return err
	}
	dr.Models, err = DecodeList(de, func(de *msgpack.Decoder) (ModelDemand, error) {
		var md ModelDemand
		err := DecodeAll(de, &md.Model, &md.Load)
		return md, err
	})
	return err
}

// DemandReceived answers a DemandReport with the version of the plan in force
// at the receiver.
type DemandReceived struct {
	// Epoch is the fencing number of the plan's writer.
	Epoch int64
	// Number is the plan's number, or zero if there is no plan.
	Number int64
}

// Kind implements Message.
func (*DemandReceived) Kind() Kind { return KindDemandReceived }

// Encode implements Message.
func (dr *DemandReceived) Encode(en *msgpack.Encoder) error {
	return EncodeAll(en, dr.Epoch, dr.Number)
}

// Decode implements Message.
func (dr *DemandReceived) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &dr.Epoch, &dr.Number)
}

// PlanFetch asks a peer for the plan in force there.
type PlanFetch struct {
	// Epoch and Number are the lowest acceptable version.
	Epoch, Number int64
}

// Kind implements Message.
func (*PlanFetch) Kind() Kind { return KindPlanFetch }

// Encode implements Message.
func (pf *PlanFetch) Encode(en *msgpack.Encoder) error { return EncodeAll(en, pf.Epoch, pf.Number) }

// Decode implements Message.
func (pf *PlanFetch) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &pf.Epoch, &pf.Number) }

// PlanFetched answers a PlanFetch.
type PlanFetched struct {
	// Record is the encoded record, or empty if the peer's plan is older.
	Record []byte
}

// Kind implements Message.
func (*PlanFetched) Kind() Kind { return KindPlanFetched }

// Encode implements Message.
func (pf *PlanFetched) Encode(en *msgpack.Encoder) error { return EncodeAll(en, pf.Record) }

// Decode implements Message.
func (pf *PlanFetched) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &pf.Record) }
